"""Tests of the package ``quarantine``."""
