"""Client of the journal nodes, used by entry daemons."""

import eventlet
import orjson
from attrs import define, frozen

from ..coordination import Mirror
from ..jobs import Job
from ..jobs.codec import encode_job
from ..membership import Member
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..peering import Peers, peer_pb2
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["JOURNAL_PREFIX", "JournalClient", "JournalNode", "decode_node"]

NODE_SKIPPED = define_event(
    965, "journal_node_skipped", "error", "The record of a journal node is malformed."
)

# Below the prefix of live keys, which every daemon mirrors.
JOURNAL_PREFIX = "mulberryport/live/journal/"
KEEP_JOB_TIMEOUT_S = 0.8
HOLDS_JOB_TIMEOUT_S = 0.4
# Lets a large job pass over a slow link to the disks.
MIN_TRANSFER_BYTES_PER_S = 4_000_000


@frozen
class JournalNode:
    """A VM with a journal disk, and the peer address of its journal service."""

    vm: str
    zone: str
    address: str

    def encode(self) -> bytes:
        """Encode the node's record for the store."""
        return orjson.dumps([self.zone, self.address])


def decode_node(vm: str, value: bytes) -> JournalNode:
    """Decode a node's record.

    Raises
    ------
    ValueError
        The value is not a valid record.
    """
    try:
        zone, address = orjson.loads(value)
        return JournalNode(vm, str(zone), str(address))
    except TypeError as error:
        raise ValueError(f"not the record of a journal node: {error!r}") from error


@define(eq=False)
class JournalClient:
    """Writes jobs to several journal nodes.

    Parameters
    ----------
    mirror : Mirror
        Mirror of the records of the journal nodes.
    peers : Peers
        Client for calls to the journal services.
    required_copies : int
        Number of disks that must have a job: one more than may be lost.
    """

    mirror: Mirror
    peers: Peers
    required_copies: int

    def persist(self, job: Job) -> Outcome[bool]:
        """Write a job to all nodes and require enough of them to confirm it.

        Returns
        -------
        Done of True, NotDone or Unknown
            ``NotDone`` if definitely no disk has the job.
        """
        nodes = self._known_nodes()
        if len(nodes) < self.required_copies:
            return NotDone(
                f"{len(nodes)} disks are known, {self.required_copies} are required"
            )
        request = peer_pb2.KeepJobRequest(id=job.id, job=encode_job(job))
        pool = eventlet.GreenPool()
        replies = list(pool.imap(lambda node: self._write_to(node, request), nodes))
        copies = sum(isinstance(reply, Done) and reply.value for reply in replies)
        if copies >= self.required_copies:
            return Done(True)
        reason = f"{copies} disks of {self.required_copies} keep job {job.id}"
        if copies or any(isinstance(reply, Unknown) for reply in replies):
            return Unknown(reason)
        return NotDone(reason)

    def holds(self, job_id: str) -> Outcome[bool]:
        """Return whether a job is kept on disks that the store may lack.

        Returns
        -------
        Done of bool, NotDone or Unknown
            ``Done(False)`` if so many disks lack the job that the others are too few to
            have confirmed it.
        """
        nodes, request = self._known_nodes(), peer_pb2.HoldsJobRequest(id=job_id)

        def ask(node: JournalNode) -> Outcome[bool]:
            member = Member(node.vm, node.zone, node.address)
            outcome = self.peers.call_member(
                member, "HoldsJob", request, HOLDS_JOB_TIMEOUT_S
            )
            return Done(outcome.value.held) if isinstance(outcome, Done) else outcome

        replies = list(eventlet.GreenPool().imap(ask, nodes))
        if Done(True) in replies:
            return Done(True)
        lacking = replies.count(Done(False))
        if len(nodes) - lacking < self.required_copies:
            return Done(False)
        return NotDone(
            f"{lacking} of {len(nodes)} disks say that they lack job {job_id}"
        )

    def _write_to(
        self, node: JournalNode, request: peer_pb2.KeepJobRequest
    ) -> Outcome[bool]:
        member = Member(node.vm, node.zone, node.address)
        timeout = KEEP_JOB_TIMEOUT_S + len(request.job) / MIN_TRANSFER_BYTES_PER_S
        outcome = self.peers.call_member(member, "KeepJob", request, timeout)
        return Done(outcome.value.kept) if isinstance(outcome, Done) else outcome

    def _known_nodes(self) -> list[JournalNode]:
        nodes = []
        for key, item in self.mirror.items.items():
            if not key.startswith(JOURNAL_PREFIX):
                continue
            try:
                node = decode_node(key.removeprefix(JOURNAL_PREFIX), item.value)
            except ValueError as error:
                log(NODE_SKIPPED, key=key, error=str(error))
                continue
            nodes.append(node)
        return nodes
