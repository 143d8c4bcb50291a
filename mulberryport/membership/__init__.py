"""Fleet membership, failure detection and ownership by rendezvous hashing."""

from .fleet_clock import FleetClock
from .members import HEARTBEAT_PERIOD_S, LIVE_TIMEOUT_S, Members
from .model import Member, new_incarnation
from .ranking import rendezvous_order, rendezvous_score

__all__ = [
    "FleetClock",
    "HEARTBEAT_PERIOD_S",
    "LIVE_TIMEOUT_S",
    "Member",
    "Members",
    "new_incarnation",
    "rendezvous_order",
    "rendezvous_score",
]
