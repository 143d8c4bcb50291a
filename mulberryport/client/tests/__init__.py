"""Tests of the package ``client``."""
