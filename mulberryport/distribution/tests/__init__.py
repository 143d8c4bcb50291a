"""Tests of the package ``distribution``."""
