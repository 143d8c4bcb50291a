"""Test data for the package ``quarantine``."""

from ...peering.tests.builders import TOKEN, Node
from ..exchange import CrashExchange
from ..identity import IDENTITY_BYTES
from ..records import Crash, CrashTable

__all__ = ["IDENTITY", "OTHER_IDENTITY", "CrashNode", "crash_targets", "make_crash"]

IDENTITY = b"a" * IDENTITY_BYTES
OTHER_IDENTITY = b"b" * IDENTITY_BYTES


def make_crash(target: str, at: float, *, alone: bool = False, **kwargs) -> Crash:
    """Return a crash of a target that also ran other requests."""
    return Crash(target, at, alone, **kwargs)


def crash_targets(
    table: CrashTable, *crashes: Crash, identity: bytes = IDENTITY
) -> None:
    """Record crashes of one request."""
    for crash in crashes:
        table.record_crash(identity, "chat", "research", crash)


class CrashNode(Node):
    """A node that exchanges crash records with its neighbours."""

    def __init__(self, vm: str, token: str = TOKEN) -> None:
        super().__init__(vm, "zone0", token)
        self.table = CrashTable()
        self.exchange = CrashExchange(self.table, self.members, self.peers.sender)
        self.peers.notices = self.server.notices = self.exchange.notices

    def make_heartbeat(self, peer, announced):
        """Return a heartbeat with the sender and crash records."""
        heartbeat, _ = super().make_heartbeat(peer, announced)
        heartbeat.members_complete = announced is None
        self.exchange.add(heartbeat, peer)
        return heartbeat, True

    def record_heartbeat(self, heartbeat):
        """Record the sender and merge its crash records."""
        super().record_heartbeat(heartbeat)
        self.exchange.apply(heartbeat)

    def reply_to_heartbeat(self, heartbeat, announced):
        """Record a heartbeat and return the answer to it."""
        self.record_heartbeat(heartbeat)
        peer = self.members.get(heartbeat.sender.vm)
        return self.make_heartbeat(peer, announced)
