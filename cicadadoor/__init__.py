"""Steer global traffic between callers and backend servers."""

__version__ = '0.1.0'
