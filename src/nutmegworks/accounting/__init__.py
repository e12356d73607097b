"""How each accelerator-second was used, by whom and why."""
