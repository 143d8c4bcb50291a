"""Builders of peers for tests."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from ...membership import Member, Members
from ...runtime import boottime
from ...standins.fleet import free_address
from .. import Peers, PeerServer, peer_pb2

__all__ = ["TOKEN", "Node", "linked_nodes"]

TOKEN = "token-of-the-peer-tests"


class Node:
    """A peer server and client that exchange plain heartbeats."""

    def __init__(self, vm: str, zone: str) -> None:
        address = free_address()
        self.members = Members(Member(vm, zone, address, 1))
        self.server = PeerServer(address, TOKEN)
        self.peers = Peers(self.members, TOKEN, self.make, self.take)
        self.server.register("Exchange", self.answer)
        self.heard_at: dict[str, list[float]] = {}

    def make(self, peer, told):
        """Return a heartbeat with the sender alone."""
        return peer_pb2.Heartbeat(sender=self.peers.sender()), True

    def take(self, heartbeat):
        """Note that a peer was heard."""
        sender = heartbeat.sender
        member = Member(
            sender.vm,
            sender.zone,
            sender.peer_address,
            sender.incarnation,
            False,
            boottime(),
        )
        self.members.record_heartbeat(member)
        self.heard_at.setdefault(sender.vm, []).append(boottime())

    def answer(self, heartbeat, told):
        """Take a heartbeat and answer it."""
        self.take(heartbeat)
        return self.make(None, told)


@contextmanager
def linked_nodes(
    addresses: dict[str, str] | None = None,
) -> Iterator[tuple[Node, Node]]:
    """Run two nodes; ``addresses`` replaces the address at which one finds another."""
    first, second = Node("vm1", "zone1"), Node("vm2", "zone2")
    try:
        for node in (first, second):
            node.server.start()
        where = (addresses or {}).get("vm2", second.server.address)
        if callable(where):
            where = where(second.server.address)
        first.members.add_seed("vm2", "zone2", where)
        first.peers.update()
        yield first, second
    finally:
        for node in (first, second):
            node.peers.stop()
            node.server.stop()
        eventlet.sleep(0)
