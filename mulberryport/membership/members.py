"""The members: which daemons are live, as far as this daemon knows.

This state is soft. Nothing that must be agreed depends on it; where two daemons
differ, the cost is a repeated call or an additional reader.
"""

import secrets
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .ranking import rendezvous_order

__all__ = ["LIVE_TIMEOUT_S", "Member", "Members", "new_incarnation"]

MEMBER_JOINED = define_event(500, "member_joined", "info", "A member was heard first.")
MEMBER_LOST = define_event(
    501, "member_lost", "warning", "A member was not heard for the live timeout."
)
MEMBER_RESTARTED = define_event(
    502, "member_restarted", "info", "A member came back with a new incarnation."
)

# Five heartbeats of one second.
LIVE_TIMEOUT_S = 5.0
# A lost member is forgotten after this time, so that replaced VMs do not add up.
FORGET_TIMEOUT_S = 600.0


def new_incarnation() -> int:
    """Return a random number that tells one start of a daemon from another."""
    return secrets.randbits(63)


@frozen
class Member:
    """A daemon.

    Parameters
    ----------
    vm, zone : str
        Id of the VM and its availability zone.
    peer_address : str
        IP number and port of the peer protocol.
    incarnation : int
        0 until the daemon was heard.
    leaving : bool
        Whether it is stopping.
    heard_at : float
        Boot time at which it was last known to be alive.
    """

    vm: str
    zone: str
    peer_address: str
    incarnation: int = 0
    leaving: bool = False
    heard_at: float = float("-inf")


@define(eq=False)
class Members:
    """All members that this daemon knows, itself included.

    Parameters
    ----------
    self_member : Member
        This daemon.
    """

    self_member: Member
    _members: dict[str, Member] = field(factory=dict)
    _live: frozenset[str] = frozenset()

    def add_seed(self, vm: str, zone: str, peer_address: str) -> None:
        """Add a daemon that the settings name and that was not heard yet."""
        if vm != self.self_member.vm:
            self._members.setdefault(vm, Member(vm, zone, peer_address))

    def heard(self, member: Member) -> None:
        """Note that a member was alive at ``member.heard_at``."""
        known = self._members.get(member.vm)
        if member.vm == self.self_member.vm:
            return
        if known is not None and known.heard_at >= member.heard_at:
            return
        if known is None or known.incarnation == 0:
            log(MEMBER_JOINED, member=member.vm, member_zone=member.zone)
        elif known.incarnation != member.incarnation:
            log(MEMBER_RESTARTED, member=member.vm)
        self._members[member.vm] = member

    def expire(self) -> None:
        """Log members that were lost since the last call and forget old ones."""
        live = frozenset(member.vm for member in self.live())
        for vm in self._live - live:
            if vm in self._members and not self._members[vm].leaving:
                log(MEMBER_LOST, member=vm)
        self._live = live
        limit = boottime() - FORGET_TIMEOUT_S
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if member.incarnation == 0 or member.heard_at > limit
        }

    def leave(self) -> None:
        """Mark this daemon as stopping."""
        self.self_member = evolve(self.self_member, leaving=True)

    def get(self, vm: str) -> Member | None:
        """Return a member by the id of its VM."""
        if vm == self.self_member.vm:
            return self.self_member
        return self._members.get(vm)

    def known(self) -> tuple[Member, ...]:
        """Return all other members, live or not."""
        return tuple(self._members.values())

    def live(self) -> tuple[Member, ...]:
        """Return the live members, this one first."""
        limit = boottime() - LIVE_TIMEOUT_S
        others = (m for m in self._members.values() if m.heard_at > limit)
        return (self.self_member, *others)

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Return the live members of an availability zone."""
        return tuple(member for member in self.live() if member.zone == zone)

    def owners(self, key: str, count: int) -> tuple[Member, ...]:
        """Return the members that own a key, the first owner first.

        Parameters
        ----------
        key : str
            What is owned.
        count : int
            How many owners are wanted; fewer are returned if fewer are live.

        Returns
        -------
        tuple of Member
            In rendezvous order, and in distinct zones as far as there are such.
            Members that are stopping own nothing unless there is no other.
        """
        live = self.live()
        staying = tuple(member for member in live if not member.leaving)
        ordered = rendezvous_order(key, staying or live)
        return _spread(ordered, count)


def _spread(ordered: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Return the first members, preferring zones that are not yet among them."""
    rest = list(ordered)
    chosen: list[Member] = []
    while rest and len(chosen) < count:
        zones = {member.zone for member in chosen}
        following = next((m for m in rest if m.zone not in zones), rest[0])
        rest.remove(following)
        chosen.append(following)
    return tuple(chosen)
