"""Run operators' commands and print their results."""
