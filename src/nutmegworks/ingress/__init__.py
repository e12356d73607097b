"""Client API of the platform daemon, as a chain of filters."""
