"""What entry daemons see of the disks."""

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
    965, "journal_node_skipped", "error", "The record of a disk is malformed."
)

# Below the prefix of live keys, which every daemon follows.
JOURNAL_PREFIX = "mulberryport/live/journal/"
CALL_TIMEOUT_S = 0.8


@frozen
class JournalNode:
    """A VM with a disk, and the peer address of its program."""

    vm: str
    zone: str
    address: str

    def encode(self) -> bytes:
        """Return the node's record for the store."""
        return orjson.dumps([self.zone, self.address])


def decode_node(vm: str, value: bytes) -> JournalNode:
    """Return a node from its record.

    Raises
    ------
    ValueError
        The value is no such record.
    """
    try:
        zone, address = orjson.loads(value)
        return JournalNode(vm, str(zone), str(address))
    except TypeError as error:
        raise ValueError(f"not a disk's record: {error!r}") from error


@define(eq=False)
class JournalClient:
    """Keeps jobs on disks.

    Parameters
    ----------
    mirror : Mirror
        Follows the records of the disks.
    peers : Peers
        Calls their programs.
    copies : int
        Disks that must keep a job: one more than may be lost.
    """

    mirror: Mirror
    peers: Peers
    copies: int

    def keep(self, job: Job) -> Outcome[bool]:
        """Keep a job on as many disks as are needed.

        Returns
        -------
        Done of True, NotDone or Unknown
            ``NotDone`` if certainly no disk keeps the job.
        """
        nodes = self._nodes()
        if len(nodes) < self.copies:
            return NotDone(f"{len(nodes)} disks are known, {self.copies} are needed")
        content = encode_job(job)
        pool = eventlet.GreenPool()
        replies = list(
            pool.imap(lambda node: self._keep_at(node, job.id, content), nodes)
        )
        kept = sum(isinstance(reply, Done) and reply.value for reply in replies)
        if kept >= self.copies:
            return Done(True)
        reason = f"{kept} disks of {self.copies} keep job {job.id}"
        if kept or any(isinstance(reply, Unknown) for reply in replies):
            return Unknown(reason)
        return NotDone(reason)

    def _keep_at(self, node: JournalNode, job_id: str, content: bytes) -> Outcome[bool]:
        request = peer_pb2.KeepJobRequest(id=job_id, job=content)
        member = Member(node.vm, node.zone, node.address)
        outcome = self.peers.call_member(member, "KeepJob", request, CALL_TIMEOUT_S)
        return Done(outcome.value.kept) if isinstance(outcome, Done) else outcome

    def _nodes(self) -> list[JournalNode]:
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
