"""Job records, gang commit and recovery."""
