"""Dispatches requests to targets: per-pool queues and concurrency limits.

The scheduling policy is in ``mulberryport.routing``. This module supplies the clock
and the directory's target views, and blocks green threads until they get a slot.
"""

import random
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.event
from attrs import Factory, define, field, frozen

from ..routing import (
    CandidateSet,
    Ejector,
    FairQueue,
    Grant,
    NoRoomError,
    PoolScheduler,
    QueuedRequest,
    Result,
    Shares,
    ShedError,
    SpeedEstimate,
    TargetSpeeds,
    TargetView,
    WorkRequest,
)
from ..runtime.clock import boottime
from ..tables import MODEL_ENGINE, Snapshot
from ..telemetry import define as define_event
from ..telemetry import log
from ..telemetry.metrics import (
    EXPECTED_KEPT_TOKENS,
    FULL_TARGET_REFUSALS,
    HEDGES_HELD_BACK,
    LIMITED_TARGET_REQUESTS,
    NO_ROOM_REFUSALS,
    RATE_LIMIT_REFUSALS,
    TARGET_CHOICES,
)
from .directory import TargetDirectory
from .permits import LocalPermits

__all__ = [
    "Assignment",
    "Dispatcher",
    "NoRoomError",
    "ShedError",
    "TrafficReport",
    "WorkRequest",
]

TARGET_EJECTED = define_event(
    700,
    "target_ejected",
    "warning",
    "A failing target was ejected and receives probes only.",
)
TARGET_READMITTED = define_event(
    701,
    "target_readmitted",
    "info",
    "A probe succeeded; the target receives requests again.",
)

LIMITED_TARGET_USED = define_event(
    702,
    "limited_target_used",
    "info",
    "A request was assigned to a target that names a rate limit.",
)

TARGET_FULL = define_event(
    704,
    "target_full",
    "info",
    "A target refused a request because it was full; it is avoided for a short time.",
)

# Target views older than this are rebuilt. Load reports arrive once a second, so
# rebuilding more often would only add CPU cost in large pools.
VIEW_MAX_AGE_S = 0.1
# The queue is searched for requests that need permits no more often than this.
PERMIT_REQUEST_INTERVAL_S = 0.02


@define(eq=False)
class Assignment:
    """A concurrency slot of a target, held by one request.

    Attribute access is delegated to the target's view, for example ``address``.
    A result reported here takes precedence over the way the context exits.

    Parameters
    ----------
    view : TargetView
        Target that serves the request.
    """

    view: TargetView
    _result: Result | None = None
    _latency: float | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self.view, name)

    @property
    def result(self) -> Result | None:
        """Reported result, or None if nothing was reported."""
        return self._result

    @property
    def latency(self) -> float | None:
        """Reported latency in seconds, or None if nothing was reported."""
        return self._latency

    def succeeded(self, latency: float | None = None) -> None:
        """Report a success.

        Parameters
        ----------
        latency : float, optional
            Seconds from the assignment to the first byte of the response. The
            duration of a whole generation says little about the engine's load.
        """
        self._result, self._latency = Result.SUCCEEDED, latency

    def failed(self) -> None:
        """Report that the target failed."""
        self._result = Result.FAILED

    def cancelled(self) -> None:
        """Report that the request ended for a reason unrelated to the target."""
        self._result = Result.CANCELLED

    def refused(self) -> None:
        """Report that the target did not run the request."""
        self._result = Result.REFUSED


@frozen
class TrafficReport:
    """Demand and ejections of one pool, as reported to other daemons.

    Parameters
    ----------
    demand : mapping of str to float
        Number of running and queued requests of the daemon, by workspace.
    ejected : mapping of str to float
        Seconds since the last failure of each ejected target, by target id.
    """

    demand: Mapping[str, float] = field(factory=dict)
    ejected: Mapping[str, float] = field(factory=dict)


