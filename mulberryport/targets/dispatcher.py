"""Assignment of requests to targets: queues and limits of this daemon.

The policy is in ``mulberryport.routing``; this module gives it the time and the
directory's views, and lets green threads wait for their place.
"""

import random
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.event
from attrs import define, field, frozen

from ..routing import (
    CandidateSet,
    Ejector,
    FairQueue,
    Grant,
    PoolScheduler,
    QueuedRequest,
    Result,
    Shares,
    ShedError,
    TargetView,
    WorkRequest,
)
from ..runtime.clock import boottime
from ..tables import Snapshot
from ..telemetry import define as define_event
from ..telemetry import log
from .directory import TargetDirectory

__all__ = ["Assignment", "Dispatcher", "ShedError", "Traffic", "WorkRequest"]

TARGET_EJECTED = define_event(
    700, "target_ejected", "warning", "A failing target gets no work but probes."
)
TARGET_READMITTED = define_event(
    701, "target_readmitted", "info", "A probe succeeded; the target gets work again."
)

# Views older than this are read again. Load reports come once a second, so
# reading them more often would only cost time in large pools.
VIEW_LIFETIME_S = 0.1


@define(eq=False)
class Assignment:
    """A place at a target, held by one request.

    Attributes of the target's view, such as ``address``, can be read from it.
    A result that is reported here takes precedence over how the context ends.

    Parameters
    ----------
    view : TargetView
        The target.
    """

    view: TargetView
    _result: Result | None = None
    _latency: float | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.view, name)

    @property
    def result(self) -> Result | None:
        """The reported result, None before a report."""
        return self._result

    @property
    def latency(self) -> float | None:
        """The reported latency in seconds, None before a report."""
        return self._latency

    def succeeded(self, latency: float | None = None) -> None:
        """Report a success.

        Parameters
        ----------
        latency : float, optional
            Seconds from the assignment to the first byte of the answer. The
            length of a whole generation says little about the load of an engine.
        """
        self._result, self._latency = Result.SUCCEEDED, latency

    def failed(self) -> None:
        """Report that the target failed."""
        self._result = Result.FAILED

    def cancelled(self) -> None:
        """Report that the request ended for a reason outside the target."""
        self._result = Result.CANCELLED


@frozen
class Traffic:
    """What a daemon tells the others of one pool.

    Parameters
    ----------
    demand : mapping of str to float
        Requests that run and wait at the daemon, by workspace.
    ejected : mapping of str to float
        Seconds since each target that it has ejected failed last.
    """

    demand: Mapping[str, float] = field(factory=dict)
    ejected: Mapping[str, float] = field(factory=dict)


