"""Recorded events of a run and the checker of what was promised."""
