"""Tests of the package ``gateway``."""
