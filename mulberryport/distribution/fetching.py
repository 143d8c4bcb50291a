"""Fetching of the configuration snapshot from a daemon."""

from collections.abc import Callable

from ..outcomes import Done, NotDone, Outcome
from ..peering import call_address, peer_pb2
from ..tables import Snapshot
from ..tables.head import decode_head
from ..tables.queries import MalformedRevision, assemble_snapshot

__all__ = ["fetch_snapshot", "shard_lookup"]


def shard_lookup(
    reply: peer_pb2.FetchConfigReply,
) -> Callable[[str], Outcome[bytes]]:
    """Return a function that looks up the content of a shard in a peer's reply."""

    def look_up(digest: str) -> Outcome[bytes]:
        if digest in reply.shards:
            return Done(reply.shards[digest])
        return MalformedRevision(f"shard {digest} was not sent")

    return look_up


def fetch_snapshot(address: str, token: str, timeout: float) -> Outcome[Snapshot]:
    """Fetch the snapshot in force in a daemon, as a client of its peer port.

    Parameters
    ----------
    address : str
        IP address and port of the daemon's peer protocol.
    token : str
        Credential of the peer port.
    timeout : float
        Timeout of the call in seconds.
    """
    outcome = call_address(
        address, token, "FetchConfig", peer_pb2.FetchConfigRequest(), timeout
    )
    if not isinstance(outcome, Done):
        return outcome
    if not outcome.value.head:
        return NotDone("the daemon has no revision")
    try:
        head = decode_head(outcome.value.head)
    except ValueError as error:
        return MalformedRevision(str(error))
    assembled = assemble_snapshot(head, shard_lookup(outcome.value))
    if not isinstance(assembled, Done):
        return assembled
    return Done(assembled.value[0])
