"""Tests of the package ``tables``."""
