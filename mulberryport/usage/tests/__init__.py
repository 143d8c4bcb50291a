"""Tests of the package ``usage``."""
