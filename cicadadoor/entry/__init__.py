"""Serve callers on an entry host: directory, readiness and the request path."""
