"""Parse operators' commands and print their results."""
