"""Reads and validates the INI settings of nutmegd; opens no sockets."""
