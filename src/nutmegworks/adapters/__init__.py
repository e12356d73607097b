"""Interfaces of the stand-alone daemon to its platform, with adapters."""
