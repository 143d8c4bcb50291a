"""Membership: which daemons are live according to this daemon.

Membership is soft state. Nothing that requires agreement depends on it; when two
daemons disagree, the cost is a repeated call or an additional reader.
"""

from collections.abc import Iterable

from attrs import define, evolve, field

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Member
from .ranking import rendezvous_order
from .topology import (
    accepts_gossip,
    gossip_for,
    heartbeat_peers,
    is_large,
    is_relay,
)

__all__ = ["HEARTBEAT_PERIOD_S", "LIVE_TIMEOUT_S", "Members"]

MEMBER_JOINED = define_event(
    500, "member_joined", "info", "The first heartbeat of a member was received."
)
MEMBER_LOST = define_event(
    501,
    "member_lost",
    "warning",
    "No heartbeat of a member was received within the live timeout.",
)
MEMBER_RESTARTED = define_event(
    502, "member_restarted", "info", "A member has restarted with a new incarnation."
)
DUPLICATE_ID = define_event(
    503, "duplicate_vm_id", "error", "Another daemon uses the VM id of this daemon."
)

HEARTBEAT_PERIOD_S = 1.0
# Relays of a large deployment have about 50 peers in other zones. At one heartbeat per
# second, these alone would use twice the 9 KB/s that a daemon may use for control.
REMOTE_HEARTBEAT_PERIOD_S = 4.0
MISSED_HEARTBEATS = 5
LIVE_TIMEOUT_S = MISSED_HEARTBEATS * HEARTBEAT_PERIOD_S
# A lost member is removed after this time, so that replaced VMs do not accumulate.
FORGET_TIMEOUT_S = 600.0
# The set of live members is cached because owners are looked up on every request,
# while membership changes a few times a minute at most.
LIVE_CACHE_S = 0.1


