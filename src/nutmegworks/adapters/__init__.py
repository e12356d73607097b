"""Interfaces to the platform and one HTTP adapter for each."""
