"""Scheduler of one pool: assigns requests to slots of targets.

The scheduler keeps state but does no I/O and reads no clock; the dispatcher and
the measurements pass in the current time.
"""

import enum
import math
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable
from itertools import islice

from attrs import define, field

from .candidates import Candidate, CandidateSet
from .completion import Choice, Reason, choose_earliest
from .ejection import Ejector
from .model import NoRoomError, ShedError, TargetView, WorkRequest
from .permits import COLD_PERMIT_LIFETIME_S, PERMIT_LIFETIME_S
from .prefixes import Reading
from .queue import FairQueue, QueuedRequest
from .retries import RetryBudget
from .room import retry_delay_s
from .selection import choose_target
from .sharing import Shares

__all__ = ["Grant", "PoolScheduler", "Result"]

# Added to the load of a target for each consecutive failure. This steers requests
# away before the target is ejected, and when the ejection limit prevents that.
FAILURE_PENALTY = 0.5
MAX_FAILURE_PENALTY = 2.0
# A target whose rate limit was not confirmed for this time gets the next request for
# which there is a permit, since only a response shows whether the limit has ended.
LIMIT_CONFIRMATION_INTERVAL_S = 1.0
# Delay after which a caller whose targets are all evacuated may come back. An operator
# takes an evacuation back in his own time.
EVACUATION_RETRY_AFTER_S = 2.0
# Copies of requests that run are started for at most this part of the requests.
HEDGES_PER_REQUEST = 0.1
# Limits below this rate count as this rate when a wait is estimated.
MIN_REQUESTS_PER_S = 0.1


