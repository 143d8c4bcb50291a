"""Tests of the package ``targets``."""
