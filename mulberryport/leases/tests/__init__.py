"""Tests of the package ``leases``."""
