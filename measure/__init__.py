"""Measure the decisions and the daemons; docs/ quotes figures only after a run."""
