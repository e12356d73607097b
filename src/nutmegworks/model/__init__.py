"""Shared value types: ids, verdicts, shapes, classes, teams. No I/O."""
