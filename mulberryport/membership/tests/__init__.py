"""Tests of the package ``membership``."""
