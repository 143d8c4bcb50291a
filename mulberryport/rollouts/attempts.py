"""Attempts to generate a sample: streams that can be resumed at other engines."""

import secrets
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager, ExitStack, contextmanager
from typing import Any

import eventlet
import greenlet
from attrs import define, evolve, field, frozen

from ..runtime.clock import boottime
from ..targets import ShedError, TargetView, WorkRequest
from ..targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    TokenChunk,
    cancel_generation,
    generate,
)
from .labels import check_chunk_version, merge_spans
from .model import Sample
from .step import StepState

__all__ = [
    "Attempt",
    "AttemptCancelledError",
    "AttemptMovedError",
    "EngineAccess",
    "generate_sample",
]

# Engines send a chunk every few tens of milliseconds. A failed engine is also detected
# by the load polls, within 2 s.
READ_TIMEOUT_S = 10.0
QUEUE_TIMEOUT_S = 5.0
# Load reports come once a second, and the trainer's version changes meanwhile: an
# attempt that waits beside engines that seem too old looks at them anew after this.
EXCLUSION_MAX_AGE_S = 0.5
# After this many resumptions the attempt fails, and the sample is generated from the
# start.
MAX_RESUMPTIONS = 5


# A subclass of GreenletExit tells the context managers that it passes, such as the
# dispatcher's, that the caller ended the request and the target did not fail. It is
# not caught by ``except Exception``.
class AttemptCancelledError(greenlet.GreenletExit):
    """The attempt is cancelled because its sample is no longer needed."""


class AttemptMovedError(greenlet.GreenletExit):
    """The attempt must leave its engine and resume at another one."""


@frozen
class EngineAccess:
    """Functions through which attempts select and call engines.

    Parameters
    ----------
    assign : callable
        ``Dispatcher.assign``.
    views : callable
        Returns the targets of a pool.
    generate, cancel : callable
        ``generate`` and ``cancel_generation`` of ``targets.engine_client``.
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
    slot : int
        Number of the slot.
    priority : int
        0 to 9, for the dispatcher's queue and the engine.
    excluded_targets : set of str
        Ids of the targets to avoid, such as those that failed the attempt.
    charged_tokens : int
        Tokens charged to the hedging budget; 0 if the attempt is not a hedge.
    """

    slot: int
    priority: int
    excluded_targets: set[str] = field(factory=set)
    target: str = ""
    is_streaming: bool = False
    last_progress_at: float = 0.0
    _pace_start: tuple[float, int] = (0.0, 0)
    chunks: list[TokenChunk] = field(factory=list)
    targets: list[str] = field(factory=list)
    thread: Any = None
    charged_tokens: int = 0

    @property
    def oldest_version(self) -> int | None:
        """Oldest weight version of the tokens, or None before the first token."""
        return min((chunk.version for chunk in self.chunks), default=None)

    @property
    def token_count(self) -> int:
        """Number of tokens generated so far."""
        return sum(len(chunk.tokens) for chunk in self.chunks)

    def make_hedge(self, priority: int, charged_tokens: int) -> "Attempt":
        """Return a second attempt that resumes at this one's offset elsewhere."""
        return Attempt(
            self.slot,
            priority,
            excluded_targets={self.target},
            chunks=list(self.chunks),
            targets=list(self.targets),
            charged_tokens=charged_tokens,
        )

    def record_assignment(self, target: str) -> None:
        """Record that the attempt was assigned to an engine."""
        self.target, self.is_streaming = target, True
        self.last_progress_at = boottime()
        self._pace_start = (self.last_progress_at, self.token_count)

    def record_chunk(self, chunk: TokenChunk, *, first: bool) -> None:
        """Record a chunk of tokens.

        The pace is measured from the first chunk, to exclude the engine's queue.
        """
        if self.target not in self.targets:
            self.targets.append(self.target)
        self.chunks.append(chunk)
        self.last_progress_at = boottime()
        if first:
            self._pace_start = (self.last_progress_at, self.token_count)

    def pace(self) -> tuple[float, int]:
        """Return the seconds and the tokens since the first chunk of the engine.

        Before the first chunk, the time since the assignment is returned.
        """
        since, tokens = self._pace_start
        return boottime() - since, self.token_count - tokens


