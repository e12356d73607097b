"""Accounts for the use of accelerator time by category, team and class."""
