"""Pairs of connected peers for tests."""

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from ...membership import Member, Members
from ...runtime import boottime
from ...standins.fleet import find_free_address
from .. import Peers, PeerServer, peer_pb2

__all__ = ["TOKEN", "Node", "linked_nodes", "start_nodes", "wait_for"]

TOKEN = "token-of-the-peer-tests"


class Node:
    """A peer server and client that exchange heartbeats with the sender only."""

    def __init__(self, vm: str, zone: str, token: str = TOKEN) -> None:
        address = find_free_address()
        self.members = Members(Member(vm, zone, address, 1))
        self.server = PeerServer(address, token)
        self.peers = Peers(
            self.members, token, self.make_heartbeat, self.record_heartbeat
        )
        self.server.register("Exchange", self.reply_to_heartbeat)
        self.heard_at: dict[str, list[float]] = {}

    def make_heartbeat(self, peer, announced):
        """Return a heartbeat that has only the sender set."""
        return peer_pb2.Heartbeat(sender=self.peers.sender()), True

    def record_heartbeat(self, heartbeat):
        """Record the sender as a member, and when it was heard."""
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

    def reply_to_heartbeat(self, heartbeat, announced):
        """Record a heartbeat and return the answer to it."""
        self.record_heartbeat(heartbeat)
        return self.make_heartbeat(None, announced)


def wait_for(condition, timeout):
    """Wait until a condition is true; fail after ``timeout`` seconds."""
    deadline = boottime() + timeout
    while not condition():
        assert boottime() < deadline, "condition did not become true in time"
        eventlet.sleep(0.02)


@contextmanager
def linked_nodes(
    addresses: dict[str, str] | None = None, *, start: bool = True
) -> Iterator[tuple[Node, Node]]:
    """Run two nodes; ``addresses`` overrides the address under which one is known."""
    first, second = Node("vm1", "zone1"), Node("vm2", "zone2")
    try:
        if start:
            start_nodes(first, second, addresses)
        yield first, second
    finally:
        for node in (first, second):
            node.peers.stop()
            node.server.stop()
        eventlet.sleep(0)


def start_nodes(
    first: Node, second: Node, addresses: dict[str, str] | None = None
) -> None:
    """Start two nodes and the heartbeats between them."""
    for node in (first, second):
        node.server.start()
    address = (addresses or {}).get("vm2", second.server.address)
    if callable(address):
        address = address(second.server.address)
    first.members.add_seed("vm2", "zone2", address)
    first.peers.update_heartbeat_tasks()
