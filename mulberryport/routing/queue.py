"""The queue of a pool: weighted fair queueing between workspaces.

Workspaces are served by deficit round robin (Shreedhar and Varghese, "Efficient
fair queueing using deficit round robin", SIGCOMM 1995). A request is served as
soon as the deficit counter of its workspace is positive, and its cost may make the
counter negative, so that a workspace with a small weight need not accumulate quanta
before a costly request. A workspace that was idle is served first (like new flows in
FQ-CoDel, RFC 8290, section 4.2). A negative counter is kept after the workspace's
queue becomes empty.

Priority orders the requests of one workspace only, so that no workspace gains a
larger share by marking its requests as urgent.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import islice

from attrs import define, field

from .model import WorkRequest

__all__ = ["FairQueue", "QueuedRequest"]

# Requests of a workspace that are examined for one that prefers the free target.
LOOK_AHEAD = 16


@define(eq=False)
class QueuedRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    work : WorkRequest
        The request.
    notify : callable
        Called once with the outcome: a ``Grant`` or a ``ShedError``.
    skip_count : int
        Number of times that a later request of its workspace was served first.
    gives_way : bool
        Whether the request is served after the others of its workspace and priority.
    """

    work: WorkRequest
    notify: Callable[[object], None]
    skip_count: int = 0
    gives_way: bool = False

    @property
    def rank(self) -> tuple[int, bool]:
        """Rank among the requests of its workspace; higher ones are served first."""
        return self.work.priority, not self.gives_way


@define(eq=False)
class Flow:
    """The queued requests of one workspace, by rank and then by arrival."""

    workspace: str
    deficit: float = 0.0
    has_quantum: bool = False
    length: int = 0
    _by_rank: dict[tuple[int, bool], dict[QueuedRequest, None]] = field(factory=dict)

    def add(self, queued: QueuedRequest) -> None:
        """Append a request to those of the same rank."""
        self._by_rank.setdefault(queued.rank, {})[queued] = None
        self.length += 1

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request; return whether it was queued."""
        same_rank = self._by_rank.get(queued.rank, {})
        if queued not in same_rank:
            return False
        del same_rank[queued]
        if not same_rank:
            del self._by_rank[queued.rank]
        self.length -= 1
        return True

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the requests in the order in which they are served."""
        for rank in sorted(self._by_rank, reverse=True):
            yield from self._by_rank[rank]

    def count_before(self, rank: tuple[int, bool]) -> int:
        """Return the number of requests that a new one of a rank is served after."""
        return sum(len(queued) for r, queued in self._by_rank.items() if r >= rank)

    def lowest_ranked(self) -> QueuedRequest:
        """Return the request that would be served last."""
        return next(reversed(self._by_rank[min(self._by_rank)]))

    def next_fitting(
        self,
        fits: Callable[[WorkRequest], bool],
        prefers: Callable[[WorkRequest], bool],
    ) -> QueuedRequest | None:
        """Return the request to serve now.

        This is the first that fits, or one close behind it that prefers the free
        target (delay scheduling, Zaharia et al., EuroSys 2010). A request that was
        skipped ``LOOK_AHEAD`` times is not skipped again.
        """
        first = None
        examined = 0
        for queued in self:
            work = queued.work
            if not fits(work):
                continue
            if first is None:
                first = queued
                if first.skip_count >= LOOK_AHEAD:
                    return first
            if queued.rank != first.rank or examined >= LOOK_AHEAD:
                break
            examined += 1
            if prefers(work):
                if queued is not first:
                    first.skip_count += 1
                return queued
        return first


def _accept_any(_: WorkRequest) -> bool:
    return True


def _prefer_none(_: WorkRequest) -> bool:
    return False


