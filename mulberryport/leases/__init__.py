"""Leases of singleton duties, with guards and fencing numbers."""

from .duty import LEASE_MARGIN_S, LEASE_TTL_S, Duty, LeaseLostError
from .keeper import DutyKeeper

__all__ = ["LEASE_MARGIN_S", "LEASE_TTL_S", "Duty", "DutyKeeper", "LeaseLostError"]
