"""Sample generation for one step: starts, moves, hedges and cancels attempts."""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..targets import ShedError
from ..targets.engine_client import NotStartedError, StreamError
from ..telemetry import define as define_event
from ..telemetry import log
from .attempts import (
    Attempt,
    AttemptCancelledError,
    AttemptMovedError,
    EngineAccess,
    generate_sample,
)
from .labels import UnattestedError
from .model import Sample
from .step import StepState
from .stragglers import HedgingTracker, StragglerPolicy

__all__ = ["StepRunner"]

ATTEMPT_FAILED = define_event(
    900, "attempt_failed", "info", "An attempt to generate a sample failed."
)
SAMPLE_UNATTESTED = define_event(
    901,
    "sample_unattested",
    "warning",
    "A sample with missing or inconsistent weight versions was discarded.",
)
ATTEMPT_MOVED = define_event(
    902,
    "attempt_moved",
    "info",
    "An attempt was moved from a target that is leaving or unresponsive.",
)
ATTEMPT_HEDGED = define_event(
    903, "attempt_hedged", "info", "A second attempt was started for a straggler."
)

ATTEMPT_BROKEN = define_event(
    905, "attempt_broken", "error", "An attempt ended with an unexpected error."
)

RETRY_DELAY_S = 0.1
# Bound on the concurrent attempts of one step; the targets' limits are lower.
MAX_RUNNING_ATTEMPTS = 256
# Attempts that may wait in the dispatcher's queue in addition to those that run.
EXTRA_QUEUED_ATTEMPTS = 8
CHECK_PERIOD_S = 0.25
# Streams from a target that misses its polls are moved only after this long without
# tokens; a stream that still makes progress stays.
STALL_TIMEOUT_S = 1.0


