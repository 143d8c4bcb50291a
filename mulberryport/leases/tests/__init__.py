"""Tests of the leases of duties."""
