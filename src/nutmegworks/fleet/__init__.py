"""Controllers that keep the fleet's state; they touch no caller's socket."""
