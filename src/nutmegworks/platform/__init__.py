"""The users' platform: its calls, names and formats; decides nothing."""
