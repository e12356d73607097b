"""Adapters to the users' platform: its HTTP calls, key names and formats."""
