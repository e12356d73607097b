"""The way of a client's call on the users' platform, as a filter chain."""
