"""The composition root and the daemon ``nutmegd``."""
