"""Tests of the package ``rollouts``."""
