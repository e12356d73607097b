"""The operators' command ``nutmeg``."""
