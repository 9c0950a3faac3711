"""Run the control path of an entry host."""
