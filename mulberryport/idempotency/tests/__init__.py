"""Tests of the package ``idempotency``."""
