"""Scheduling decisions of one failure domain: events in, actions out."""
