"""Tests of the daemon settings."""
