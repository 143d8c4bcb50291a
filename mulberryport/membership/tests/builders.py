"""Builders of members for tests."""

from ...runtime import boottime
from .. import Member, Members

__all__ = ["SEEDS", "fleet_members", "linked_fleet", "member_of"]

SEEDS = 4


def member_of(number: int, zones: int) -> Member:
    """Return the member with a number, in one of ``zones`` zones, heard now."""
    return Member(
        vm=f"vm{number:03}",
        zone=f"zone{number % zones}",
        peer_address=f"127.0.0.1:{number + 1}",
        incarnation=1,
        heard_at=boottime(),
    )


def fleet_members(count: int, zones: int = 3) -> Members:
    """Return the membership of member 0, with heartbeats of all others received."""
    members = Members(member_of(0, zones))
    for number in range(1, count):
        members.record_heartbeat(member_of(number, zones))
    return members


def linked_fleet(count: int, zones: int) -> dict[str, Members]:
    """Return the membership of each member, with the seeds and no heartbeats yet."""
    views = {}
    for number in range(count):
        own = member_of(number, zones)
        views[own.vm] = Members(own)
        for seed in range(min(SEEDS, count)):
            other = member_of(seed, zones)
            views[own.vm].add_seed(other.vm, other.zone, other.peer_address)
    return views
