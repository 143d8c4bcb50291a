"""Content of the heartbeats: what this daemon tells its peers and learns."""

from collections.abc import Callable

from attrs import define, field

from ..distribution import Distribution
from ..membership import Member, Members
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..tables import SnapshotHolder

__all__ = ["Heartbeats"]

MAX_AGE_MS = 2**40


@define(eq=False)
class Heartbeats:
    """Makes and takes heartbeats."""

    members: Members
    holder: SnapshotHolder
    distribution: Distribution
    peers: Peers | None = None
    contributors: list[Callable[[peer_pb2.Heartbeat, Member | None], None]] = field(
        factory=list
    )
    listeners: list[Callable[[peer_pb2.Heartbeat], None]] = field(factory=list)

    def make(self, member: Member | None = None) -> peer_pb2.Heartbeat:
        """Return the heartbeat to send now."""
        assert self.peers is not None
        age_ms = self.holder.confirmation_age * 1000
        now = boottime()
        heartbeat = peer_pb2.Heartbeat(
            sender=self.peers.sender(),
            revision=self.holder.snapshot.revision,
            confirmation_age_ms=int(min(age_ms, MAX_AGE_MS)),
            store_readable=self.distribution.store_readable,
            leaving=self.members.self_member.leaving,
            members=[
                peer_pb2.MemberInfo(
                    vm=other.vm,
                    zone=other.zone,
                    peer_address=other.peer_address,
                    incarnation=other.incarnation,
                    heard_ms_ago=int((now - other.heard_at) * 1000),
                    leaving=other.leaving,
                )
                for other in self.members.live()[1:]
            ],
        )
        for contribute in self.contributors:
            contribute(heartbeat, member)
        return heartbeat

    def take(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Learn from a heartbeat."""
        now = boottime()
        sender = heartbeat.sender
        self.members.heard(
            Member(
                sender.vm,
                sender.zone,
                sender.peer_address,
                sender.incarnation,
                heartbeat.leaving,
                now,
            )
        )
        for info in heartbeat.members:
            # Second-hand news of a member introduces it; whether it is live is
            # decided by heartbeats of its own.
            if self.members.get(info.vm) is None:
                self.members.add_seed(info.vm, info.zone, info.peer_address)
        self.distribution.heard(heartbeat)
        for listen in self.listeners:
            listen(heartbeat)

    def answer(self, heartbeat: peer_pb2.Heartbeat) -> peer_pb2.Heartbeat:
        """Learn from a heartbeat and return the one to answer with."""
        self.take(heartbeat)
        return self.make(self.members.get(heartbeat.sender.vm))
