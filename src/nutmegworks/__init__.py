"""Schedules multi-accelerator jobs under team guarantees."""
