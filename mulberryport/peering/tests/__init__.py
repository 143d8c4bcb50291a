"""Tests of the package ``peering``."""
