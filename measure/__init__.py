"""Benchmark the decision modules and daemons; docs/ quotes only measured figures."""
