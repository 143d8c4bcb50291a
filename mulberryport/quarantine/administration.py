"""What operators see of the table of crashes, and the lifting of blocks."""

from collections.abc import Callable
from typing import Any

from attrs import define

from ..peering import PeerServer, peer_pb2
from ..runtime.clock import boottime
from .identity import IDENTITY_BYTES
from .records import CrashTable, Entry

__all__ = [
    "CrashAdministration",
    "decode_entry",
    "describe_entry",
    "encode_entry",
    "parse_identity",
]


def parse_identity(text: str) -> bytes:
    """Return the identity of a request that logs and commands show as hex digits.

    Raises
    ------
    ValueError
        The text is no identity.

    Examples
    --------
    >>> parse_identity("00ff" * 8).hex()
    '00ff00ff00ff00ff00ff00ff00ff00ff'
    >>> parse_identity("00ff")
    Traceback (most recent call last):
    ...
    ValueError: '00ff' is not the identity of a request: 32 hex digits
    """
    try:
        identity = bytes.fromhex(text)
    except ValueError:
        identity = b""
    if len(identity) != IDENTITY_BYTES:
        digits = 2 * IDENTITY_BYTES
        raise ValueError(
            f"{text!r} is not the identity of a request: {digits} hex digits"
        )
    return identity


def describe_entry(entry: Entry) -> dict[str, Any]:
    """Return an entry for JSON."""
    return {
        "identity": entry.identity.hex(),
        "route": entry.route,
        "workspace": entry.workspace,
        "blocked": entry.blocked,
        "crashes": entry.crashes,
        "targets": list(entry.targets),
        "last_crash_age": round(entry.last_crash_age_s, 3),
    }


def encode_entry(entry: Entry) -> peer_pb2.CrashEntry:
    """Return the message for an entry."""
    return peer_pb2.CrashEntry(
        identity=entry.identity,
        route=entry.route,
        workspace=entry.workspace,
        blocked=entry.blocked,
        crashes=entry.crashes,
        targets=entry.targets,
        last_crash_age=entry.last_crash_age_s,
    )


def decode_entry(message: peer_pb2.CrashEntry) -> Entry:
    """Return the entry in a message."""
    return Entry(
        message.identity,
        message.route,
        message.workspace,
        message.blocked,
        message.crashes,
        tuple(message.targets),
        message.last_crash_age,
    )


@define(eq=False)
class CrashAdministration:
    """Lists the suspect and blocked requests of a daemon and lifts blocks.

    Parameters
    ----------
    table : CrashTable
        The crashes that the daemon knows.
    now : callable
        Returns the boot time in seconds.
    """

    table: CrashTable
    now: Callable[[], float] = boottime

    def register(self, peer_server: PeerServer) -> None:
        """Serve operators on the peer port."""
        peer_server.register("ListCrashes", self._list_crashes)
        peer_server.register("LiftBlock", self._lift_block)

    def describe(self, *, blocked: bool) -> list[dict[str, Any]]:
        """Return the blocked requests, or else the suspect ones, for JSON."""
        return [
            describe_entry(entry)
            for entry in self.table.entries(self.now())
            if entry.blocked == blocked
        ]

    def lift(self, identity: bytes) -> bool:
        """Clear the crashes of a request; return False if none is known."""
        return self.table.lift(identity, self.now())

    def _list_crashes(
        self, request: peer_pb2.ListCrashesRequest
    ) -> peer_pb2.ListCrashesReply:
        entries = self.table.entries(self.now())
        return peer_pb2.ListCrashesReply(entries=map(encode_entry, entries))

    def _lift_block(
        self, request: peer_pb2.LiftBlockRequest
    ) -> peer_pb2.LiftBlockReply:
        return peer_pb2.LiftBlockReply(lifted=self.lift(request.identity))
