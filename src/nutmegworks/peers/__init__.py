"""Authenticated messages between daemons, in MessagePack over HTTP."""
