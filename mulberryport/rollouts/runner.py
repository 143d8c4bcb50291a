"""Generates the samples of one step: starts, moves, hedges and cancels attempts."""

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
from .stragglers import Hedging, StragglerPolicy

__all__ = ["StepRunner"]

ATTEMPT_FAILED = define_event(
    900, "attempt_failed", "info", "An attempt to generate a sample failed."
)
SAMPLE_UNATTESTED = define_event(
    901,
    "sample_unattested",
    "warning",
    "A sample without consistent weight versions was discarded.",
)
ATTEMPT_MOVED = define_event(
    902, "attempt_moved", "info", "An attempt left a target that is leaving or silent."
)
ATTEMPT_HEDGED = define_event(
    903, "attempt_hedged", "info", "A straggler got a second attempt."
)

ATTEMPT_BROKEN = define_event(
    905, "attempt_broken", "error", "An attempt ended with an unexpected error."
)

RETRY_DELAY_S = 0.1
# Attempts of one step at the same time; the limits of the targets are lower.
MAX_ATTEMPTS = 256
# Attempts that wait in the dispatcher's queue beside those that run.
QUEUED_ATTEMPTS = 8
CHECK_PERIOD_S = 0.25
# A target that does not answer polls keeps streams that still make progress.
SILENCE_S = 1.0


