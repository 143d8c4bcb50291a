"""Tests by randomised runs."""
