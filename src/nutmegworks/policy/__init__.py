"""Scheduling decisions: events in, typed actions out. No I/O or clocks."""