@define(eq=False)
class Dispatcher:
    """Assigns requests to targets within the targets' concurrency limits.

    Parameters
    ----------
    directory : TargetDirectory
        Known targets and their state.
    zone : str
        Availability zone of this daemon.
    rng : random.Random
        Random number generator of the policy.
    connected_targets : callable
        Returns the ids of the targets to which this daemon has an idle connection.
    acquire_permit : callable
        Waits for a permit to send a request to a target that names a rate limit;
        returns whether there is one.
    speeds : TargetSpeeds
        Measured speeds of the targets of all pools.
    """

    directory: TargetDirectory
    zone: str
    rng: random.Random = field(factory=random.Random)
    connected_targets: Callable[[], Collection[str]] = frozenset
    acquire_permit: Callable[[str], bool] = field(
        default=Factory(
            lambda self: LocalPermits(self.directory.rate_limits).acquire,
            takes_self=True,
        )
    )
    speeds: TargetSpeeds = field(factory=TargetSpeeds)
    _workspace_weights: dict[str, float] = field(factory=dict)
    _schedulers: dict[str, PoolScheduler] = field(factory=dict)
    _refreshed_at: dict[str, float] = field(factory=dict)
    _permits_requested_at: dict[str, float] = field(factory=dict)
    _requested_permits: set[str] = field(factory=set)

    def is_uneven(self, pool: str) -> bool:
        """Whether targets of a pool tell how long work takes there at the moment."""
        scheduler = self._schedulers.get(pool)
        return scheduler is not None and scheduler.targets.is_uneven

    def best_alternative(
        self, work: WorkRequest, excluded: Collection[str]
    ) -> SpeedEstimate | None:
        """Return the speed of the fastest target that could take a request now.

        Parameters
        ----------
        work : WorkRequest
            The request.
        excluded : collection of str
            Ids of targets that do not count.

        Returns
        -------
        SpeedEstimate or None
            None if no target is free, or nothing is known of any target's speed.
        """
        scheduler = self._schedulers.get(work.pool)
        if scheduler is None:
            return None
        now = boottime()
        for _, target in self.speeds.ranking(work.pool, now):
            if target not in excluded and scheduler.could_start(target, work):
                return self.speeds.estimate(target, now)
        return None

    @contextmanager
    def assign(self, request: WorkRequest) -> Iterator[Assignment]:
        """Wait for a target and hold one of its slots until the context exits.

        An exception that leaves the context counts as a failure of the target,
        unless it signals cancellation by the caller (``GreenletExit``,
        ``GeneratorExit``) or another result was reported before.

        Raises
        ------
        ShedError
            If the queue is full, the deadline expired or the pool does not exist.
        """
        scheduler, grant = self._acquire_grant(request)
        target = grant.candidate.id
        if grant.reason is not None:
            TARGET_CHOICES.inc({"pool": request.pool, "reason": grant.reason.value})
            EXPECTED_KEPT_TOKENS.add({"pool": request.pool}, grant.kept_tokens)
        assignment = Assignment(grant.candidate.view)
        limit = self.directory.rate_limits.limit(target)
        if limit is not None:
            log(
                LIMITED_TARGET_USED,
                target=target,
                requests_per_s=limit,
                purpose=request.purpose,
            )
            LIMITED_TARGET_REQUESTS.inc({"target": target, "purpose": request.purpose})
        self.directory.request_started(target, request.restartable)
        default = Result.CANCELLED
        try:
            yield assignment
            default = Result.SUCCEEDED
            self.directory.record_response(target)
        except (Exception, eventlet.Timeout):
            default = Result.FAILED
            raise
        finally:
            self.directory.request_finished(target, request.restartable)
            result = assignment.result or default
            if result is Result.REFUSED:
                result = self._classify_refusal(grant)
            if result is Result.FAILED:
                self.directory.record_failure(target)
            scheduler.release(grant, result, boottime(), assignment.latency)

    def may_retry(self, pool: str) -> bool:
        """Consume one retry from a pool's retry budget, if one is available.

        Returns
        -------
        bool
            Whether the request may be retried. Otherwise it must fail, or wait if
            the caller is able to.
        """
        scheduler = self._schedulers.get(pool)
        return scheduler is not None and scheduler.consume_retry_budget(boottime())

    def may_hedge(self, request: WorkRequest) -> bool:
        """Consume one copy of a request that still runs, if it should be started.

        Parameters
        ----------
        request : WorkRequest
            The request; ``exclude`` holds the targets at which it runs.
        """
        scheduler = self._schedulers.get(request.pool)
        if scheduler is None or scheduler.may_hedge(request, boottime()):
            return True
        HEDGES_HELD_BACK.inc({"pool": request.pool})
        return False

    def waiting_count(self, pool: str) -> int:
        """Return the number of requests queued for a pool."""
        scheduler = self._schedulers.get(pool)
        return len(scheduler.queue) if scheduler else 0

    def local_traffic(self) -> dict[str, TrafficReport]:
        """Return the traffic that this daemon reports to its peers, by pool."""
        now = boottime()
        reports = {
            pool: TrafficReport(scheduler.demand, scheduler.ejector.ejection_ages(now))
            for pool, scheduler in self._schedulers.items()
        }
        return {
            pool: report
            for pool, report in reports.items()
            if report.demand or report.ejected
        }

    def apply_remote_traffic(
        self, daemon: str, traffic: Mapping[str, TrafficReport]
    ) -> None:
        """Apply the traffic reported by another daemon, by pool.

        Pools without a scheduler, that is without any local request so far, are
        skipped: the next report arrives within a second.
        """
        now = boottime()
        for pool, scheduler in self._schedulers.items():
            report = traffic.get(pool) or TrafficReport()
            scheduler.shares.update_remote_demand(daemon, report.demand, now)
            scheduler.ejector.update_remote_ejections(daemon, report.ejected, now)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply workspace weights, limits and pools of a new revision.

        The snapshot must have been applied to the directory before.
        """
        workspaces = snapshot.tables.workspaces.values()
        self._workspace_weights = {
            workspace.name: workspace.weight for workspace in workspaces
        }
        for pool in list(self._schedulers):
            self._refresh_pool(pool, boottime())
            # The refresh has shed all queued requests; running requests keep a
            # reference to their scheduler.
            if self.directory.pool(pool) is None:
                del self._schedulers[pool]

    def dispatch_waiting(self) -> None:
        """Assign slots that became free other than by the end of a request.

        Call it a few times a second. Pools without queued requests are skipped.
        """
        now = boottime()
        for pool, scheduler in list(self._schedulers.items()):
            if len(scheduler.queue):
                self._refresh_pool(pool, now)
                self._request_permits(pool)

    def _acquire_grant(self, request: WorkRequest) -> tuple[PoolScheduler, Grant]:
        if self.directory.pool(request.pool) is None:
            raise ShedError(f"pool {request.pool} does not exist")
        now = boottime()
        scheduler = self._get_or_create_scheduler(request.pool)
        if now - self._refreshed_at.get(request.pool, 0.0) > VIEW_MAX_AGE_S:
            self._refresh_pool(request.pool, now)
        event = eventlet.event.Event()
        try:
            admission = scheduler.submit(request, event.send, now)
        except ShedError as error:
            is_evacuated = scheduler.targets.is_evacuated
            if isinstance(error, NoRoomError):
                NO_ROOM_REFUSALS.inc({"pool": request.pool})
            elif error.retry_after is not None and not is_evacuated:
                RATE_LIMIT_REFUSALS.inc({"pool": request.pool})
            raise
        self._request_permits(request.pool)
        if isinstance(admission, QueuedRequest):
            admission = self._await_grant(scheduler, admission, event)
        return scheduler, admission

    def _classify_refusal(self, grant: Grant) -> Result:
        """Return and log the result of a request that its target did not run.

        A target that has not reported since was not asked, or does not tell how long
        work takes. One that is not full refuses for another reason, such as a model
        that it loads; it would refuse the next request as well.
        """
        work, target = grant.work, grant.candidate.id
        state = self.directory.get_state(target)
        report = state.report if state is not None else None
        if report is None or report.slowdown is None:
            return Result.CANCELLED
        if state.reported_at < grant.granted_at:
            return Result.CANCELLED
        if report.is_full:
            log(TARGET_FULL, target=target, pool=work.pool, purpose=work.purpose)
            FULL_TARGET_REFUSALS.inc({"pool": work.pool, "purpose": work.purpose})
        return Result.REFUSED

    def _await_grant(
        self,
        scheduler: PoolScheduler,
        queued_request: QueuedRequest,
        event: eventlet.event.Event,
    ) -> Grant:
        deadline = queued_request.work.deadline
        timeout = None if deadline == float("inf") else max(0.0, deadline - boottime())
        try:
            event.wait(timeout)
        except BaseException:
            scheduler.cancel(queued_request)
            # The slot may have been granted just before the wait was cancelled.
            if event.ready() and isinstance(outcome := event.wait(), Grant):
                scheduler.release(outcome, Result.CANCELLED, boottime())
            raise
        if not event.ready():
            scheduler.cancel(queued_request)
            raise ShedError("no target was free before the deadline")
        outcome = event.wait()
        if isinstance(outcome, Grant):
            return outcome
        raise outcome

    def _request_permits(self, pool: str) -> None:
        """Request the permits that the queued requests of a pool need."""
        scheduler, now = self._schedulers[pool], boottime()
        if now - self._permits_requested_at.get(pool, 0.0) < PERMIT_REQUEST_INTERVAL_S:
            return
        self._permits_requested_at[pool] = now
        for target in scheduler.wanted_permits(now, self._requested_permits):
            self._requested_permits.add(target)
            eventlet.spawn_n(self._await_permit, pool, target)

    def _await_permit(self, pool: str, target: str) -> None:
        try:
            has_permit = self.acquire_permit(target)
        finally:
            self._requested_permits.discard(target)
        scheduler = self._schedulers.get(pool)
        if has_permit and scheduler is not None:
            scheduler.add_permit(target, boottime())
            self._request_permits(pool)

    def _get_or_create_scheduler(self, pool: str) -> PoolScheduler:
        scheduler = self._schedulers.get(pool)
        if scheduler is None:
            shares = Shares(lambda name: self._workspace_weights.get(name, 1.0))
            scheduler = self._schedulers[pool] = PoolScheduler(
                CandidateSet(self.zone, self.connected_targets, self.speeds),
                FairQueue(shares.weight, 0),
                shares,
                self.rng,
                ejector=Ejector(jitter=self.rng.random() / 2),
                on_ejection=_log_ejection,
            )
            self._refresh_pool(pool, boottime())
        return scheduler

    def _refresh_pool(self, pool: str, now: float) -> None:
        scheduler = self._schedulers[pool]
        settings = self.directory.pool(pool)
        if settings is not None:
            scheduler.queue.max_length = settings.queue
            prefixes = scheduler.targets.prefixes
            prefixes.memory_tokens = settings.cache_tokens
            prefixes.tokens_per_event = settings.tokens_per_event
        self._refreshed_at[pool] = now
        views = self.directory.views(pool)
        scheduler.update(views, now)
        is_engine_pool = settings is not None and settings.kind == MODEL_ENGINE
        if is_engine_pool or scheduler.targets.is_uneven:
            self.speeds.update_pool(pool, views, now)


def _log_ejection(target: str, out: bool) -> None:
    log(TARGET_EJECTED if out else TARGET_READMITTED, target=target)
