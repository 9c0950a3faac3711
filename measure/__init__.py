"""Measure the decisions and the daemons; figures go to docs after a run."""
