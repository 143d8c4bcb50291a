"""The members: which daemons are live, as far as this daemon knows.

This state is soft. Nothing that must be agreed depends on it; where two daemons
differ, the cost is a repeated call or an additional reader.
"""

from collections.abc import Iterable

from attrs import define, evolve, field

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Member
from .ranking import rendezvous_order
from .topology import accepts_news, is_large, neighbours, news_for

__all__ = ["HEARTBEAT_PERIOD_S", "LIVE_TIMEOUT_S", "Members"]

MEMBER_JOINED = define_event(500, "member_joined", "info", "A member was heard first.")
MEMBER_LOST = define_event(
    501, "member_lost", "warning", "A member was not heard for the live timeout."
)
MEMBER_RESTARTED = define_event(
    502, "member_restarted", "info", "A member came back with a new incarnation."
)
DUPLICATE_ID = define_event(
    503, "duplicate_vm_id", "error", "Another daemon uses the id of this VM."
)

HEARTBEAT_PERIOD_S = 1.0
# Relays of a large deployment have some 50 peers in other zones; at one heartbeat a
# second these alone would take twice the 9 KB/s that a daemon may use for control.
REMOTE_HEARTBEAT_PERIOD_S = 4.0
MISSED_HEARTBEATS = 5
LIVE_TIMEOUT_S = MISSED_HEARTBEATS * HEARTBEAT_PERIOD_S
# A lost member is forgotten after this time, so that replaced VMs do not add up.
FORGET_TIMEOUT_S = 600.0
# Membership changes a few times a minute at most, and owners are looked up on
# every request.
CACHE_S = 0.1


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
    # Members that each peer vouches for, by the id of the peer.
    _vouched: dict[str, dict[str, Member]] = field(factory=dict)
    # Boot time at which a member that was never heard was last named.
    _named_at: dict[str, float] = field(factory=dict)
    _seeds: set[str] = field(factory=set)
    _announced: frozenset[str] = frozenset()
    _cached_live: tuple[Member, ...] = ()
    _cached_until: float = float("-inf")

    def add_seed(self, vm: str, zone: str, peer_address: str) -> None:
        """Add a daemon that the settings name; it is never forgotten."""
        if vm != self.self_member.vm:
            self._seeds.add(vm)
            self._members.setdefault(vm, Member(vm, zone, peer_address))

    def heard(self, member: Member) -> None:
        """Note that this daemon heard a member at ``member.heard_at``."""
        if member.vm == self.self_member.vm:
            if member.incarnation != self.self_member.incarnation:
                log(DUPLICATE_ID, address=member.peer_address)
            return
        known = self._members.get(member.vm)
        if known is not None and known.heard_at >= member.heard_at:
            return
        if known is None or known.incarnation == 0:
            log(MEMBER_JOINED, member=member.vm, member_zone=member.zone)
        elif known.incarnation != member.incarnation:
            log(MEMBER_RESTARTED, member=member.vm)
        if known is None or evolve(known, heard_at=member.heard_at) != member:
            self._cached_until = float("-inf")
        self._members[member.vm] = member

    def told(
        self,
        source: Member,
        about: Iterable[Member],
        removed: Iterable[str] = (),
        *,
        complete: bool = True,
    ) -> None:
        """Take over a peer's news of members.

        Parameters
        ----------
        source : Member
            The peer.
        about : iterable of Member
            Members that are live or changed.
        removed : iterable of str
            Ids of members that the peer does not vouch for any more.
        complete : bool
            Whether the news replaces all that the peer told before.
        """
        vouched = {} if complete else dict(self._vouched.get(source.vm, {}))
        for vm in removed:
            vouched.pop(vm, None)
        for member in about:
            if member.vm == self.self_member.vm:
                continue
            self._introduce(member)
            if accepts_news(self.self_member, source, member):
                vouched[member.vm] = member
        self._vouched[source.vm] = vouched
        self._cached_until = float("-inf")

    def expire(self) -> None:
        """Log members that were lost since the last call and forget old ones."""
        live = frozenset(member.vm for member in self.live())
        for vm in self._announced - live:
            if vm in self._members and not self._members[vm].leaving:
                log(MEMBER_LOST, member=vm)
        self._announced = live
        limit = boottime() - FORGET_TIMEOUT_S
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if vm in self._seeds
            or vm in live
            or max(member.heard_at, self._named_at.get(vm, limit)) > limit
        }
        self._named_at = {
            vm: at for vm, at in self._named_at.items() if vm in self._members
        }
        self._vouched = {vm: v for vm, v in self._vouched.items() if vm in live}

    def forget(self, vm: str) -> None:
        """Drop a member at once, as if it had never been heard."""
        self._members.pop(vm, None)
        self._vouched.pop(vm, None)
        self._cached_until = float("-inf")

    def leave(self) -> None:
        """Mark this daemon as stopping."""
        self.self_member = evolve(self.self_member, leaving=True)
        self._cached_until = float("-inf")

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
        now = boottime()
        if now < self._cached_until:
            return self._cached_live
        direct = {member.vm: member for member in self._direct(now)}
        for source in list(direct):
            for vm, member in self._vouched.get(source, {}).items():
                direct.setdefault(vm, member)
        self._cached_live = (self.self_member, *direct.values())
        self._cached_until = now + CACHE_S
        return self._cached_live

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Return the live members of an availability zone."""
        return tuple(member for member in self.live() if member.zone == zone)

    def neighbours(self) -> set[str]:
        """Return the ids of the members to exchange heartbeats with."""
        return neighbours(self.self_member, self.live(), self.known(), self._seeds)

    def news_for(self, peer: Member) -> list[Member]:
        """Return the members to tell a peer about."""
        direct = self._direct(boottime())
        own_zone = self.self_member.zone
        indirect = (
            member
            for source in direct
            if source.zone != own_zone
            for member in self._vouched.get(source.vm, {}).values()
        )
        return news_for(self.self_member, peer.zone, direct, indirect)

    def heartbeat_period(self, peer: Member) -> float:
        """Return the seconds between two heartbeats to a peer."""
        remote = peer.zone != self.self_member.zone and is_large(self.live())
        return REMOTE_HEARTBEAT_PERIOD_S if remote else HEARTBEAT_PERIOD_S

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

    def _introduce(self, member: Member) -> None:
        """Note the address of a member that a peer named."""
        now = boottime()
        known = self._members.get(member.vm)
        silent = known is not None and known.heard_at < now - LIVE_TIMEOUT_S
        moved = known is not None and known.peer_address != member.peer_address
        if known is None or (silent and moved):
            self._members[member.vm] = Member(
                member.vm, member.zone, member.peer_address
            )
        self._named_at[member.vm] = now

    def _direct(self, now: float) -> list[Member]:
        """Return the members that this daemon hears itself."""
        # The longer remote period applies in large deployments only; whether this
        # is one is known from the last result.
        large = is_large(self._cached_live)
        remote = REMOTE_HEARTBEAT_PERIOD_S if large else HEARTBEAT_PERIOD_S
        local_limit = now - LIVE_TIMEOUT_S
        remote_limit = now - MISSED_HEARTBEATS * remote
        zone = self.self_member.zone
        return [
            member
            for member in self._members.values()
            if member.heard_at > (local_limit if member.zone == zone else remote_limit)
        ]


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
