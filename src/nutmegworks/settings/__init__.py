"""Reads and checks the INI settings of a daemon. Opens no sockets."""
