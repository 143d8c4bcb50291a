"""Benchmarks of the routing policy and of the daemons; see ``docs/MEASUREMENTS.md``."""
