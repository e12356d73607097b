"""Recorded events of a test run and the rules that they must satisfy."""
