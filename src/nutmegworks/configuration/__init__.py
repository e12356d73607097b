"""The operators' configuration of teams and classes.

Includes its changes, validation, storage and distribution to all daemons.
"""
