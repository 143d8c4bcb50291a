"""Attempts to generate the samples of a step."""

import secrets
from collections.abc import Callable

import eventlet
from attrs import define, field

from ..runtime.clock import boottime
from ..targets import Dispatcher, ShedError, WorkRequest
from ..targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    TokenChunk,
    generate,
)
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Sample, VersionSpan
from .step import Slot, StepState

__all__ = ["StepRunner", "merge_spans"]

ATTEMPT_FAILED = define_event(
    900, "attempt_failed", "info", "An attempt to generate a sample failed."
)

READ_TIMEOUT_S = 10.0
QUEUE_TIMEOUT_S = 30.0
RETRY_DELAY_S = 0.1
IDLE_DELAY_S = 0.05
# Attempts of one step at the same time; the limits of the targets are lower.
WORKERS = 256
# An open step that its trainer does not pull for this time is dropped.
ABANDONED_AFTER_S = 900.0


def merge_spans(chunks: list[TokenChunk]) -> tuple[VersionSpan, ...]:
    """Return the version spans of a stream, neighbours of one version joined.

    Examples
    --------
    >>> merge_spans([TokenChunk(("a", "b"), 1), TokenChunk(("c",), 1)])
    (VersionSpan(version=1, tokens=3),)
    """
    spans: list[VersionSpan] = []
    for chunk in chunks:
        count = len(chunk.tokens)
        if spans and spans[-1].version == chunk.version:
            spans[-1] = VersionSpan(chunk.version, spans[-1].tokens + count)
        else:
            spans.append(VersionSpan(chunk.version, count))
    return tuple(spans)


@define(eq=False)
class StepRunner:
    """Generates the samples of one step until it is closed.

    Parameters
    ----------
    step : StepState
        The step.
    dispatcher : Dispatcher
        Gives attempts to engines.
    on_sample : callable
        Called with each sample that filled a slot.
    """

    step: StepState
    dispatcher: Dispatcher
    on_sample: Callable[[Sample], None]
    _closed: bool = False
    _workers: eventlet.GreenPool = field(factory=lambda: eventlet.GreenPool(WORKERS))

    def start(self) -> None:
        """Start to generate."""
        eventlet.spawn_n(self._run)

    def close(self) -> None:
        """Start no further attempts."""
        self._closed = True

    def _run(self) -> None:
        while not self._closed and self.step.remaining:
            if boottime() - self.step.touched_at > ABANDONED_AFTER_S:
                return
            slot = self.step.next_slot()
            if slot is None:
                eventlet.sleep(IDLE_DELAY_S)
                continue
            slot.running += 1
            self._workers.spawn_n(self._attempt, slot)

    def _attempt(self, slot: Slot) -> None:
        try:
            sample = self._generate(slot)
        except (ShedError, NotStartedError, StreamError) as error:
            log(ATTEMPT_FAILED, slot=slot.number, error=str(error))
            eventlet.sleep(RETRY_DELAY_S)
        else:
            if self.step.fill(sample):
                self.on_sample(sample)
        finally:
            slot.running -= 1

    def _generate(self, slot: Slot) -> Sample:
        spec = self.step.spec
        group = spec.groups[slot.group]
        # The prompt is shared by the group; the suffix makes samples differ, as a
        # sampling seed does in a real engine.
        request = GenerationRequest(
            secrets.token_hex(8), f"{group.prompt}#{slot.index}", group.max_tokens
        )
        work = WorkRequest(
            pool=spec.pool,
            workspace=spec.id.workspace,
            deadline=boottime() + QUEUE_TIMEOUT_S,
            prefix=group.prompt[:32],
            restartable=True,
        )
        with self.dispatcher.assign(work) as view:
            chunks = list(generate(view.address, request, READ_TIMEOUT_S))
        tokens = tuple(token for chunk in chunks for token in chunk.tokens)
        return Sample(slot.group, slot.index, tokens, merge_spans(chunks), view.id)
