"""Leases of singleton duties, with expiry checks and fencing numbers."""

from .duty import LEASE_MARGIN_S, LEASE_TTL_S, Duty, LeaseLostError
from .manager import DutyManager

__all__ = ["LEASE_MARGIN_S", "LEASE_TTL_S", "Duty", "DutyManager", "LeaseLostError"]
