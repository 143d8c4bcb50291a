"""Reading of a revision from the answer of a daemon."""

from collections.abc import Callable

from ..membership import Member, Members
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, peer_pb2
from ..tables import Snapshot
from ..tables.head import decode_head
from ..tables.queries import MalformedRevision, assemble_snapshot

__all__ = ["fetch_snapshot", "shard_finder"]


def shard_finder(
    reply: peer_pb2.FetchConfigReply,
) -> Callable[[str], Outcome[bytes]]:
    """Return a function that finds the content of a shard in an answer."""

    def find(digest: str) -> Outcome[bytes]:
        if digest in reply.shards:
            return Done(reply.shards[digest])
        return MalformedRevision(f"shard {digest} was not sent")

    return find


def fetch_snapshot(address: str, token: str, timeout: float) -> Outcome[Snapshot]:
    """Read the snapshot in force in a daemon, as a client of its peer port.

    Parameters
    ----------
    address : str
        IP number and port of the daemon's peer protocol.
    token : str
        Credential of the peer port.
    timeout : float
        Seconds.
    """
    members = Members(Member("command-line", "none", address))
    members.add_seed("daemon", "none", address)
    peers = Peers(members, token, _no_heartbeats, _no_heartbeats)
    try:
        outcome = peers.call(
            "daemon", "FetchConfig", peer_pb2.FetchConfigRequest(), timeout
        )
    finally:
        peers.stop()
    if not isinstance(outcome, Done):
        return outcome
    if not outcome.value.head:
        return NotDone("the daemon has no revision")
    try:
        head = decode_head(outcome.value.head)
    except ValueError as error:
        return MalformedRevision(str(error))
    assembled = assemble_snapshot(head, shard_finder(outcome.value))
    if not isinstance(assembled, Done):
        return assembled
    return Done(assembled.value[0])


def _no_heartbeats(_: object) -> peer_pb2.Heartbeat:
    raise NotImplementedError("a command exchanges no heartbeats")
