"""Selection of upstreams in nutmegd; does no I/O and reads no clock."""
