"""Run an entry host: directory, readiness and request forwarding."""
