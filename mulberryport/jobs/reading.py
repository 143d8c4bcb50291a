"""Results and bodies of jobs for readers at any daemon.

A daemon answers from its memory if it owns the job, asks the owner, or reads what the
store has. All three show only what is listed, so they differ in how new they are and
never in what stands at a position.
"""

from collections import OrderedDict

import eventlet
from attrs import define, field, frozen

from ..outcomes import Done, Outcome
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from .archive import JobHead
from .board import JobBoard
from .codec import encode_result
from .model import Job

__all__ = ["JobReader", "Page"]

# Between two looks at a job whose owner cannot be asked.
RETRY_S = 0.2
# Time beyond the wait for an owner to answer a read.
READ_EXTRA_S = 0.5
MAX_WAIT_S = 5.0
RESULT_BYTES = 900_000
# Results of closed jobs that are kept in memory for readers.
CLOSED_BYTES = 4_000_000


@frozen
class Page:
    """Some results of a job.

    Parameters
    ----------
    total : int
        Number of the job's items.
    results : tuple of bytes
        Encoded results from the wanted position on.
    """

    total: int
    results: tuple[bytes, ...]


@define(eq=False)
class JobReader:
    """Reads jobs.

    Parameters
    ----------
    board : JobBoard
        What is known of jobs.
    peers : Peers
        The other daemons.
    """

    board: JobBoard
    peers: Peers
    _closed: OrderedDict[str, list[bytes]] = field(factory=OrderedDict)
    _closed_bytes: int = 0

    def read(
        self, job_id: str, workspace: str, after: int, wait: float
    ) -> Outcome[Page | None]:
        """Return results of a job from a position on.

        Parameters
        ----------
        after : int
            Position of the first result wanted.
        wait : float
            Seconds to wait for it.

        Returns
        -------
        Done of Page, Done of None, NotDone or Unknown
            ``Done(None)`` if the workspace certainly has no such job.
        """
        deadline = boottime() + wait
        found = self.board.find_head(job_id)
        if not isinstance(found, Done):
            return found
        head = found.value
        if head is None or head.workspace != workspace:
            return Done(None)
        while True:
            page = self._read_once(job_id, head, after, deadline)
            left = deadline - boottime()
            if not isinstance(page, Done) or page.value.results or left <= 0:
                return page
            if after >= head.total:
                return page
            head = self.board.heads.get(job_id, head)
            if not head.open:
                return self._read_closed(job_id, head, after)
            eventlet.sleep(min(left, RETRY_S))

    def item_body(
        self, job_id: str, workspace: str, item_id: str
    ) -> Outcome[bytes | None]:
        """Return the body of an item.

        Returns
        -------
        Done of bytes, Done of None, NotDone or Unknown
            ``Done(None)`` if there certainly is no such item.
        """
        found = self.board.find_head(job_id)
        if not isinstance(found, Done):
            return found
        if found.value is None or found.value.workspace != workspace:
            return Done(None)
        owned = self.board.owned.get(job_id)
        job: Outcome[Job] = (
            Done(owned.job)
            if owned is not None
            else self.board.archive.read_job(job_id)
        )
        if not isinstance(job, Done):
            return job
        item = job.value.item(item_id)
        return Done(item.body if item is not None else None)

    def remember_closed(self, job_id: str, results: list[bytes]) -> None:
        """Keep the results of a job to which nothing is added any more."""
        if job_id in self._closed:
            return
        self._closed[job_id] = results
        self._closed_bytes += sum(map(len, results))
        while self._closed_bytes > CLOSED_BYTES and len(self._closed) > 1:
            _, dropped = self._closed.popitem(last=False)
            self._closed_bytes -= sum(map(len, dropped))

    def serve_read(self, request: peer_pb2.ReadJobRequest) -> peer_pb2.ReadJobReply:
        """Answer another daemon from an own job."""
        owned = self.board.owned.get(request.job)
        if owned is None:
            return peer_pb2.ReadJobReply(owned=False)
        owned.wait_for(request.after, boottime() + min(request.wait, MAX_WAIT_S))
        if owned.closed and not owned.complete:
            return peer_pb2.ReadJobReply(owned=False)
        page = _page(len(owned.job.items), owned.listed, request.after)
        return peer_pb2.ReadJobReply(owned=True, total=page.total, results=page.results)

    def _read_once(
        self, job_id: str, head: JobHead, after: int, deadline: float
    ) -> Outcome[Page]:
        owned = self.board.owned.get(job_id)
        if owned is not None:
            owned.wait_for(after, deadline)
            if not owned.closed or owned.complete:
                return Done(_page(head.total, owned.listed, after))
        if not head.open:
            return self._read_closed(job_id, head, after)
        vm = self.board.owner_vm(job_id)
        if vm and owned is None:
            wait = max(0.0, deadline - boottime())
            request = peer_pb2.ReadJobRequest(job=job_id, after=after, wait=wait)
            reply = self.peers.call(vm, "ReadJob", request, wait + READ_EXTRA_S)
            if isinstance(reply, Done) and reply.value.owned:
                return Done(Page(head.total, tuple(reply.value.results)))
        return self._read_stored(job_id, head, after)

    def _read_stored(self, job_id: str, head: JobHead, after: int) -> Outcome[Page]:
        outcome = self.board.archive.read_results(job_id)
        if not isinstance(outcome, Done):
            return outcome
        return Done(_page(head.total, [encode_result(r) for r in outcome.value], after))

    def _read_closed(self, job_id: str, head: JobHead, after: int) -> Outcome[Page]:
        """Return results of a job to which nothing is added any more."""
        known = self._closed.get(job_id)
        if known is None:
            outcome = self.board.archive.read_results(job_id)
            if not isinstance(outcome, Done):
                return outcome
            known = [encode_result(result) for result in outcome.value]
            self.remember_closed(job_id, known)
        return Done(_page(head.total, known, after))


def _page(total: int, results: list[bytes], after: int) -> Page:
    """Return results from a position on, at least one if there is one."""
    chosen: list[bytes] = []
    size = 0
    for result in results[after:]:
        size += len(result)
        if chosen and size > RESULT_BYTES:
            break
        chosen.append(result)
    return Page(total, tuple(chosen))
