"""Measurements of the policy and of the daemons; see ``docs/MEASUREMENTS.md``."""
