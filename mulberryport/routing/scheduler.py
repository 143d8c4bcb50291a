"""The policy of one pool: who gets a place at which target, and when.

It holds state but does no I/O and reads no clock; the dispatcher and the
measurements call it with the current time.
"""

import enum
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import define, field

from .candidates import Candidate, CandidateSet
from .ejection import Ejector
from .model import ShedError, TargetView, WorkRequest
from .queue import FairQueue, Ticket
from .retries import RetryBudget
from .selection import choose_target
from .sharing import Shares

__all__ = ["Grant", "PoolScheduler", "Result"]

# Added to the load of a target per failure in a row, so that it is avoided
# before it is ejected and while the cap keeps it in.
SUSPICION = 0.5
MOST_SUSPICION = 2.0


class Result(enum.Enum):
    """How a request ended, as far as its target is concerned."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"


@define(eq=False)
class Grant:
    """A place at a target, held until it is released."""

    candidate: Candidate
    work: WorkRequest
    probe: bool = False


@define(eq=False)
class PoolScheduler:
    """Gives the requests of a pool to its targets.

    Parameters
    ----------
    targets : CandidateSet
        The targets of the pool.
    queue : FairQueue
        Requests that wait.
    shares : Shares
        This daemon's part of the pool and the weights of the queue.
    generator : random.Random
        Source of randomness.
    choose : callable
        Selection of a target.
    budget : RetryBudget
        Bounds retries.
    ejector : Ejector
        Excludes failing targets.
    on_ejection : callable
        Called with a target's id and whether it is out, for logs.
    """

    targets: CandidateSet
    queue: FairQueue
    shares: Shares
    generator: random.Random = field(factory=random.Random)
    choose: Callable[[CandidateSet, WorkRequest, random.Random], Candidate | None] = (
        choose_target
    )
    budget: RetryBudget = field(factory=RetryBudget)
    ejector: Ejector = field(factory=Ejector)
    on_ejection: Callable[[str, bool], None] = field(default=lambda *_: None)
    # No unrestricted request found a place since a place was last given back.
    _full: bool = False
    _running: Counter = field(factory=Counter)
    _total: int = 0

    @property
    def demand(self) -> dict[str, float]:
        """Requests that run and wait here, by workspace."""
        return {**(self._running + self.queue.lengths)}

    def update(self, views: Iterable[TargetView], now: float) -> None:
        """Take over the newest views and serve waiters that fit now."""
        self.targets.use_views(views, now)
        self.ejector.use_targets([c.id for c in self.targets.all])
        for target in self.ejector.adopt(now):
            self.on_ejection(target, True)
        self._regroup()
        places = sum(candidate.capacity for candidate in self.targets.usable)
        self.shares.update(self.demand, places, now)
        if not len(self.queue):
            return
        # Nobody waits for a pool that was removed or has lost all its targets.
        for ticket in self.queue.expired(now if len(self.targets) else math.inf):
            ticket.notify(ShedError("no target was free before the deadline"))
        for candidate in sorted(self.targets.usable, key=lambda c: c.load):
            self._offer(candidate, now)
        self._offer_probes(now)

    def submit(
        self, work: WorkRequest, notify: Callable[[object], None], now: float
    ) -> Grant | Ticket:
        """Give a request a place, or a ticket if it must wait.

        Parameters
        ----------
        work : WorkRequest
            The request.
        notify : callable
            Called with a grant, or with a ``ShedError``, after a wait.
        now : float
            Boot time.

        Raises
        ------
        ShedError
            The queue is full, the deadline passed or the pool has no targets.
        """
        if not work.exclude:
            self.budget.requested()
        if not len(self.targets):
            raise ShedError(f"pool {work.pool} has no targets")
        if work.deadline <= now:
            raise ShedError("the deadline passed before the request could start")
        probe = self._probe_for(work, now)
        if probe is not None:
            return self._grant(probe, work, probe=True)
        blocked = self._full or self._total >= self.shares.cap
        candidate = None if blocked else self.choose(*self._arguments(work))
        if candidate is None and not blocked and _is_unrestricted(work):
            self._full = True
        if candidate is not None:
            # Waiters that fit come first.
            self._offer(candidate, now)
            if candidate.places > 0 and self._total < self.shares.cap:
                return self._grant(candidate, work)
        ticket = Ticket(work, notify)
        lost = self.queue.add(ticket)
        if lost is ticket:
            raise ShedError(f"the queue of pool {work.pool} is full")
        if lost is not None:
            lost.notify(ShedError(f"the queue of pool {work.pool} is full"))
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Give up waiting."""
        self.queue.remove(ticket)

    def release(
        self, grant: Grant, result: Result, now: float, latency: float | None = None
    ) -> None:
        """Give back a place and serve the next waiter.

        Parameters
        ----------
        grant : Grant
            The place.
        result : Result
            How the request ended.
        now : float
            Boot time.
        latency : float or None
            Seconds until the first byte, None if it was not measured.
        """
        candidate = grant.candidate
        if result is Result.SUCCEEDED:
            candidate.limit.succeeded(latency, candidate.own, now)
            if self.ejector.succeeded(candidate.id, now, grant.probe):
                self.on_ejection(candidate.id, False)
                self._regroup()
        elif result is Result.FAILED:
            candidate.limit.failed(now)
            if self.ejector.failed(candidate.id, now, grant.probe):
                self.on_ejection(candidate.id, True)
                self._regroup()
        elif grant.probe:
            self.ejector.probe_cancelled(candidate.id)
        candidate.own -= 1
        self._total -= 1
        self._running[grant.work.workspace] -= 1
        if result is not Result.CANCELLED:
            failures = self.ejector.record(candidate.id).consecutive
            candidate.suspicion = min(MOST_SUSPICION, SUSPICION * failures)
        self._full = False
        if len(self.queue) and candidate in self.targets.usable:
            self._offer(candidate, now)

    def may_retry(self, now: float) -> bool:
        """Take one retry from the budget; return whether there was one."""
        return self.budget.take(now)

    def _arguments(
        self, work: WorkRequest
    ) -> tuple[CandidateSet, WorkRequest, random.Random]:
        return self.targets, work, self.generator

    def _regroup(self) -> None:
        self.targets.group(self.ejector.ejected)
        self._full = False

    def _grant(
        self, candidate: Candidate, work: WorkRequest, probe: bool = False
    ) -> Grant:
        candidate.own += 1
        self._total += 1
        self._running[work.workspace] += 1
        if probe:
            self.ejector.probe_started(candidate.id)
        return Grant(candidate, work, probe)

    def _offer(self, candidate: Candidate, now: float) -> None:
        """Give the free places of a target to waiters."""
        while (
            len(self.queue) and candidate.places > 0 and self._total < self.shares.cap
        ):
            ticket = self.queue.pop(
                lambda work: (
                    work.deadline > now and self.targets.admits(candidate, work)
                ),
                lambda work: candidate.id in self.targets.owners(work)[:1],
            )
            if ticket is None:
                return
            ticket.notify(self._grant(candidate, ticket.work))

    def _offer_probes(self, now: float) -> None:
        for target in self.ejector.ejected:
            candidate = self.targets.get(target)
            if candidate is None or not candidate.view.selectable:
                continue
            ticket = self.queue.pop(
                lambda work, c=candidate: (
                    work.deadline > now
                    and self.ejector.may_probe(c.id, work.restartable, now)
                    and self.targets.admits(c, work)
                )
            )
            if ticket is not None:
                ticket.notify(self._grant(candidate, ticket.work, probe=True))

    def _probe_for(self, work: WorkRequest, now: float) -> Candidate | None:
        for target in self.ejector.ejected:
            candidate = self.targets.get(target)
            if (
                candidate is not None
                and candidate.view.selectable
                and self.ejector.may_probe(target, work.restartable, now)
                and self.targets.admits(candidate, work)
            ):
                return candidate
        return None


def _is_unrestricted(work: WorkRequest) -> bool:
    """Whether a request may run at every target of its pool."""
    return work.restartable and not work.exclude and not work.oldest_version
