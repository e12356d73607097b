"""Structured logs, metrics and spans."""