@define(eq=False)
class StepRunner:
    """Generates the samples of one step until the step is closed.

    Parameters
    ----------
    step : StepState
        State of the step.
    engines : EngineAccess
        Access to the engines.
    pool : str
        Pool of the engines; reassigned when the route's pool changes.
    on_sample : callable
        Called with each generated sample that filled a slot.
    score_sample : callable or None
        Returns the score of a sample, retrying until it has one; None for a step
        without a scoring route.
    has_buffer_room : callable
        Returns whether the buffers of the daemon accept further samples of a step.
    policy : StragglerPolicy
        Priorities, hedging and moves of attempts.
    """

    step: StepState
    engines: EngineAccess
    pool: str
    on_sample: Callable[[Sample], None] = field(default=lambda sample: None)
    score_sample: Callable[[Sample], float] | None = None
    has_buffer_room: Callable[[StepState], bool] = field(default=lambda step: True)
    policy: StragglerPolicy = field(factory=StragglerPolicy)
    state_changed: Notifier = field(factory=Notifier)
    hedging: HedgingTracker = field(init=False)
    _attempts_by_slot: dict[int, list[Attempt]] = field(factory=dict)
    _running_count: int = 0
    _wakeup: Notifier = field(factory=Notifier)
    _closed: bool = False
    _cached_limit: tuple[float, int] = (0.0, 0)
    _last_pull_number: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the hedging tracker with the step's total of tokens."""
        groups = self.step.spec.groups
        step_tokens = sum(group.samples * group.max_tokens for group in groups)
        self.hedging = HedgingTracker(self.policy, step_tokens)

    @property
    def is_closed(self) -> bool:
        """Whether the runner was closed."""
        return self._closed

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """Running attempts."""
        return tuple(
            attempt
            for slot_attempts in self._attempts_by_slot.values()
            for attempt in slot_attempts
        )

    def begin_pull(self) -> int:
        """Return the number of a new pull, which supersedes all waiting pulls."""
        self._last_pull_number += 1
        self.state_changed.notify_all()
        return self._last_pull_number

    def is_superseded(self, pull_number: int) -> bool:
        """Return whether a newer pull has begun."""
        return pull_number != self._last_pull_number

    def start(self) -> None:
        """Start the green thread that manages the attempts."""
        eventlet.spawn_n(self._run)

    def wake(self) -> None:
        """Check without delay whether attempts must be started or stopped."""
        self._wakeup.notify_all()

    def close(self) -> None:
        """Cancel all attempts and start no further ones."""
        self._closed = True
        self._wakeup.notify_all()
        self.state_changed.notify_all()

    def fill_slot(self, sample: Sample) -> bool:
        """Fill a slot with a sample generated here or at another owner."""
        if not self.step.fill_slot(sample):
            return False
        self.state_changed.notify_all()
        return True

    def _run(self) -> None:
        while not self._closed:
            self._stop_unneeded_attempts()
            self._start_attempts()
            self._hedge_stragglers()
            self._wakeup.wait(CHECK_PERIOD_S)
        for attempt in self.attempts:
            attempt.thread.kill(AttemptCancelledError())

    def _start_attempts(self) -> None:
        while self._running_count < self._attempt_limit() and self.has_buffer_room(
            self.step
        ):
            slot = self.step.dequeue_slot()
            if slot is None:
                return
            # A slot whose sample was discarded may still have a running attempt.
            if slot not in self._attempts_by_slot:
                self._spawn_attempt(Attempt(slot, self._current_priority()))

    def _current_priority(self) -> int:
        return self.policy.tail_priority if self._is_in_tail() else self.policy.priority

    def _is_in_tail(self) -> bool:
        tail = max(1, int(self.step.slot_count * self.policy.tail_share))
        return self.step.unfilled <= tail

    def _spawn_attempt(self, attempt: Attempt) -> None:
        self._attempts_by_slot.setdefault(attempt.slot, []).append(attempt)
        self._running_count += 1
        attempt.thread = eventlet.spawn(self._run_attempt, attempt)
        # A link also runs if the thread is killed before it is first scheduled.
        attempt.thread.link(lambda thread: self._on_attempt_end(attempt))

    def _run_attempt(self, attempt: Attempt) -> None:
        try:
            sample = generate_sample(attempt, self.step, self.engines, self.pool)
            self.hedging.record_duration(*attempt.pace())
            if self.score_sample is not None and self.step.needs_sample(attempt.slot):
                sample = sample.with_score(self.score_sample(sample))
            if not self._closed and self.fill_slot(sample):
                self.on_sample(sample)
        except (AttemptCancelledError, AttemptMovedError):
            pass
        except UnattestedError as error:
            log(SAMPLE_UNATTESTED, target=attempt.target, error=str(error))
            self._wait_before_retry()
        except (ShedError, NotStartedError, StreamError) as error:
            log(ATTEMPT_FAILED, slot=attempt.slot, error=str(error))
            self._wait_before_retry()
        except Exception as error:
            # The slot still needs a sample after any error, so it is queued again.
            log(ATTEMPT_BROKEN, slot=attempt.slot, error=repr(error))
            self._wait_before_retry()

    def _wait_before_retry(self) -> None:
        """Delay the end of a failed attempt, after which its slot is queued again.

        Cancelling or moving the attempt ends the delay.
        """
        try:
            eventlet.sleep(RETRY_DELAY_S)
        except (AttemptCancelledError, AttemptMovedError):
            return

    def _on_attempt_end(self, attempt: Attempt) -> None:
        slot_attempts = self._attempts_by_slot[attempt.slot]
        slot_attempts.remove(attempt)
        self._running_count -= 1
        if attempt.charged_tokens:
            self.hedging.refund(self._max_tokens(attempt) - attempt.token_count)
        if not slot_attempts:
            del self._attempts_by_slot[attempt.slot]
            self.step.requeue_slot(attempt.slot)
        self._wakeup.notify_all()

    def _stop_unneeded_attempts(self) -> None:
        """Cancel unneeded and stale attempts; move those that must leave a target."""
        targets_to_leave = self._targets_to_leave() if self.policy.move_attempts else {}
        for attempt in self.attempts:
            oldest = attempt.oldest_version
            stale = oldest is not None and oldest < self.step.oldest_allowed_version
            if stale or not self.step.needs_sample(attempt.slot):
                attempt.thread.kill(AttemptCancelledError())
            elif attempt.is_streaming and attempt.target in targets_to_leave:
                stalled = boottime() - attempt.last_progress_at > STALL_TIMEOUT_S
                if targets_to_leave[attempt.target] or stalled:
                    log(ATTEMPT_MOVED, slot=attempt.slot, target=attempt.target)
                    attempt.thread.kill(AttemptMovedError())

    def _targets_to_leave(self) -> dict[str, bool]:
        """Return the targets that attempts must leave.

        The value is true for targets that attempts must leave immediately, and false
        for those that they leave once their stream stalls. The mapping is empty if no
        other target could take over the attempts.
        """
        views = self.engines.views(self.pool)
        if not any(view.selectable for view in views):
            return {}
        return {view.id: view.leaving for view in views if not view.selectable}

    def _hedge_stragglers(self) -> None:
        """Start second attempts for stragglers in the tail of the step.

        Before the tail, a hedge would displace an attempt that is needed in any case,
        and the budget would be spent before the last samples are awaited.
        """
        if self._closed or not self.policy.budget_share or not self._is_in_tail():
            return
        overdue = [
            (remaining_time, slot_attempts[0])
            for slot_attempts in self._attempts_by_slot.values()
            if len(slot_attempts) == 1
            and (remaining_time := self._straggler_remaining_time(slot_attempts[0]))
            > 0.0
        ]
        for _, attempt in sorted(overdue, key=lambda item: item[0], reverse=True):
            tokens = self._max_tokens(attempt) - attempt.token_count
            if not self.hedging.try_charge(tokens):
                continue
            log(ATTEMPT_HEDGED, slot=attempt.slot, target=attempt.target)
            self._spawn_attempt(attempt.make_hedge(self.policy.tail_priority, tokens))

    def _straggler_remaining_time(self, attempt: Attempt) -> float:
        """Return the estimated remaining seconds of a straggler, otherwise 0."""
        if not attempt.is_streaming:
            return 0.0
        elapsed, paced_tokens = attempt.pace()
        remaining_tokens = self._max_tokens(attempt) - attempt.token_count
        # Without tokens after the first chunk there is no pace to extrapolate, so the
        # elapsed time is the estimate.
        remaining_time = (
            elapsed * remaining_tokens / paced_tokens if paced_tokens else elapsed
        )
        if elapsed + remaining_time <= self.hedging.straggler_threshold(
            paced_tokens + remaining_tokens
        ):
            return 0.0
        # A hedge resumes at the same offset, so it must be faster at the median pace.
        return (
            remaining_time
            if remaining_time > self.hedging.median_duration(remaining_tokens)
            else 0.0
        )

    def _max_tokens(self, attempt: Attempt) -> int:
        group, _ = self.step.group_and_index(attempt.slot)
        return self.step.spec.groups[group].max_tokens

    def _attempt_limit(self) -> int:
        """Return the limit on running attempts, cached for ``CHECK_PERIOD_S``."""
        until, allowed = self._cached_limit
        if boottime() < until:
            return allowed
        views = self.engines.views(self.pool)
        capacity = sum(view.limit for view in views if view.selectable)
        allowed = min(MAX_RUNNING_ATTEMPTS, capacity + EXTRA_QUEUED_ATTEMPTS)
        self._cached_limit = (boottime() + CHECK_PERIOD_S, allowed)
        return allowed
