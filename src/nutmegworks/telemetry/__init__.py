"""Structured logs, metrics and tracing spans."""
