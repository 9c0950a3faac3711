"""Agent daemon: the control plane of an entry host."""
