"""Measure and compare: `make measure`."""
