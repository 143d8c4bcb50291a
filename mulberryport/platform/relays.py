"""Peers that can relay calls to the store, according to their heartbeats."""

import math

from attrs import define, field

from ..membership import Member, Members
from ..peering import peer_pb2
from ..runtime.clock import boottime
from .store import PlatformStore

__all__ = ["StoreRelays"]

# Three heartbeat periods.
REPORT_LIFETIME_S = 3.0
# Relays that are reported to a member, so that it finds one if the relays of its zone
# cannot reach the store either.
MAX_REPORTED_RELAYS = 4
# An age of 0 means that the store never answered.
MIN_AGE_S = 0.001


@define(eq=False)
class StoreRelays:
    """Peers whose heartbeats report that the store responds to them."""

    store: PlatformStore
    members: Members
    _reported_at: dict[str, float] = field(factory=dict)
    # Only members that reported it of themselves; others are not passed on.
    _heard_at: dict[str, float] = field(factory=dict)
    _peers_answered_at: float = float("-inf")

    @property
    def peers_answered_at(self) -> float:
        """Boot time at which the store answered another daemon, as far as known."""
        return self._peers_answered_at

    @property
    def store_readable(self) -> bool:
        """Whether the store responds to this daemon, for its heartbeats."""
        return self.store.served_directly

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Record whether the store responds to the sender of a heartbeat."""
        vm, now = heartbeat.sender.vm, boottime()
        if heartbeat.store_answer_age > 0:
            answered_at = now - heartbeat.store_answer_age
            self._peers_answered_at = max(self._peers_answered_at, answered_at)
        for relay in heartbeat.store_relays:
            if relay != self.members.self_member.vm:
                self._reported_at[relay] = now
        if heartbeat.store_readable and not heartbeat.leaving:
            self._reported_at[vm] = self._heard_at[vm] = now
        else:
            self._reported_at.pop(vm, None)
            self._heard_at.pop(vm, None)

    def add_relays(self, heartbeat: peer_pb2.Heartbeat, peer: Member) -> None:
        """Add to a heartbeat when the store answered, and members that can relay calls.

        The members are added for a peer of this zone.
        """
        now = boottime()
        if self.store.answered_s_ago < math.inf:
            heartbeat.store_answer_age = max(MIN_AGE_S, self.store.answered_s_ago)
        if peer.zone == self.members.self_member.zone:
            heartbeat.store_relays.extend(
                vm
                for vm, reported_at in self._heard_at.items()
                if now - reported_at <= REPORT_LIFETIME_S and vm != peer.vm
            )
            del heartbeat.store_relays[MAX_REPORTED_RELAYS:]

    def available_relays(self) -> list[str]:
        """Return the VMs that can relay calls, those of this zone first."""
        now, zone = boottime(), self.members.self_member.zone
        candidates = [
            member
            for vm, reported_at in self._reported_at.items()
            if now - reported_at <= REPORT_LIFETIME_S
            and (member := self.members.get(vm)) is not None
        ]
        candidates.sort(key=lambda member: (member.zone != zone, member.vm))
        return [member.vm for member in candidates]
