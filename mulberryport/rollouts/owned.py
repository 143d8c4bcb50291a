"""Steps that this daemon owns: opening, pulls, closing and memory bounds."""

import eventlet
from attrs import define, field, frozen

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Sample, StepId, StepSpec
from .replicas import SampleReplicator
from .runner import StepRunner
from .step import StepState

__all__ = ["OwnedStep", "OwnedSteps", "PullResult"]

STEP_OPENED = define_event(
    910, "step_opened", "info", "This daemon became the owner of a step."
)
STEP_CLOSED = define_event(911, "step_closed", "info", "A step was closed.")

# Bound on the buffered samples of all steps: about 120 MB at 60 bytes per token. Above
# it, a step may still buffer its reserved tokens, so that no step can block the others.
MAX_BUFFERED_TOKENS = 2_000_000
RESERVED_TOKENS_PER_STEP = 50_000
# Delay in which further samples accumulate, so that a response contains more than one.
GATHER_DELAY_S = 0.02
GATHER_SAMPLES = 16
MAX_CLOSED_IDS = 1024


@frozen
class PullResult:
    """Result of a pull.

    Parameters
    ----------
    known : bool
        False if the owner does not have the step, so that it must be reopened.
    samples : tuple of Sample
        Samples that the trainer has not received.
    remaining : int
        Number of slots that the trainer has not received.
    superseded : bool
        Whether a newer pull of the step superseded this one.
    """

    known: bool
    samples: tuple[Sample, ...] = ()
    remaining: int = 0
    superseded: bool = False


@frozen
class OwnedStep:
    """An owned step with its runner and its replicator."""

    runner: StepRunner
    replicator: SampleReplicator

    @property
    def step(self) -> StepState:
        """State of the step."""
        return self.runner.step


@define(eq=False)
class OwnedSteps:
    """The steps that this daemon owns."""

    max_tokens: int = MAX_BUFFERED_TOKENS
    _steps: dict[StepId, OwnedStep] = field(factory=dict)
    _closed_at: dict[StepId, float] = field(factory=dict)

    def get(self, step_id: StepId) -> OwnedStep | None:
        """Return a step, or None if this daemon does not own it."""
        return self._steps.get(step_id)

    def all(self) -> tuple[OwnedStep, ...]:
        """Return all steps."""
        return tuple(self._steps.values())

    def was_closed(self, step_id: StepId) -> bool:
        """Return whether a step was closed here and not handed over."""
        return step_id in self._closed_at

    def add(self, owned_step: OwnedStep) -> None:
        """Add a step and start its runner and its replicator."""
        spec = owned_step.step.spec
        self._closed_at.pop(spec.id, None)
        self._steps[spec.id] = owned_step
        owned_step.step.last_activity_at = boottime()
        owned_step.runner.start()
        owned_step.replicator.start()
        log(
            STEP_OPENED,
            step=spec.id.key,
            slots=spec.slot_count,
            remaining=owned_step.step.remaining,
            unfilled=owned_step.step.unfilled,
        )

    def has_buffer_room(self, step: StepState) -> bool:
        """Return whether a step may buffer further samples."""
        if step.buffered_tokens < RESERVED_TOKENS_PER_STEP:
            return True
        buffered_tokens = sum(
            owned_step.step.buffered_tokens for owned_step in self._steps.values()
        )
        return buffered_tokens < self.max_tokens

    def has_conflict(self, spec: StepSpec) -> bool:
        """Return whether the step is open with a different specification."""
        owned_step = self._steps.get(spec.id)
        return (
            owned_step is not None
            and not owned_step.step.spec.requests_same_samples(spec)
        )

    def pull(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> PullResult:
        """Return samples that the trainer has not received, waiting for the first one.

        Raises
        ------
        InvalidPullError
            If the pull does not match the step, whose state is then unchanged.
        """
        owned_step = self._steps.get(step_id)
        if owned_step is None:
            return PullResult(False)
        runner, step = owned_step.runner, owned_step.step
        deadline = boottime() + wait
        samples = step.pull(weight_version, received, limit)
        pull_number = runner.begin_pull()
        runner.wake()
        has_waited = False
        while not runner.is_closed and not runner.is_superseded(pull_number):
            is_small = len(samples) < min(limit, GATHER_SAMPLES, step.remaining)
            if samples and (has_waited or not is_small or not wait):
                break
            if samples:
                has_waited = True
                eventlet.sleep(GATHER_DELAY_S)
            elif not step.remaining or boottime() >= deadline:
                break
            else:
                runner.state_changed.wait(deadline - boottime())
            if not runner.is_closed and not runner.is_superseded(pull_number):
                samples = step.pull(weight_version, received, limit)
        if runner.is_closed:
            return PullResult(False)
        if runner.is_superseded(pull_number):
            return PullResult(True, (), step.remaining, superseded=True)
        return PullResult(True, tuple(samples), step.remaining)

    def close(self, step_id: StepId, reason: str, *, final: bool = True) -> bool:
        """Close a step; return False if this daemon does not own it.

        Parameters
        ----------
        step_id : StepId
            Id of the step.
        reason : str
            Reason for the log.
        final : bool
            False if another daemon takes over the step.
        """
        owned_step = self._steps.pop(step_id, None)
        if final:
            self._closed_at[step_id] = boottime()
            while len(self._closed_at) > MAX_CLOSED_IDS:
                del self._closed_at[next(iter(self._closed_at))]
        if owned_step is None:
            return False
        owned_step.runner.close()
        if final:
            eventlet.spawn_n(owned_step.replicator.announce_close)
        log(STEP_CLOSED, step=step_id.key, reason=reason)
        return True