@define(eq=False)
class StepRunner:
    """Generates the samples of one step until it is closed.

    Parameters
    ----------
    step : StepState
        The step.
    engines : EngineAccess
        Gives attempts to engines.
    pool : str
        Pool of the engines; may change when the route gets another one.
    on_sample : callable
        Called with each sample that filled a slot.
    score : callable or None
        Returns the score of a sample; it retries until it has one.
    may_hold : callable
        Whether the daemon has room for further finished samples.
    policy : StragglerPolicy
        Treatment of stragglers.
    """

    step: StepState
    engines: EngineAccess
    pool: str
    on_sample: Callable[[Sample], None] = field(default=lambda sample: None)
    score: Callable[[Sample], float] | None = None
    may_hold: Callable[[StepState], bool] = field(default=lambda step: True)
    policy: StragglerPolicy = field(factory=StragglerPolicy)
    changed: Notifier = field(factory=Notifier)
    hedging: Hedging = field(init=False)
    _attempts: dict[int, list[Attempt]] = field(factory=dict)
    _running: int = 0
    _wake: Notifier = field(factory=Notifier)
    _closed: bool = False
    _allowed: tuple[float, int] = (0.0, 0)
    _last_pull: int = 0

    def __attrs_post_init__(self) -> None:
        """Start with an empty record of durations."""
        groups = self.step.spec.groups
        wanted = sum(group.samples * group.max_tokens for group in groups)
        self.hedging = Hedging(self.policy, wanted)

    @property
    def closed(self) -> bool:
        """Whether the step was closed here."""
        return self._closed

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """Attempts that are running."""
        return tuple(a for group in self._attempts.values() for a in group)

    def begin_pull(self) -> int:
        """Return the number of a new pull, which supersedes those that wait."""
        self._last_pull += 1
        self.changed.notify_all()
        return self._last_pull

    def superseded(self, pull: int) -> bool:
        """Whether a newer pull began."""
        return pull != self._last_pull

    def start(self) -> None:
        """Start to generate."""
        eventlet.spawn_n(self._run)

    def wake(self) -> None:
        """Look at once whether attempts must start or stop."""
        self._wake.notify_all()

    def close(self) -> None:
        """Cancel all attempts and start none."""
        self._closed = True
        self._wake.notify_all()
        self.changed.notify_all()

    def fill(self, sample: Sample) -> bool:
        """Fill a slot, with a sample generated here or by another owner."""
        if not self.step.fill(sample):
            return False
        self.changed.notify_all()
        return True

    def _run(self) -> None:
        while not self._closed:
            self._stop_useless()
            self._start_attempts()
            self._hedge()
            self._wake.wait(CHECK_PERIOD_S)
        for attempt in self.attempts:
            attempt.thread.kill(AttemptCancelledError())

    def _start_attempts(self) -> None:
        while self._running < self._allowed_attempts() and self.may_hold(self.step):
            number = self.step.take()
            if number is None:
                return
            # A slot whose sample was discarded may still have a running attempt.
            if number not in self._attempts:
                self._spawn(Attempt(number, self._priority()))

    def _priority(self) -> int:
        return self.policy.tail_priority if self._in_tail() else self.policy.priority

    def _in_tail(self) -> bool:
        tail = max(1, int(self.step.slots * self.policy.tail_share))
        return self.step.unfilled <= tail

    def _spawn(self, attempt: Attempt) -> None:
        self._attempts.setdefault(attempt.number, []).append(attempt)
        self._running += 1
        attempt.thread = eventlet.spawn(self._attempt, attempt)
        # A link also runs when the thread is killed before its first turn.
        attempt.thread.link(lambda thread: self._ended(attempt))

    def _attempt(self, attempt: Attempt) -> None:
        try:
            sample = generate_sample(attempt, self.step, self.engines, self.pool)
            self.hedging.finished(*attempt.pace())
            if self.score is not None and self.step.wanted(attempt.number):
                sample = sample.scored(self.score(sample))
            if not self._closed and self.fill(sample):
                self.on_sample(sample)
        except (AttemptCancelledError, AttemptMovedError):
            pass
        except UnattestedError as error:
            log(SAMPLE_UNATTESTED, target=attempt.target, error=str(error))
            self._pause()
        except (ShedError, NotStartedError, StreamError) as error:
            log(ATTEMPT_FAILED, slot=attempt.number, error=str(error))
            self._pause()
        except Exception as error:
            # Whatever went wrong, the slot stays wanted and is tried again.
            log(ATTEMPT_BROKEN, slot=attempt.number, error=repr(error))
            self._pause()

    def _pause(self) -> None:
        """Wait before the slot is tried again, unless the step is closed."""
        try:
            eventlet.sleep(RETRY_DELAY_S)
        except (AttemptCancelledError, AttemptMovedError):
            return

    def _ended(self, attempt: Attempt) -> None:
        group = self._attempts[attempt.number]
        group.remove(attempt)
        self._running -= 1
        if attempt.charged:
            self.hedging.refund(self._tokens_of(attempt) - attempt.tokens)
        if not group:
            del self._attempts[attempt.number]
            self.step.put_back(attempt.number)
        self._wake.notify_all()

    def _stop_useless(self) -> None:
        """Cancel attempts that lost or are too old, and move those that must leave."""
        lost = self._lost_targets() if self.policy.move else {}
        for attempt in self.attempts:
            oldest = attempt.oldest_version
            too_old = oldest is not None and oldest < self.step.oldest_allowed
            if too_old or not self.step.wanted(attempt.number):
                attempt.thread.kill(AttemptCancelledError())
            elif attempt.streaming and attempt.target in lost:
                silent = boottime() - attempt.progress_at > SILENCE_S
                if lost[attempt.target] or silent:
                    log(ATTEMPT_MOVED, slot=attempt.number, target=attempt.target)
                    attempt.thread.kill(AttemptMovedError())

    def _lost_targets(self) -> dict[str, bool]:
        """Return targets that attempts must leave, true if at once.

        Empty if there is no other target where they could continue.
        """
        views = self.engines.views(self.pool)
        if not any(view.selectable for view in views):
            return {}
        return {view.id: view.leaving for view in views if not view.selectable}

    def _hedge(self) -> None:
        """Start second attempts of stragglers at the step's tail.

        Before the tail, a hedge would take the place of an attempt that is needed
        anyway, and the budget would be gone when the last samples are awaited.
        """
        if self._closed or not self.policy.budget or not self._in_tail():
            return
        overdue = [
            (left, group[0])
            for group in self._attempts.values()
            if len(group) == 1 and (left := self._overdue(group[0])) > 0.0
        ]
        for _, attempt in sorted(overdue, key=lambda item: item[0], reverse=True):
            tokens = self._tokens_of(attempt) - attempt.tokens
            if not self.hedging.start(tokens):
                continue
            log(ATTEMPT_HEDGED, slot=attempt.number, target=attempt.target)
            self._spawn(attempt.hedge(self.policy.tail_priority, tokens))

    def _overdue(self, attempt: Attempt) -> float:
        """Return the seconds a straggler still needs; 0 for other attempts."""
        if not attempt.streaming:
            return 0.0
        elapsed, done = attempt.pace()
        left = self._tokens_of(attempt) - attempt.tokens
        # Without tokens since the first there is no pace to go by, only the time.
        needed = elapsed * left / done if done else elapsed
        if elapsed + needed <= self.hedging.threshold(done + left):
            return 0.0
        # A second attempt resumes at the same offset at the usual pace.
        return needed if needed > self.hedging.usual(left) else 0.0

    def _tokens_of(self, attempt: Attempt) -> int:
        group, _ = self.step.position(attempt.number)
        return self.step.spec.groups[group].max_tokens

    def _allowed_attempts(self) -> int:
        """Return how many attempts the pool's limits let run, looked up at times."""
        until, allowed = self._allowed
        if boottime() < until:
            return allowed
        views = self.engines.views(self.pool)
        capacity = sum(view.limit for view in views if view.selectable)
        allowed = min(MAX_ATTEMPTS, capacity + QUEUED_ATTEMPTS)
        self._allowed = (boottime() + CHECK_PERIOD_S, allowed)
        return allowed