class Result(enum.Enum):
    """Outcome of a request with respect to its target."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    # The target did not run the request, and would not run another one now.
    REFUSED = "refused"


@define(eq=False)
class Grant:
    """A slot at a target, allocated to one request until it is released.

    Parameters
    ----------
    candidate : Candidate
        The target.
    work : WorkRequest
        The request.
    probe : bool
        Whether the request shows if an ejected target works again.
    reason : Reason or None
        What decided for the target; None in pools that are not uneven.
    kept_tokens : int
        Tokens of the prompt that the target is believed to keep.
    started_at : float
        Boot time of the allocation.
    """

    candidate: Candidate
    work: WorkRequest
    probe: bool = False
    reason: Reason | None = None
    kept_tokens: int = 0
    granted_at: float = 0.0
    _reading: Reading | None = None


@define(eq=False)
class PoolScheduler:
    """Assigns the requests of one pool to its targets.

    Parameters
    ----------
    targets : CandidateSet
        The targets of the pool.
    queue : FairQueue
        Requests that wait for a slot.
    shares : Shares
        This daemon's share of the pool, and the workspace weights of the queue.
    generator : random.Random
        Random number generator.
    choose : callable
        Selects the target of a request in pools that are not uneven.
    budget : RetryBudget
        Limits retries.
    hedge_budget : RetryBudget
        Limits copies of requests that still run.
    ejector : Ejector
        Excludes failing targets.
    on_ejection : callable
        Called with the id of a target and whether it was ejected or readmitted,
        for logging.
    """

    targets: CandidateSet
    queue: FairQueue
    shares: Shares
    generator: random.Random = field(factory=random.Random)
    choose: Callable[[CandidateSet, WorkRequest, random.Random], Candidate | None] = (
        choose_target
    )
    budget: RetryBudget = field(factory=RetryBudget)
    hedge_budget: RetryBudget = field(
        factory=lambda: RetryBudget(ratio=HEDGES_PER_REQUEST)
    )
    ejector: Ejector = field(factory=Ejector)
    on_ejection: Callable[[str, bool], None] = field(default=lambda *_: None)
    # Whether an unrestricted request found no free slot since the last release.
    # Until the next release or update, submissions skip target selection.
    _saturated: bool = False
    _running_by_workspace: Counter = field(factory=Counter)
    _running_count: int = 0
    _last_request_at: float = -math.inf
    # Targets that name a rate limit.
    _limited: list[Candidate] = field(factory=list)

    @property
    def demand(self) -> dict[str, float]:
        """Running and queued requests of this daemon, by workspace."""
        return {**(self._running_by_workspace + self.queue.lengths)}

    def update(self, views: Iterable[TargetView], now: float) -> None:
        """Apply the newest target views and dispatch queued requests."""
        former = {candidate.id: candidate for candidate in self.targets.all}
        self.targets.update_views(views, now)
        self.ejector.set_targets([c.id for c in self.targets.all])
        for candidate in self.targets.all:
            if former.get(candidate.id, candidate) is not candidate:
                self.ejector.forget(candidate.id, now)
        for target in self.ejector.apply_remote_ejections(now):
            self.on_ejection(target, True)
        self._limited = [c for c in self.targets.all if c.is_rate_limited]
        self._drop_expired_permits(now)
        self._update_eligibility()
        total_capacity = sum(candidate.capacity for candidate in self.targets.usable)
        self.shares.update(self.demand, total_capacity, now)
        if not len(self.queue):
            return
        # A pool without targets, for example a removed one, sheds its whole queue.
        for queued in self.queue.pop_expired(now if len(self.targets) else math.inf):
            queued.notify(ShedError("no target was free before the deadline"))
        if self.targets.is_evacuated:
            self._refuse_queued_callers()
        for candidate in sorted(self.targets.usable, key=lambda c: c.load):
            self._dispatch_queued(candidate, now)
        self._dispatch_probes(now)

    def submit(
        self, work: WorkRequest, notify: Callable[[object], None], now: float
    ) -> Grant | QueuedRequest:
        """Allocate a slot to a request, or queue the request.

        Parameters
        ----------
        work : WorkRequest
            The request.
        notify : callable
            Called with a ``Grant`` or a ``ShedError`` if the request was queued.
        now : float
            Boot time.

        Raises
        ------
        ShedError
            The queue is full, the deadline has passed, the pool has no targets or only
            evacuated ones, or neither its rate limits nor the expected wait for a slot
            allow the request before its deadline.
        """
        if not work.exclude:
            self.budget.record_request()
            self.hedge_budget.record_request()
        if not len(self.targets):
            raise ShedError(f"pool {work.pool} has no targets")
        if work.deadline <= now:
            raise ShedError("the deadline passed before the request could start")
        if self.targets.is_evacuated and not work.is_resubmitted:
            raise _evacuated_error(work)
        self._last_request_at = now
        self._update_room(now)
        self._drop_expired_permits(now)
        probe_target = self._probe_target_for(work, now)
        if probe_target is not None:
            return self._allocate(probe_target, work, now, probe=True)
        unconfirmed = self._unconfirmed_target_for(work, now)
        if unconfirmed is not None:
            return self._allocate(unconfirmed, work, now)
        at_capacity = self._saturated or self._running_count >= self.shares.max_running
        choice = None if at_capacity else self._choose(work, now)
        candidate = choice.candidate if choice is not None else None
        if candidate is None and not at_capacity and _is_unrestricted(work):
            self._saturated = True
        if candidate is not None:
            # Queued requests that can run at this target take precedence.
            self._dispatch_queued(candidate, now)
            if (
                candidate.free_slots > 0
                and self._running_count < self.shares.max_running
            ):
                return self._allocate(candidate, work, now, choice=choice)
        self._refuse_beyond_deadline(work, now)
        queued = QueuedRequest(work, notify, gives_way=self._gives_way(work))
        evicted = self.queue.add(queued)
        if evicted is queued:
            raise self._queue_full_error(work, now)
        if evicted is not None:
            evicted.notify(self._queue_full_error(evicted.work, now))
        return queued

    def expected_wait_s(self, work: WorkRequest, now: float) -> float:
        """Return how long a request that comes now is expected to wait for a slot.

        The wait follows from the free slots, from the requests that are queued before
        it by the shares of their workspaces, and from the rate at which requests end.

        Parameters
        ----------
        work : WorkRequest
            The request.
        now : float
            Boot time.

        Returns
        -------
        float
            Seconds; 0 if a slot is free, or if nothing was measured yet.
        """
        run_s = self.targets.run_times.mean_s
        if not run_s or self._has_free_slot(work):
            return 0.0
        queued = QueuedRequest(work, print, gives_way=self._gives_way(work))
        return (self.queue.count_before(queued) + 1) * run_s / self._own_slots()

    def may_hedge(self, work: WorkRequest, now: float) -> bool:
        """Consume one copy of a request that still runs, if it should be started.

        A copy needs a free slot at another target, time to end before the deadline, and
        a part of the pool's budget for copies. Pools whose targets do not tell how long
        work takes allow all copies.

        Parameters
        ----------
        work : WorkRequest
            The request; ``exclude`` holds the targets at which it runs.
        now : float
            Boot time.
        """
        if not self.targets.is_uneven:
            return True
        self._update_room(now)
        run_s = self.targets.run_times.mean_s or 0.0
        if now + run_s >= work.deadline or len(self.queue):
            return False
        return self._has_free_slot(work) and self.hedge_budget.try_consume(now)

    def cancel(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue."""
        self.queue.remove(queued)

    def could_start(self, target: str, work: WorkRequest) -> bool:
        """Return whether a target is free and may run a request without a permit."""
        candidate = self.targets.get(target)
        return (
            candidate is not None
            and not candidate.is_rate_limited
            and candidate.free_slots > 0
            and candidate in self.targets.usable
            and self.targets.admits(candidate, work)
        )

    def wanted_permits(self, now: float, requested: Collection[str]) -> list[str]:
        """Return the targets for which permits should be requested now.

        There are no more of them than requests that could use a permit, so that daemons
        do not take permits from each other that they do not need.

        Parameters
        ----------
        now : float
            Boot time.
        requested : collection of str
            Targets for which permits were requested already.
        """
        if not self._limited:
            return []
        limited = [c for c in self._limited if c.view.selectable]
        without = [c for c in limited if not c.permits and c.id not in requested]
        wanted = [c for c in without if self._needs_confirmation(c, now)]
        spare = len(self.queue) - (len(limited) - len(without)) - len(wanted)
        others = [c for c in without if c not in wanted]
        self.generator.shuffle(others)
        fitting = (
            c
            for c in others
            if self.queue.any_fits(lambda work, c=c: self.targets.admits(c, work))
        )
        chosen = islice(fitting, max(0, spare))
        return [candidate.id for candidate in (*wanted, *chosen)]

    def add_permit(self, target: str, now: float) -> None:
        """Use a permit for a queued request, or keep it for a short time."""
        candidate = self.targets.get(target)
        if candidate is None or not candidate.is_rate_limited:
            return
        is_cold = candidate.view.is_cold
        lifetime_s = COLD_PERMIT_LIFETIME_S if is_cold else PERMIT_LIFETIME_S
        candidate.permits, candidate.permits_expire_at = 1, now + lifetime_s
        self._saturated = False
        if candidate in self.targets.usable:
            self._dispatch_queued(candidate, now)
        else:
            self._dispatch_probes(now)

    def release(
        self, grant: Grant, result: Result, now: float, latency: float | None = None
    ) -> None:
        """Release a slot and dispatch the next queued request.

        Parameters
        ----------
        grant : Grant
            The allocated slot.
        result : Result
            Outcome of the request.
        now : float
            Boot time.
        latency : float or None
            Seconds until the first byte, None if not measured.
        """
        candidate = grant.candidate
        if self.targets.get(candidate.id) not in (candidate, None):
            # The result says nothing about the target that has the id by now.
            result = Result.CANCELLED
        elif grant.probe and result in (Result.CANCELLED, Result.REFUSED):
            self.ejector.probe_cancelled(candidate.id)
        if result is Result.SUCCEEDED:
            candidate.limit.record_success(latency, candidate.own_requests, now)
            if self.ejector.record_success(candidate.id, now, grant.probe):
                self.on_ejection(candidate.id, False)
                self._update_eligibility()
        elif result is Result.FAILED:
            candidate.limit.record_failure(now)
            if self.ejector.record_failure(candidate.id, now, grant.probe):
                self.on_ejection(candidate.id, True)
                self._update_eligibility()
        candidate.own_requests -= 1
        if grant._reading is not None:
            self.targets.prefixes.finish(grant._reading, result is Result.SUCCEEDED)
        self._running_count -= 1
        self._running_by_workspace[grant.work.workspace] -= 1
        self._record_room(grant, result, now)
        if result not in (Result.CANCELLED, Result.REFUSED):
            failures = self.ejector.record(candidate.id).consecutive_failures
            candidate.failure_penalty = min(
                MAX_FAILURE_PENALTY, FAILURE_PENALTY * failures
            )
        self._saturated = False
        if len(self.queue) and candidate in self.targets.usable:
            self._dispatch_queued(candidate, now)

    def consume_retry_budget(self, now: float) -> bool:
        """Consume one retry from the budget; return whether one was available."""
        return self.budget.try_consume(now)

    def _choose(self, work: WorkRequest, now: float) -> Choice | None:
        if self.targets.is_uneven:
            return choose_earliest(self.targets, work, self.generator, now)
        candidate = self.choose(self.targets, work, self.generator)
        return Choice(candidate) if candidate is not None else None

    def _update_eligibility(self) -> None:
        self.targets.update_eligibility(self.ejector.ejected)
        self._saturated = False

    def _allocate(
        self,
        candidate: Candidate,
        work: WorkRequest,
        now: float,
        *,
        probe: bool = False,
        choice: Choice | None = None,
    ) -> Grant:
        if choice is None:
            choice = Choice(candidate, self._kept_tokens(candidate, work, now))
        reading = None
        if self.targets.is_uneven:
            reading = self.targets.prefixes.start(
                candidate.view, work.model, work.prompt_parts, work.expected_events, now
            )
        candidate.own_requests += 1
        candidate.permits -= 1
        self._running_count += 1
        self._running_by_workspace[work.workspace] += 1
        if probe:
            self.ejector.probe_started(candidate.id)
        reason = choice.reason if self.targets.is_uneven else None
        return Grant(candidate, work, probe, reason, choice.kept_tokens, now, reading)

    def _kept_tokens(self, candidate: Candidate, work: WorkRequest, now: float) -> int:
        """Return the tokens of a prompt that a target keeps; 0 in even pools."""
        if not self.targets.is_uneven:
            return 0
        return self.targets.prefixes.kept_tokens(
            candidate.id, work.model, work.prompt_parts, now
        )

    def _dispatch_queued(self, candidate: Candidate, now: float) -> None:
        """Dispatch queued requests to the free slots of a target."""
        while (
            len(self.queue)
            and candidate.free_slots > 0
            and self._running_count < self.shares.max_running
        ):
            queued = self.queue.pop(
                lambda work: (
                    work.deadline > now and self.targets.admits(candidate, work)
                ),
                lambda work: (
                    candidate.id in self.targets.affinity_targets(work)[:1]
                    or self._kept_tokens(candidate, work, now) > 0
                ),
            )
            if queued is None:
                return
            queued.notify(self._allocate(candidate, queued.work, now))

    def _dispatch_probes(self, now: float) -> None:
        for target in self.ejector.ejected:
            candidate = self.targets.get(target)
            if not (candidate and candidate.view.selectable and candidate.permits > 0):
                continue
            queued = self.queue.pop(
                lambda work, c=candidate: (
                    work.deadline > now
                    and self.ejector.may_probe(c.id, work.restartable, now)
                    and self.targets.admits(c, work)
                )
            )
            if queued is not None:
                queued.notify(self._allocate(candidate, queued.work, now, probe=True))

    def _unconfirmed_target_for(
        self, work: WorkRequest, now: float
    ) -> Candidate | None:
        """Return a target with a permit whose rate limit may have ended."""
        for candidate in self._limited:
            if (
                candidate in self.targets.usable
                and candidate.free_slots > 0
                and self._needs_confirmation(candidate, now)
                and self.targets.admits(candidate, work)
            ):
                return candidate
        return None

    def _needs_confirmation(self, candidate: Candidate, now: float) -> bool:
        report = candidate.view.rate_limit
        return (
            report is not None
            and report.requests_per_s is not None
            and now - report.received_at > LIMIT_CONFIRMATION_INTERVAL_S
            and now - self._last_request_at < LIMIT_CONFIRMATION_INTERVAL_S
        )

    def _drop_expired_permits(self, now: float) -> None:
        for candidate in self._limited:
            if candidate.permits_expire_at <= now:
                candidate.permits, candidate.permits_expire_at = 0, math.inf

    def _refuse_queued_callers(self) -> None:
        """Refuse the queued requests of callers, who can come back later."""
        while queued := self.queue.pop(lambda work: not work.is_resubmitted):
            queued.notify(_evacuated_error(queued.work))

    def _update_room(self, now: float) -> None:
        full_count = self.targets.full_count
        self.targets.update_room(now)
        if self.targets.full_count < full_count:
            self._saturated = False

    def _record_room(self, grant: Grant, result: Result, now: float) -> None:
        """Record what the end of a request says about the room at its target."""
        if result is Result.SUCCEEDED:
            self.targets.run_times.record(now - grant.granted_at)
            grant.candidate.room.record_run(now - grant.granted_at)
        elif result is Result.REFUSED:
            draw = self.generator.random()
            self.targets.record_refusal(grant.candidate, draw, now)
        self._update_room(now)

    def _gives_way(self, work: WorkRequest) -> bool:
        """Whether a request waits behind those of callers who wait for an answer."""
        return self.targets.is_uneven and work.is_resubmitted

    def _has_free_slot(self, work: WorkRequest) -> bool:
        return self._running_count < self.shares.max_running and any(
            candidate.free_slots > 0 and self.targets.admits(candidate, work)
            for candidate in self.targets.eligible_for(work, local=False)
        )

    def _own_slots(self) -> float:
        """Return the slots of the pool that this daemon uses, or has a share in."""
        capacity = sum(candidate.capacity for candidate in self.targets.usable)
        ratio = self.shares.fleet_to_own_demand(sum(self.demand.values()))
        return max(1.0, self._running_count, capacity / ratio)

    def _queue_full_error(self, work: WorkRequest, now: float) -> ShedError:
        reason = f"the queue of pool {work.pool} is full"
        if not self.targets.is_uneven:
            return ShedError(reason)
        return NoRoomError(reason, self._retry_delay_s(work, now))

    def _retry_delay_s(self, work: WorkRequest, now: float) -> float:
        expected_s = self.expected_wait_s(work, now)
        return retry_delay_s(expected_s, work.deadline - now, self.generator.random())

    def _refuse_beyond_deadline(self, work: WorkRequest, now: float) -> None:
        """Raise ``ShedError`` if a request cannot be expected to run in time."""
        if work.is_resubmitted:
            return
        self._refuse_beyond_rate_limits(work, now)
        if not self.targets.is_uneven:
            return
        wait_s = self.expected_wait_s(work, now)
        if now + wait_s > work.deadline:
            raise NoRoomError(
                f"a request of pool {work.pool} waits for {wait_s:.2f} s now, which "
                "leaves no time before the deadline",
                self._retry_delay_s(work, now),
            )

    def _refuse_beyond_rate_limits(self, work: WorkRequest, now: float) -> None:
        """Raise ``ShedError`` if rate limits keep a request waiting past its deadline.

        Its wait follows from the limits of all targets that admit it and from the
        queued requests of all daemons, as far as they are known.
        """
        if not self._limited:
            return
        targets = [
            candidate
            for candidate in self.targets.eligible_for(work, local=False)
            if self.targets.admits(candidate, work)
        ]
        limits = [candidate.view.requests_per_s for candidate in targets]
        if not limits or None in limits:
            return
        rate = sum(max(MIN_REQUESTS_PER_S, limit or 0.0) for limit in limits)
        own_rate = rate / self.shares.fleet_to_own_demand(sum(self.demand.values()))
        wait_s = (len(self.queue) + 1) / own_rate
        late_s = now + wait_s - work.deadline
        if late_s > 0.0:
            raise ShedError(
                f"all targets of pool {work.pool} name rate limits; {rate:g} requests "
                f"per second in all leave no time before the deadline",
                retry_after=max(late_s, 1.0 / own_rate),
            )

    def _probe_target_for(self, work: WorkRequest, now: float) -> Candidate | None:
        for target in self.ejector.ejected:
            candidate = self.targets.get(target)
            if (
                candidate is not None
                and candidate.view.selectable
                and candidate.permits > 0
                and self.ejector.may_probe(target, work.restartable, now)
                and self.targets.admits(candidate, work)
            ):
                return candidate
        return None


def _evacuated_error(work: WorkRequest) -> ShedError:
    return ShedError(
        f"all zones of pool {work.pool} are evacuated",
        retry_after=EVACUATION_RETRY_AFTER_S,
    )


def _is_unrestricted(work: WorkRequest) -> bool:
    """Whether a request can run at any target of its pool."""
    return (
        work.restartable
        and not work.exclude
        and not work.oldest_version
        and work.software is None
    )
