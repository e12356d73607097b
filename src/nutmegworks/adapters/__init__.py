"""Interfaces of nutmegd to its platform, with HTTP adapters."""