@define(eq=False)
class Dispatcher:
    """Gives requests to targets within their limits.

    Parameters
    ----------
    directory : TargetDirectory
        The targets.
    zone : str
        Availability zone of this daemon.
    generator : random.Random
        Source of randomness of the policy.
    connected : callable
        Returns the ids of the targets to which this daemon has an idle connection.
    """

    directory: TargetDirectory
    zone: str
    generator: random.Random = field(factory=random.Random)
    connected: Callable[[], Collection[str]] = frozenset
    _weights: dict[str, float] = field(factory=dict)
    _schedulers: dict[str, PoolScheduler] = field(factory=dict)
    _viewed_at: dict[str, float] = field(factory=dict)

    @contextmanager
    def assign(self, request: WorkRequest) -> Iterator[Assignment]:
        """Wait for a target and hold a place there while the context lasts.

        An exception that leaves the context counts as a failure of the target
        unless it is the caller's cancellation (``GreenletExit``,
        ``GeneratorExit``) or another result was reported before.

        Raises
        ------
        ShedError
            The queue is full, the deadline passed or the pool does not exist.
        """
        scheduler, grant = self._wait(request)
        target = grant.candidate.id
        assignment = Assignment(grant.candidate.view)
        self.directory.started(target, request.restartable)
        default = Result.CANCELLED
        try:
            yield assignment
            default = Result.SUCCEEDED
            self.directory.carried(target)
        except (Exception, eventlet.Timeout):
            default = Result.FAILED
            raise
        finally:
            self.directory.finished(target, request.restartable)
            result = assignment.result or default
            scheduler.release(grant, result, boottime(), assignment.latency)

    def may_retry(self, pool: str) -> bool:
        """Take one retry from a pool's budget before a request is sent again.

        Returns
        -------
        bool
            Whether the request may be sent again; otherwise it has to fail, or
            to wait if its caller can.
        """
        scheduler = self._schedulers.get(pool)
        return scheduler is not None and scheduler.consume_retry_budget(boottime())

    def waiting(self, pool: str) -> int:
        """Return the number of requests that wait for a target of a pool."""
        scheduler = self._schedulers.get(pool)
        return len(scheduler.queue) if scheduler else 0

    def traffic(self) -> dict[str, Traffic]:
        """Return what other daemons must know of this one, by pool."""
        now = boottime()
        current = {
            pool: Traffic(scheduler.demand, scheduler.ejector.ejection_ages(now))
            for pool, scheduler in self._schedulers.items()
        }
        return {pool: t for pool, t in current.items() if t.demand or t.ejected}

    def use_traffic(self, daemon: str, traffic: Mapping[str, Traffic]) -> None:
        """Take over the traffic of another daemon, by pool.

        Pools that no request has reached here are skipped: the next figures
        come within a second.
        """
        now = boottime()
        for pool, scheduler in self._schedulers.items():
            told = traffic.get(pool) or Traffic()
            scheduler.shares.update_remote_demand(daemon, told.demand, now)
            scheduler.ejector.update_remote_ejections(daemon, told.ejected, now)

    def use_snapshot(self, snapshot: Snapshot) -> None:
        """Take over workspace weights, limits and pools of a new revision.

        The directory must have taken over the snapshot before.
        """
        workspaces = snapshot.tables.workspaces.values()
        self._weights = {workspace.name: workspace.weight for workspace in workspaces}
        for pool in list(self._schedulers):
            self._update(pool, boottime())
            # The update shed its waiters; requests that run hold their scheduler.
            if self.directory.pool(pool) is None:
                del self._schedulers[pool]

    def refresh(self) -> None:
        """Give places that became free by other means than a finished request.

        To be called a few times a second; it does nothing for pools in which
        nobody waits.
        """
        now = boottime()
        for pool, scheduler in list(self._schedulers.items()):
            if len(scheduler.queue):
                self._update(pool, now)

    def _wait(self, request: WorkRequest) -> tuple[PoolScheduler, Grant]:
        if self.directory.pool(request.pool) is None:
            raise ShedError(f"pool {request.pool} does not exist")
        now = boottime()
        scheduler = self._scheduler(request.pool)
        if now - self._viewed_at.get(request.pool, 0.0) > VIEW_LIFETIME_S:
            self._update(request.pool, now)
        event = eventlet.event.Event()
        place = scheduler.submit(request, event.send, now)
        if isinstance(place, QueuedRequest):
            place = self._await_grant(scheduler, place, event)
        return scheduler, place

    def _await_grant(
        self,
        scheduler: PoolScheduler,
        ticket: QueuedRequest,
        event: eventlet.event.Event,
    ) -> Grant:
        deadline = ticket.work.deadline
        timeout = None if deadline == float("inf") else max(0.0, deadline - boottime())
        try:
            event.wait(timeout)
        except BaseException:
            scheduler.cancel(ticket)
            # The place may have been given just before the wait was cancelled.
            if event.ready() and isinstance(outcome := event.wait(), Grant):
                scheduler.release(outcome, Result.CANCELLED, boottime())
            raise
        if not event.ready():
            scheduler.cancel(ticket)
            raise ShedError("no target was free before the deadline")
        outcome = event.wait()
        if isinstance(outcome, Grant):
            return outcome
        raise outcome

    def _scheduler(self, pool: str) -> PoolScheduler:
        scheduler = self._schedulers.get(pool)
        if scheduler is None:
            shares = Shares(lambda name: self._weights.get(name, 1.0))
            scheduler = self._schedulers[pool] = PoolScheduler(
                CandidateSet(self.zone, self.connected),
                FairQueue(shares.weight, 0),
                shares,
                self.generator,
                ejector=Ejector(jitter=self.generator.random() / 2),
                on_ejection=_log_ejection,
            )
            self._update(pool, boottime())
        return scheduler

    def _update(self, pool: str, now: float) -> None:
        scheduler = self._schedulers[pool]
        settings = self.directory.pool(pool)
        if settings is not None:
            scheduler.queue.max_length = settings.queue
        self._viewed_at[pool] = now
        scheduler.update(self.directory.views(pool), now)


def _log_ejection(target: str, out: bool) -> None:
    log(TARGET_EJECTED if out else TARGET_READMITTED, target=target)
