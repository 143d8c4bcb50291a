"""Tests of the soak run."""
