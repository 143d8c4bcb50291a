"""Tests of the client of the key-value store."""
