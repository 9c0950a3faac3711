"""Serve callers on an entry host (the data path)."""