def generate_sample(
    attempt: Attempt, step: StepState, engines: EngineAccess, pool: str
) -> Sample:
    """Generate the sample of an attempt.

    A stream that breaks, or that must leave its engine, is resumed at its offset on
    another engine. The sample has the version spans of all engines in sequence.

    Raises
    ------
    ShedError, NotStartedError, StreamError
        If no engine completed the sample.
    UnattestedError
        If the weight versions of an engine are missing or decrease.
    """
    resumptions = 0
    while True:
        try:
            _stream_remaining(attempt, step, engines, pool)
            break
        except (AttemptMovedError, NotStartedError, StreamError):
            resumptions += 1
            if resumptions > MAX_RESUMPTIONS:
                raise
            attempt.excluded_targets.add(attempt.target)
    group, index = step.group_and_index(attempt.slot)
    tokens = tuple(token for chunk in attempt.chunks for token in chunk.tokens)
    spans = merge_spans(attempt.chunks)
    return Sample(group, index, tokens, spans, ",".join(attempt.targets))


def _stream_remaining(
    attempt: Attempt, step: StepState, engines: EngineAccess, pool: str
) -> None:
    """Generate the remaining tokens of the sample at one engine."""
    group, index = step.group_and_index(attempt.slot)
    spec = step.spec.groups[group]
    offset = attempt.token_count
    # All samples of the group have the same prompt; the suffix makes their results
    # differ, as a sampling seed does in a real engine.
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
    )
    with _assign(attempt, step, engines, work) as assignment:
        attempt.record_assignment(assignment.id)
        is_finished = False
        try:
            previous = None
            for chunk in engines.generate(assignment.address, request, READ_TIMEOUT_S):
                check_chunk_version(previous, chunk)
                attempt.record_chunk(chunk, first=previous is None)
                previous = chunk
            is_finished = True
        finally:
            attempt.is_streaming = False
            if not is_finished:
                eventlet.spawn_n(engines.cancel, assignment.address, request.id)


@contextmanager
def _assign(
    attempt: Attempt, step: StepState, engines: EngineAccess, work: WorkRequest
) -> Iterator[TargetView]:
    """Hold a slot of an engine that the attempt may use by the latest reports.

    Raises
    ------
    ShedError
        No engine was free before the deadline of the work.
    """
    with ExitStack() as stack:
        while True:
            views = engines.views(work.pool)
            exclude = _find_excluded_targets(attempt, step, views)
            deadline = work.deadline
            if _find_stale_targets(step, views):
                deadline = min(deadline, boottime() + EXCLUSION_MAX_AGE_S)
            try:
                assignment = stack.enter_context(
                    engines.assign(evolve(work, exclude=exclude, deadline=deadline))
                )
            except ShedError:
                # A refusal before the deadline has another reason, such as a full
                # queue.
                if deadline == work.deadline or boottime() < deadline:
                    raise
                continue
            break
        yield assignment


def _find_stale_targets(step: StepState, views: Sequence[TargetView]) -> set[str]:
    """Return the targets whose samples would be discarded as too old."""
    return {
        view.id
        for view in views
        if view.report is not None
        and 0 < view.report.version < step.oldest_allowed_version
    }


def _find_excluded_targets(
    attempt: Attempt, step: StepState, views: Sequence[TargetView]
) -> frozenset[str]:
    """Return the ids of the targets that an attempt must not use at this time.

    Targets that failed the attempt are used again if no other target is selectable.
    """
    stale_targets = _find_stale_targets(step, views)
    selectable = {view.id for view in views if view.selectable} - stale_targets
    if selectable <= attempt.excluded_targets:
        return frozenset(stale_targets)
    return frozenset(stale_targets | attempt.excluded_targets)
