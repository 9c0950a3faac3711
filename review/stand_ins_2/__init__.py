"""Stand-ins of the second independent review."""
