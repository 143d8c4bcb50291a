"""Tests of the package ``weights``."""
