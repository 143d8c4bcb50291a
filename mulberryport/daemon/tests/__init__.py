"""Tests of the package ``daemon``."""
