"""Tests of the package ``runtime``."""
