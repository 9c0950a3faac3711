"""Soak-test processes of entry hosts: inject faults and check callers' answers."""
