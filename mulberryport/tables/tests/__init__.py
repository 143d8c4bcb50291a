"""Tests of the configuration tables."""
