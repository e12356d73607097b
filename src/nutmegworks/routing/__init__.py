"""Choice of an upstream. No sockets, no clocks."""