@define(eq=False)
class FairQueue:
    """The queued requests of a pool.

    Parameters
    ----------
    weight_of : callable
        Returns the weight of a workspace by its name, above 0.
    max_length : int
        Largest number of queued requests.

    Examples
    --------
    >>> queue = FairQueue({"a": 2.0, "b": 1.0}.__getitem__, 10)
    >>> for name in "aaabbb":
    ...     _ = queue.add(QueuedRequest(WorkRequest("pool", name), print))
    >>> [queue.pop().work.workspace for _ in range(6)]
    ['a', 'a', 'b', 'a', 'b', 'b']
    """

    weight_of: Callable[[str], float]
    max_length: int
    # Flows of workspaces that were idle are served first. An empty flow is kept
    # until its deficit is positive again.
    _new_flows: dict[str, Flow] = field(factory=dict)
    _old_flows: dict[str, Flow] = field(factory=dict)
    _length: int = 0

    def __len__(self) -> int:
        return self._length

    @property
    def lengths(self) -> Counter:
        """Number of queued requests of each workspace."""
        return Counter({flow.workspace: flow.length for flow in self._all_flows()})

    def add(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request and return the one that was evicted, if any.

        A full queue evicts the request that would be served last in the workspace
        with the longest queue relative to its weight; that may be the new one.
        """
        workspace = queued.work.workspace
        flow = self._new_flows.get(workspace) or self._old_flows.get(workspace)
        if flow is None:
            flow = self._new_flows[workspace] = Flow(workspace)
        flow.add(queued)
        self._length += 1
        if self._length <= self.max_length:
            return None
        longest = max(
            self._all_flows(),
            key=lambda flow: flow.length / self.weight_of(flow.workspace),
        )
        evicted = longest.lowest_ranked()
        self.remove(evicted)
        return evicted

    def any_fits(self, fits: Callable[[WorkRequest], bool]) -> bool:
        """Return whether one of the requests that are next in turn fits a target."""
        return any(
            fits(queued.work)
            for flow in self._all_flows()
            for queued in islice(flow, LOOK_AHEAD)
        )

    def count_before(self, queued: QueuedRequest) -> float:
        """Return how many requests would be served before a new one.

        Those of other workspaces count as far as their shares reach until then.
        """
        workspace = queued.work.workspace
        flows = {flow.workspace: flow for flow in self._all_flows()}
        own = flows.pop(workspace, None)
        own_count = own.count_before(queued.rank) if own is not None else 0
        weight = self.weight_of(workspace)
        return own_count + sum(
            min(flow.length, (own_count + 1) * self.weight_of(name) / weight)
            for name, flow in flows.items()
        )

    def remove(self, queued: QueuedRequest) -> bool:
        """Remove a request; return whether it was queued."""
        workspace = queued.work.workspace
        flow = self._new_flows.get(workspace) or self._old_flows.get(workspace)
        if flow is None or not flow.remove(queued):
            return False
        self._length -= 1
        return True

    def pop_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [request for flow in self._all_flows() for request in flow]
        expired = [queued for queued in expired if queued.work.deadline <= now]
        for queued in expired:
            self.remove(queued)
        return expired

    def pop(
        self,
        fits: Callable[[WorkRequest], bool] = _accept_any,
        prefers: Callable[[WorkRequest], bool] = _prefer_none,
    ) -> QueuedRequest | None:
        """Remove and return the next request that fits a free slot.

        Parameters
        ----------
        fits : callable
            Returns whether a request may use the slot.
        prefers : callable
            Returns whether the target is likely to have the request's prefix cached.
        """
        next_requests: dict[str, QueuedRequest] = {}
        for flow in self._all_flows():
            queued = flow.next_fitting(fits, prefers)
            if queued is not None:
                next_requests[flow.workspace] = queued
        if not next_requests:
            return None
        while True:
            for flow in self._all_flows():
                queued = next_requests.get(flow.workspace)
                if queued is not None and not flow.has_quantum:
                    flow.has_quantum = True
                    flow.deficit = self._quantum(flow.workspace)
                if queued is not None and flow.deficit > 0:
                    flow.deficit -= queued.work.cost
                    self.remove(queued)
                    return queued
                if queued is not None or not flow.length:
                    self._end_turn(flow)
            self._skip_idle_rounds([self._old_flows[name] for name in next_requests])

    def _all_flows(self) -> list[Flow]:
        return [*self._new_flows.values(), *self._old_flows.values()]

    def _quantum(self, workspace: str) -> float:
        """Return the quantum of a workspace; the mean over the flows is one request."""
        weights = [self.weight_of(flow.workspace) for flow in self._all_flows()]
        mean = sum(weights) / len(weights) if weights else self.weight_of(workspace)
        return self.weight_of(workspace) / mean

    def _end_turn(self, flow: Flow) -> None:
        """Move a flow to the end and add its quantum, or drop an idle flow."""
        workspace = flow.workspace
        if not flow.length and flow.deficit > 0 and workspace in self._old_flows:
            del self._old_flows[workspace]
            return
        if flow.deficit <= 0:
            flow.deficit += self._quantum(workspace)
        self._new_flows.pop(workspace, None)
        self._old_flows.pop(workspace, None)
        self._old_flows[workspace] = flow

    def _skip_idle_rounds(self, flows: list[Flow]) -> None:
        """Add the quanta of the rounds in which no request can be served yet."""
        quanta = {flow.workspace: self._quantum(flow.workspace) for flow in flows}
        rounds = min(
            math.floor(max(0.0, -flow.deficit) / quanta[flow.workspace])
            for flow in flows
        )
        for flow in self._old_flows.values():
            quantum = quanta.get(flow.workspace) or self._quantum(flow.workspace)
            if flow.deficit <= 0:
                flow.deficit += rounds * quantum
