"""Tests of the package ``steps``."""