@define(eq=False)
class Members:
    """All members that this daemon knows, including itself.

    Parameters
    ----------
    self_member : Member
        This daemon.
    """

    self_member: Member
    _members: dict[str, Member] = field(factory=dict)
    # Members that each peer reports as live, by the id of the peer.
    _reported_live: dict[str, dict[str, Member]] = field(factory=dict)
    # Boot time at which a peer last reported a member; keeps members that sent no
    # heartbeat to this daemon from being removed.
    _reported_at: dict[str, float] = field(factory=dict)
    _seeds: set[str] = field(factory=set)
    _previous_live: frozenset[str] = frozenset()
    _cached_live: tuple[Member, ...] = ()
    _cached_until: float = float("-inf")

    def add_seed(self, vm: str, zone: str, peer_address: str) -> None:
        """Add a daemon that is named in the settings; it is never removed."""
        if vm != self.self_member.vm:
            self._seeds.add(vm)
            self._members.setdefault(vm, Member(vm, zone, peer_address))

    def record_heartbeat(self, member: Member) -> None:
        """Record a heartbeat of a member, received at ``member.heard_at``."""
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

    def apply_gossip(
        self,
        source: Member,
        about: Iterable[Member],
        removed: Iterable[str] = (),
        *,
        complete: bool = True,
    ) -> None:
        """Apply the membership gossip of a peer.

        Parameters
        ----------
        source : Member
            The peer.
        about : iterable of Member
            Members that are live or have changed.
        removed : iterable of str
            Ids of members that the peer does not report as live any more.
        complete : bool
            Whether this replaces all earlier gossip of the peer.
        """
        reported = {} if complete else dict(self._reported_live.get(source.vm, {}))
        for vm in removed:
            reported.pop(vm, None)
        for member in about:
            if member.vm == self.self_member.vm:
                continue
            self._record_address(member)
            if accepts_gossip(self.self_member, source, member):
                reported[member.vm] = member
        self._reported_live[source.vm] = reported
        self._cached_until = float("-inf")

    def expire(self) -> None:
        """Log the members lost since the last call and remove those lost long ago."""
        live = frozenset(member.vm for member in self.live())
        for vm in self._previous_live - live:
            if vm in self._members and not self._members[vm].leaving:
                log(MEMBER_LOST, member=vm)
        self._previous_live = live
        expiry = boottime() - FORGET_TIMEOUT_S
        self._members = {
            vm: member
            for vm, member in self._members.items()
            if vm in self._seeds
            or vm in live
            or max(member.heard_at, self._reported_at.get(vm, expiry)) > expiry
        }
        self._reported_at = {
            vm: at for vm, at in self._reported_at.items() if vm in self._members
        }
        self._reported_live = {
            vm: v for vm, v in self._reported_live.items() if vm in live
        }

    def forget(self, vm: str) -> None:
        """Remove a member immediately, together with its gossip."""
        self._members.pop(vm, None)
        self._reported_live.pop(vm, None)
        self._cached_until = float("-inf")

    def leave(self) -> None:
        """Mark this daemon as stopping."""
        self.self_member = evolve(self.self_member, leaving=True)
        self._cached_until = float("-inf")

    def set_serving(self, serving: bool) -> None:
        """Record whether this daemon has read what it needs to serve."""
        if serving != self.self_member.serving:
            self.self_member = evolve(self.self_member, serving=serving)
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
        """Return the live members, this daemon first."""
        now = boottime()
        if now < self._cached_until:
            return self._cached_live
        direct = {member.vm: member for member in self._directly_live(now)}
        for source in list(direct):
            for vm, member in self._reported_live.get(source, {}).items():
                direct.setdefault(vm, member)
        self._cached_live = (self.self_member, *direct.values())
        self._cached_until = now + LIVE_CACHE_S
        return self._cached_live

    def staying(self) -> tuple[Member, ...]:
        """Return the live members that are not stopping, this daemon first."""
        return tuple(member for member in self.live() if not member.leaving)

    def serving(self) -> tuple[Member, ...]:
        """Return the live members that are not stopping and can serve."""
        return tuple(member for member in self.staying() if member.serving)

    def count_silent(self) -> int:
        """Return the number of members that are not live and did not say they leave."""
        live = {member.vm for member in self.live()}
        return sum(
            member.vm not in live and not member.leaving and member.incarnation != 0
            for member in self._members.values()
        )

    def in_zone(self, zone: str) -> tuple[Member, ...]:
        """Return the live members of an availability zone."""
        return tuple(member for member in self.live() if member.zone == zone)

    def heartbeat_peers(self) -> set[str]:
        """Return the ids of the members to exchange heartbeats with."""
        return heartbeat_peers(self.self_member, self.live(), self.known(), self._seeds)

    def is_relay(self) -> bool:
        """Return whether this daemon is a relay of its availability zone."""
        return is_relay(self.self_member, self.live())

    def is_large(self) -> bool:
        """Return whether the fleet is too large for a full mesh of heartbeats."""
        return is_large(self.live())

    def gossip_for(self, peer: Member) -> list[Member]:
        """Return the members to report to a peer."""
        direct = self._directly_live(boottime())
        own_zone = self.self_member.zone
        indirect = (
            member
            for source in direct
            if source.zone != own_zone
            for member in self._reported_live.get(source.vm, {}).values()
        )
        return gossip_for(self.self_member, peer.zone, direct, indirect)

    def heartbeat_period(self, peer: Member) -> float:
        """Return the period of the heartbeats to a peer, in seconds."""
        remote = peer.zone != self.self_member.zone and self.is_large()
        return REMOTE_HEARTBEAT_PERIOD_S if remote else HEARTBEAT_PERIOD_S

    def owners(self, key: str, count: int) -> tuple[Member, ...]:
        """Return the owners of a key, the first owner first.

        Parameters
        ----------
        key : str
            The key.
        count : int
            Number of owners; fewer are returned if fewer members are live.

        Returns
        -------
        tuple of Member
            Owners in rendezvous order, in distinct zones as far as possible.
            Members that are stopping own nothing unless all members are.
        """
        live = self.live()
        staying = tuple(member for member in live if not member.leaving)
        ordered = rendezvous_order(key, staying or live)
        return _prefer_distinct_zones(ordered, count)

    def _record_address(self, member: Member) -> None:
        """Record the address of a member that a peer reported."""
        now = boottime()
        known = self._members.get(member.vm)
        silent = known is not None and known.heard_at < now - LIVE_TIMEOUT_S
        moved = known is not None and known.peer_address != member.peer_address
        if known is None or (silent and moved):
            self._members[member.vm] = Member(
                member.vm, member.zone, member.peer_address
            )
        self._reported_at[member.vm] = now

    def _directly_live(self, now: float) -> list[Member]:
        """Return the members from which this daemon itself receives heartbeats."""
        # The longer remote period applies in large deployments only. The previous
        # result determines whether this is one.
        large = is_large(self._cached_live)
        remote_period = REMOTE_HEARTBEAT_PERIOD_S if large else HEARTBEAT_PERIOD_S
        local_expiry = now - LIVE_TIMEOUT_S
        remote_expiry = now - MISSED_HEARTBEATS * remote_period
        zone = self.self_member.zone
        return [
            member
            for member in self._members.values()
            if member.heard_at
            > (local_expiry if member.zone == zone else remote_expiry)
        ]


def _prefer_distinct_zones(ordered: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Select the first members, preferring zones that are not selected yet."""
    remaining = list(ordered)
    selected: list[Member] = []
    while remaining and len(selected) < count:
        zones = {member.zone for member in selected}
        following = next((m for m in remaining if m.zone not in zones), remaining[0])
        remaining.remove(following)
        selected.append(following)
    return tuple(selected)
