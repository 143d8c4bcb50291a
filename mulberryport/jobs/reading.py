"""Reads of job results and item bodies at any daemon.

A daemon answers from memory if it owns the job, otherwise asks the owner, and falls
back to the store. All three return only committed results, so they may differ in
freshness but never in the result at a position.
"""

from collections import OrderedDict

import eventlet
from attrs import define, field, frozen

from ..outcomes import Done, Outcome
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from .codec import encode_result
from .model import Job
from .registry import JobRegistry
from .repository import JobHead

__all__ = ["JobReader", "ResultPage"]

# Polling interval for jobs whose owner cannot be reached.
POLL_INTERVAL_S = 0.2
# Added to the wait of a read for the timeout of the call to the owner.
READ_TIMEOUT_MARGIN_S = 0.5
MAX_WAIT_S = 5.0
MAX_PAGE_BYTES = 900_000
# Limit for the in-memory cache of results of closed jobs.
MAX_CACHED_BYTES = 4_000_000


@frozen
class ResultPage:
    """A page of the results of a job.

    Parameters
    ----------
    total : int
        Number of items of the job.
    results : tuple of bytes
        Encoded results from the requested position on.
    """

    total: int
    results: tuple[bytes, ...]


@define(eq=False)
class JobReader:
    """Reads results and item bodies of jobs.

    Parameters
    ----------
    registry : JobRegistry
        Known jobs and their owners.
    peers : Peers
        Client for calls to the other daemons.
    """

    registry: JobRegistry
    peers: Peers
    _cached_results: OrderedDict[str, list[bytes]] = field(factory=OrderedDict)
    _cached_bytes: int = 0

    def read(
        self, job_id: str, workspace: str, after: int, wait: float
    ) -> Outcome[ResultPage | None]:
        """Return results of a job from a position on, waiting for the first one.

        Parameters
        ----------
        after : int
            Position of the first result to return.
        wait : float
            Seconds to wait for that result.

        Returns
        -------
        Done of Page, Done of None, NotDone or Unknown
            ``Done(None)`` if the workspace definitely has no such job.
        """
        deadline = boottime() + wait
        found = self.registry.find_head(job_id)
        if not isinstance(found, Done):
            return found
        head = found.value
        if head is None or head.workspace != workspace:
            return Done(None)
        while True:
            page = self._read_once(job_id, head, after, deadline)
            remaining_s = deadline - boottime()
            if not isinstance(page, Done) or page.value.results or remaining_s <= 0:
                return page
            if after >= head.total:
                return page
            head = self.registry.heads.get(job_id, head)
            if not head.open:
                return self._read_closed(job_id, head, after)
            eventlet.sleep(min(remaining_s, POLL_INTERVAL_S))

    def read_item_body(
        self, job_id: str, workspace: str, item_id: str
    ) -> Outcome[bytes | None]:
        """Return the body of an item.

        Returns
        -------
        Done of bytes, Done of None, NotDone or Unknown
            ``Done(None)`` if the item definitely does not exist.
        """
        found = self.registry.find_head(job_id)
        if not isinstance(found, Done):
            return found
        if found.value is None or found.value.workspace != workspace:
            return Done(None)
        owned = self.registry.owned.get(job_id)
        job: Outcome[Job] = (
            Done(owned.job)
            if owned is not None
            else self.registry.repository.read_job(job_id)
        )
        if not isinstance(job, Done):
            return job
        item = job.value.item(item_id)
        return Done(item.body if item is not None else None)

    def cache_results(self, job_id: str, results: list[bytes]) -> None:
        """Cache the final results of a closed job, evicting the oldest entries."""
        if job_id in self._cached_results:
            return
        self._cached_results[job_id] = results
        self._cached_bytes += sum(map(len, results))
        while self._cached_bytes > MAX_CACHED_BYTES and len(self._cached_results) > 1:
            _, evicted = self._cached_results.popitem(last=False)
            self._cached_bytes -= sum(map(len, evicted))

    def serve_read(self, request: peer_pb2.ReadJobRequest) -> peer_pb2.ReadJobReply:
        """Handle a read by another daemon of a job that this daemon owns."""
        owned = self.registry.owned.get(request.job)
        if owned is None:
            return peer_pb2.ReadJobReply(owned=False)
        owned.wait_for_position(
            request.after, boottime() + min(request.wait, MAX_WAIT_S)
        )
        if owned.is_closed and not owned.is_complete:
            return peer_pb2.ReadJobReply(owned=False)
        page = _make_page(len(owned.job.items), owned.committed, request.after)
        return peer_pb2.ReadJobReply(owned=True, total=page.total, results=page.results)

    def _read_once(
        self, job_id: str, head: JobHead, after: int, deadline: float
    ) -> Outcome[ResultPage]:
        owned = self.registry.owned.get(job_id)
        if owned is not None:
            owned.wait_for_position(after, deadline)
            if not owned.is_closed or owned.is_complete:
                return Done(_make_page(head.total, owned.committed, after))
        if not head.open:
            return self._read_closed(job_id, head, after)
        vm = self.registry.owner_vm(job_id)
        if vm and owned is None:
            wait = max(0.0, deadline - boottime())
            request = peer_pb2.ReadJobRequest(job=job_id, after=after, wait=wait)
            reply = self.peers.call(
                vm, "ReadJob", request, wait + READ_TIMEOUT_MARGIN_S
            )
            if isinstance(reply, Done) and reply.value.owned:
                return Done(ResultPage(head.total, tuple(reply.value.results)))
        return self._read_from_store(job_id, head, after)

    def _read_from_store(
        self, job_id: str, head: JobHead, after: int
    ) -> Outcome[ResultPage]:
        outcome = self.registry.repository.read_results(job_id)
        if not isinstance(outcome, Done):
            return outcome
        return Done(
            _make_page(head.total, [encode_result(r) for r in outcome.value], after)
        )

    def _read_closed(
        self, job_id: str, head: JobHead, after: int
    ) -> Outcome[ResultPage]:
        """Return results of a closed job, from the cache if possible."""
        cached = self._cached_results.get(job_id)
        if cached is None:
            outcome = self.registry.repository.read_results(job_id)
            if not isinstance(outcome, Done):
                return outcome
            cached = [encode_result(result) for result in outcome.value]
            self.cache_results(job_id, cached)
        return Done(_make_page(head.total, cached, after))


def _make_page(total: int, results: list[bytes], after: int) -> ResultPage:
    """Return a page of bounded size, with at least one result if there is any."""
    page_results: list[bytes] = []
    size = 0
    for result in results[after:]:
        size += len(result)
        if page_results and size > MAX_PAGE_BYTES:
            break
        page_results.append(result)
    return ResultPage(total, tuple(page_results))
