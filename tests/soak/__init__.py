"""Soak test: run entry hosts as processes, inject faults, check callers' answers."""
