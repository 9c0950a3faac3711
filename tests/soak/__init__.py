"""Run entry hosts as processes, inject faults, and check what callers see."""
