"""Tests of the package ``streams``."""
