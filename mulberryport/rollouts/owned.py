"""Steps that this daemon owns: opening, pulling, closing, and their bounds."""

import eventlet
from attrs import define, field, frozen

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Sample, StepId, StepSpec
from .replicas import Replicator
from .runner import StepRunner
from .step import StepState

__all__ = ["OwnedStep", "OwnedSteps", "PullResult"]

STEP_OPENED = define_event(910, "step_opened", "info", "This daemon owns a new step.")
STEP_CLOSED = define_event(911, "step_closed", "info", "A step was closed.")

# Finished samples of all steps, some 120 MB at 60 bytes a token. A step that holds
# little may go on above this bound, so that no step can stop the others.
MAX_HELD_TOKENS = 2_000_000
MIN_STEP_TOKENS = 50_000
# Time in which further samples gather, so that a pull does not carry only one.
GATHER_S = 0.02
GATHER_SAMPLES = 16
CLOSED_IDS = 1024


@frozen
class PullResult:
    """Answer to a pull.

    Parameters
    ----------
    known : bool
        False if the owner does not know the step, so that it must be opened again.
    samples : tuple of Sample
        Samples that the trainer has not received.
    remaining : int
        Slots that the trainer has not received.
    superseded : bool
        Whether a newer pull of the step took the place of this one.
    """

    known: bool
    samples: tuple[Sample, ...] = ()
    remaining: int = 0
    superseded: bool = False


@frozen
class OwnedStep:
    """A step with what works on it."""

    runner: StepRunner
    replicator: Replicator

    @property
    def step(self) -> StepState:
        """The step's state."""
        return self.runner.step


@define(eq=False)
class OwnedSteps:
    """The steps that this daemon owns."""

    max_tokens: int = MAX_HELD_TOKENS
    _steps: dict[StepId, OwnedStep] = field(factory=dict)
    _closed: dict[StepId, float] = field(factory=dict)

    def get(self, step_id: StepId) -> OwnedStep | None:
        """Return a step, None if this daemon does not own it."""
        return self._steps.get(step_id)

    def all(self) -> tuple[OwnedStep, ...]:
        """Return all steps."""
        return tuple(self._steps.values())

    def was_closed(self, step_id: StepId) -> bool:
        """Whether the trainer closed a step here."""
        return step_id in self._closed

    def add(self, owned: OwnedStep) -> None:
        """Own a step from now on and start to generate."""
        spec = owned.step.spec
        self._closed.pop(spec.id, None)
        self._steps[spec.id] = owned
        owned.step.touched_at = boottime()
        owned.runner.start()
        owned.replicator.start()
        log(
            STEP_OPENED,
            step=spec.id.key,
            slots=spec.slots,
            remaining=owned.step.remaining,
            unfilled=owned.step.unfilled,
        )

    def may_hold(self, step: StepState) -> bool:
        """Whether a step may generate further samples now."""
        if step.held_tokens < MIN_STEP_TOKENS:
            return True
        held = sum(owned.step.held_tokens for owned in self._steps.values())
        return held < self.max_tokens

    def conflicts(self, spec: StepSpec) -> bool:
        """Whether a step is open with another specification."""
        owned = self._steps.get(spec.id)
        return owned is not None and not owned.step.spec.same_request(spec)

    def pull(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> PullResult:
        """Return samples that the trainer has not received, waiting for the first.

        Raises
        ------
        InvalidPullError
            The pull does not fit the step; nothing was changed.
        """
        owned = self._steps.get(step_id)
        if owned is None:
            return PullResult(False)
        runner, step = owned.runner, owned.step
        deadline = boottime() + wait
        samples = step.pull(weight_version, received, limit)
        ticket = runner.begin_pull()
        runner.wake()
        gathered = False
        while not runner.closed and not runner.superseded(ticket):
            few = len(samples) < min(limit, GATHER_SAMPLES, step.remaining)
            if samples and (gathered or not few or not wait):
                break
            if samples:
                gathered = True
                eventlet.sleep(GATHER_S)
            elif not step.remaining or boottime() >= deadline:
                break
            else:
                runner.changed.wait(deadline - boottime())
            if not runner.closed and not runner.superseded(ticket):
                samples = step.pull(weight_version, received, limit)
        if runner.closed:
            return PullResult(False)
        if runner.superseded(ticket):
            return PullResult(True, (), step.remaining, superseded=True)
        return PullResult(True, tuple(samples), step.remaining)

    def close(self, step_id: StepId, reason: str, *, final: bool = True) -> bool:
        """Stop to generate a step; false if this daemon does not own it.

        Parameters
        ----------
        step_id : StepId
            The step.
        reason : str
            For the log.
        final : bool
            False if another daemon goes on with the step.
        """
        owned = self._steps.pop(step_id, None)
        if final:
            self._closed[step_id] = boottime()
            while len(self._closed) > CLOSED_IDS:
                del self._closed[next(iter(self._closed))]
        if owned is None:
            return False
        owned.runner.close()
        if final:
            eventlet.spawn_n(owned.replicator.forget)
        log(STEP_CLOSED, step=step_id.key, reason=reason)
        return True
