"""Controllers of the platform daemon; none of them serves client sockets."""
