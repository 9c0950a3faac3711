"""Provide stand-ins, builders and a manual timer for tests."""
