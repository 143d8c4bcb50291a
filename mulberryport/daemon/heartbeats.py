"""Content of heartbeats: what this daemon reports to its peers and learns from them."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, evolve, field, frozen

from ..membership import Member, Members
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..tables import SnapshotHolder

__all__ = ["Heartbeats"]

MAX_AGE_MS = 2**40
# The members to announce change rarely, but a relay has many of them; they are
# computed once for all peers of a zone.
GOSSIP_CACHE_TTL_S = 0.5


# The members announced to a peer, by VM id.
GossipedMembers = dict[str, Member]


class StoreStatus(Protocol):
    """Access of this daemon to the store, and what peers report about theirs."""

    @property
    def store_readable(self) -> bool:
        """Whether this daemon can read the store."""

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> object:
        """Record what a peer reports in a heartbeat."""


@frozen
class CachedGossip:
    """The members to announce to the peers of one zone, and when they were computed."""

    members: GossipedMembers
    computed_at: float


@define(eq=False)
class Heartbeats:
    """Builds the heartbeats for peers and applies the heartbeats of peers.

    Parameters
    ----------
    members : Members
        Known members, updated from heartbeats and announced in them.
    snapshot_holder : SnapshotHolder
        Holds the configuration revision to report.
    store_status : StoreStatus
        This daemon's access to the store.
    peers : Peers or None
        Supplies the sender data; must be set before a heartbeat is built.
    contributors : list of callable
        Called with each heartbeat for a peer and with the peer, to add fields.
    listeners : list of callable
        Called with each heartbeat of a peer.
    """

    members: Members
    snapshot_holder: SnapshotHolder
    store_status: StoreStatus
    peers: Peers | None = None
    contributors: list[Callable[[peer_pb2.Heartbeat, Member], object]] = field(
        factory=list
    )
    listeners: list[Callable[[peer_pb2.Heartbeat], object]] = field(factory=list)
    _gossip_cache: dict[str, CachedGossip] = field(factory=dict)

    def make_heartbeat(
        self, peer: Member, announced: GossipedMembers | None
    ) -> tuple[peer_pb2.Heartbeat, GossipedMembers]:
        """Return the heartbeat to send to a peer now, and the members announced so far.

        Parameters
        ----------
        peer : Member
            The recipient.
        announced : dict or None
            Members announced on the stream before; None at its start.
        """
        assert self.peers is not None
        age_ms = self.snapshot_holder.confirmation_age * 1000
        gossip = self._gossip_for(peer)
        heartbeat = peer_pb2.Heartbeat(
            sender=self.peers.sender(),
            revision=self.snapshot_holder.snapshot.revision,
            confirmation_age_ms=int(min(age_ms, MAX_AGE_MS)),
            store_readable=self.store_status.store_readable,
            leaving=self.members.self_member.leaving,
            not_serving=not self.members.self_member.serving,
            members_complete=announced is None,
        )
        for contribute in self.contributors:
            contribute(heartbeat, peer)
        if gossip is not announced:
            before = announced or {}
            heartbeat.members.extend(
                _member_to_message(member)
                for vm, member in gossip.items()
                if before.get(vm) != member
            )
            heartbeat.members_removed.extend(before.keys() - gossip.keys())
        return heartbeat, gossip

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Update members and listeners from a peer's heartbeat."""
        sender = _sender_member(heartbeat)
        self.members.record_heartbeat(sender)
        if heartbeat.members_complete or heartbeat.members or heartbeat.members_removed:
            self.members.apply_gossip(
                sender,
                [_member_from_message(info) for info in heartbeat.members],
                heartbeat.members_removed,
                complete=heartbeat.members_complete,
            )
        self.store_status.apply_heartbeat(heartbeat)
        for listen in self.listeners:
            listen(heartbeat)

    def reply_to_heartbeat(
        self, heartbeat: peer_pb2.Heartbeat, announced: GossipedMembers | None
    ) -> tuple[peer_pb2.Heartbeat, GossipedMembers]:
        """Apply a peer's heartbeat and return the one to reply with."""
        self.apply_heartbeat(heartbeat)
        return self.make_heartbeat(_sender_member(heartbeat), announced)

    def _gossip_for(self, peer: Member) -> GossipedMembers:
        """Return the members to announce to a peer; the same object until they change.

        The identity of the object lets callers detect a change without comparing.
        """
        now = boottime()
        cached = self._gossip_cache.get(peer.zone)
        if cached is not None and now - cached.computed_at < GOSSIP_CACHE_TTL_S:
            return cached.members
        # The time of a member's last heartbeat is relevant to this daemon only.
        gossip = {
            member.vm: evolve(member, heard_at=0.0)
            for member in self.members.gossip_for(peer)
        }
        if cached is not None and cached.members == gossip:
            gossip = cached.members
        self._gossip_cache[peer.zone] = CachedGossip(gossip, now)
        return gossip


def _member_to_message(member: Member) -> peer_pb2.MemberInfo:
    return peer_pb2.MemberInfo(
        vm=member.vm,
        zone=member.zone,
        peer_address=member.peer_address,
        incarnation=member.incarnation,
        leaving=member.leaving,
        not_serving=not member.serving,
    )


def _member_from_message(info: peer_pb2.MemberInfo) -> Member:
    return Member(
        info.vm,
        info.zone,
        info.peer_address,
        info.incarnation,
        info.leaving,
        serving=not info.not_serving,
    )


def _sender_member(heartbeat: peer_pb2.Heartbeat) -> Member:
    sender = heartbeat.sender
    return Member(
        sender.vm,
        sender.zone,
        sender.peer_address,
        sender.incarnation,
        heartbeat.leaving,
        boottime(),
        serving=not heartbeat.not_serving,
    )
