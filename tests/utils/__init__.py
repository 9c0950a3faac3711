"""Share stand-ins, builders and the manual timer between tests."""
