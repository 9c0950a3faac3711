"""Measure decisions and processes; every figure comes from a run."""
