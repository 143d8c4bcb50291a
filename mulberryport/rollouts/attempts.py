"""One attempt to generate a sample: a stream that may continue at other engines."""

import secrets
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from typing import Any

import eventlet
import greenlet
from attrs import define, field, frozen

from ..runtime.clock import boottime
from ..targets import TargetView, WorkRequest
from ..targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    TokenChunk,
    cancel_generation,
    generate,
)
from .labels import check_next, merge_spans
from .model import Sample
from .step import StepState

__all__ = [
    "Attempt",
    "AttemptCancelledError",
    "AttemptMovedError",
    "EngineAccess",
    "generate_sample",
]

# Engines send a chunk every few tens of milliseconds; a dead one is also noticed by
# the polls of its load, within 2 s.
READ_TIMEOUT_S = 10.0
QUEUE_TIMEOUT_S = 5.0
# A stream that broke this often is generated from the start.
MAX_MOVES = 5


# GreenletExit tells everything on the way, such as the dispatcher, that the caller
# ended the request and the target did not fail; ``except Exception`` lets it pass.
class AttemptCancelledError(greenlet.GreenletExit):
    """The result of the attempt is not wanted any more."""


class AttemptMovedError(greenlet.GreenletExit):
    """The attempt must continue at another engine."""


@frozen
class EngineAccess:
    """How attempts reach engines.

    Parameters
    ----------
    assign : callable
        ``Dispatcher.assign``.
    views : callable
        Returns the targets of a pool.
    generate, cancel : callable
        Of ``targets.engine_client``.
    """

    assign: Callable[[WorkRequest], AbstractContextManager[TargetView]]
    views: Callable[[str], Sequence[TargetView]]
    generate: Callable[..., Any] = generate
    cancel: Callable[[str, str], None] = cancel_generation


@define(eq=False)
class Attempt:
    """An attempt to fill a slot.

    Parameters
    ----------
    number : int
        The slot.
    priority : int
        0 to 9, for queues and engines.
    exclude : set of str
        Targets that it must not use.
    charged : int
        Tokens that it may cost as a hedge; 0 for other attempts.
    """

    number: int
    priority: int
    exclude: set[str] = field(factory=set)
    target: str = ""
    streaming: bool = False
    progress_at: float = 0.0
    _paced_from: tuple[float, int] = (0.0, 0)
    chunks: list[TokenChunk] = field(factory=list)
    targets: list[str] = field(factory=list)
    thread: Any = None
    charged: int = 0

    @property
    def oldest_version(self) -> int | None:
        """The oldest version among its tokens, None before the first."""
        return min((chunk.version for chunk in self.chunks), default=None)

    @property
    def tokens(self) -> int:
        """Tokens that it has so far."""
        return sum(len(chunk.tokens) for chunk in self.chunks)

    def hedge(self, priority: int, charged: int) -> "Attempt":
        """Return a second attempt, which resumes elsewhere where this one is now."""
        return Attempt(
            self.number,
            priority,
            exclude={self.target},
            chunks=list(self.chunks),
            targets=list(self.targets),
            charged=charged,
        )

    def assigned(self, target: str) -> None:
        """Note that an engine takes the attempt."""
        self.target, self.streaming = target, True
        self.progress_at = boottime()
        self._paced_from = (self.progress_at, self.tokens)

    def add(self, chunk: TokenChunk, *, first: bool) -> None:
        """Note tokens; the pace counts from the first, after the engine's queue."""
        if self.target not in self.targets:
            self.targets.append(self.target)
        self.chunks.append(chunk)
        self.progress_at = boottime()
        if first:
            self._paced_from = (self.progress_at, self.tokens)

    def pace(self) -> tuple[float, int]:
        """Return the time since the first tokens from its engine, and tokens since.

        Before the first tokens, the time counts from the assignment.
        """
        since, tokens = self._paced_from
        return boottime() - since, self.tokens - tokens


def generate_sample(
    attempt: Attempt, step: StepState, engines: EngineAccess, pool: str
) -> Sample:
    """Generate the sample of an attempt.

    A stream that breaks, or that must leave its engine, is resumed elsewhere at its
    offset; the spans of all engines together label the sample.

    Raises
    ------
    ShedError, NotStartedError, StreamError
        No engine finished it.
    UnattestedError
        The engine's version labels are missing or contradict each other.
    """
    moves = 0
    while True:
        try:
            _stream(attempt, step, engines, pool)
            break
        except (AttemptMovedError, NotStartedError, StreamError):
            moves += 1
            if moves > MAX_MOVES:
                raise
            attempt.exclude.add(attempt.target)
    group, index = step.position(attempt.number)
    tokens = tuple(token for chunk in attempt.chunks for token in chunk.tokens)
    spans = merge_spans(attempt.chunks)
    return Sample(group, index, tokens, spans, ",".join(attempt.targets))


def _stream(
    attempt: Attempt, step: StepState, engines: EngineAccess, pool: str
) -> None:
    """Generate the rest of the sample at one engine."""
    group, index = step.position(attempt.number)
    spec = step.spec.groups[group]
    offset = attempt.tokens
    # The prompt is shared by the group; the suffix makes samples differ, as a
    # sampling seed does in a real engine.
    request = GenerationRequest(
        secrets.token_hex(8),
        f"{spec.prompt}#{index}",
        spec.max_tokens,
        attempt.priority,
        offset,
    )
    work = WorkRequest(
        pool=pool,
        workspace=step.spec.id.workspace,
        priority=attempt.priority,
        deadline=boottime() + QUEUE_TIMEOUT_S,
        prefix=spec.prompt[:32],
        restartable=True,
        exclude=_excluded(attempt, step, engines.views(pool)),
    )
    with engines.assign(work) as view:
        attempt.assigned(view.id)
        finished = False
        try:
            previous = None
            for chunk in engines.generate(view.address, request, READ_TIMEOUT_S):
                check_next(previous, chunk)
                attempt.add(chunk, first=previous is None)
                previous = chunk
            finished = True
        finally:
            attempt.streaming = False
            if not finished:
                eventlet.spawn_n(engines.cancel, view.address, request.id)


def _excluded(
    attempt: Attempt, step: StepState, views: Sequence[TargetView]
) -> frozenset[str]:
    """Return the targets that an attempt must not use now.

    An engine whose version is already too old for the trainer would produce a
    sample that is discarded. Targets that failed an attempt are used again if no
    other is left.
    """
    old = {
        view.id
        for view in views
        if view.report is not None and 0 < view.report.version < step.oldest_allowed
    }
    selectable = {view.id for view in views if view.selectable} - old
    if selectable <= attempt.exclude:
        return frozenset(old)
    return frozenset(old | attempt.exclude)
