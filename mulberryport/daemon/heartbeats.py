"""Content of the heartbeats: what this daemon tells its peers and learns."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, evolve, field, frozen

from ..membership import Member, Members
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..tables import SnapshotHolder

__all__ = ["Heartbeats"]

MAX_AGE_MS = 2**40
# Lists of members change rarely but are long at a relay; they are determined once
# for all peers of a zone.
NEWS_CACHE_S = 0.5


# The members told to a peer, by the id of their VM.
ToldMembers = dict[str, Member]


class StoreState(Protocol):
    """What a daemon tells of its way to the store, and learns of others."""

    @property
    def store_readable(self) -> bool:
        """Whether the store answers this daemon."""

    def heard(self, heartbeat: peer_pb2.Heartbeat) -> object:
        """Learn from a heartbeat."""


@frozen
class CachedNews:
    """The members to tell the peers of one zone, and when they were determined."""

    members: ToldMembers
    made_at: float


@define(eq=False)
class Heartbeats:
    """Makes and takes heartbeats."""

    members: Members
    holder: SnapshotHolder
    distribution: StoreState
    peers: Peers | None = None
    contributors: list[Callable[[peer_pb2.Heartbeat, Member], object]] = field(
        factory=list
    )
    listeners: list[Callable[[peer_pb2.Heartbeat], object]] = field(factory=list)
    _news: dict[str, CachedNews] = field(factory=dict)

    def make(
        self, peer: Member, told: ToldMembers | None
    ) -> tuple[peer_pb2.Heartbeat, ToldMembers]:
        """Return the heartbeat to send to a peer now, and the members told by then.

        Parameters
        ----------
        peer : Member
            Who gets it.
        told : dict or None
            Members told on the stream before; None at its start.
        """
        assert self.peers is not None
        age_ms = self.holder.confirmation_age * 1000
        news = self._news_for(peer)
        heartbeat = peer_pb2.Heartbeat(
            sender=self.peers.sender(),
            revision=self.holder.snapshot.revision,
            confirmation_age_ms=int(min(age_ms, MAX_AGE_MS)),
            store_readable=self.distribution.store_readable,
            leaving=self.members.self_member.leaving,
            members_complete=told is None,
        )
        for contribute in self.contributors:
            contribute(heartbeat, peer)
        if news is not told:
            before = told or {}
            heartbeat.members.extend(
                _to_message(member)
                for vm, member in news.items()
                if before.get(vm) != member
            )
            heartbeat.members_removed.extend(before.keys() - news.keys())
        return heartbeat, news

    def take(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Learn from a heartbeat."""
        sender = _sender(heartbeat)
        self.members.record_heartbeat(sender)
        if heartbeat.members_complete or heartbeat.members or heartbeat.members_removed:
            self.members.apply_gossip(
                sender,
                [_from_message(info) for info in heartbeat.members],
                heartbeat.members_removed,
                complete=heartbeat.members_complete,
            )
        self.distribution.heard(heartbeat)
        for listen in self.listeners:
            listen(heartbeat)

    def answer(
        self, heartbeat: peer_pb2.Heartbeat, told: ToldMembers | None
    ) -> tuple[peer_pb2.Heartbeat, ToldMembers]:
        """Learn from a heartbeat and return the one to answer with."""
        self.take(heartbeat)
        return self.make(_sender(heartbeat), told)

    def _news_for(self, peer: Member) -> ToldMembers:
        """Return the members to tell a peer; the same object while nothing changes."""
        now = boottime()
        cached = self._news.get(peer.zone)
        if cached is not None and now - cached.made_at < NEWS_CACHE_S:
            return cached.members
        # The time at which a member was heard means nothing to others.
        news = {
            member.vm: evolve(member, heard_at=0.0)
            for member in self.members.gossip_for(peer)
        }
        if cached is not None and cached.members == news:
            news = cached.members
        self._news[peer.zone] = CachedNews(news, now)
        return news


def _to_message(member: Member) -> peer_pb2.MemberInfo:
    return peer_pb2.MemberInfo(
        vm=member.vm,
        zone=member.zone,
        peer_address=member.peer_address,
        incarnation=member.incarnation,
        leaving=member.leaving,
    )


def _from_message(info: peer_pb2.MemberInfo) -> Member:
    return Member(info.vm, info.zone, info.peer_address, info.incarnation, info.leaving)


def _sender(heartbeat: peer_pb2.Heartbeat) -> Member:
    sender = heartbeat.sender
    return Member(
        sender.vm,
        sender.zone,
        sender.peer_address,
        sender.incarnation,
        heartbeat.leaving,
        boottime(),
    )
