"""Decide without I/O: callers pass in what is known and the current time."""
