"""Benchmarks of the decisions and of the daemons; docs/ quotes their results."""
