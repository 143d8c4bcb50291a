"""Members of the fleet, failure detection and ownership by rendezvous hashing."""

from .members import LIVE_TIMEOUT_S, Member, Members, new_incarnation
from .ranking import rendezvous_order, rendezvous_score

__all__ = [
    "LIVE_TIMEOUT_S",
    "Member",
    "Members",
    "new_incarnation",
    "rendezvous_order",
    "rendezvous_score",
]
