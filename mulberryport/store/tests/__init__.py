"""Tests of the package ``store``."""
