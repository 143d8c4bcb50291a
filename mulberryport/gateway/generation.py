"""Live generation at model engines, resumed elsewhere after a broken stream."""

import secrets
from collections.abc import Callable, Iterator
from typing import Any

import eventlet
import orjson
from attrs import define, evolve

from ..runtime.clock import boottime
from ..runtime.wsgi import BadRequestError, read_json
from ..targets import Assignment, ShedError, WorkRequest
from ..targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    TokenChunk,
    cancel_generation,
    generate,
)
from ..telemetry import define as define_event
from ..telemetry import log
from .active import SilentConnectionError
from .calls import MAX_ATTEMPTS, MIN_SILENCE_S, CallerRequest, Targets
from .refusals import OutcomeUnknownError, RefusalError

__all__ = ["error_line", "parse_generation", "stream_generation"]

GENERATION_RESUMED = define_event(
    605, "generation_resumed", "info", "A generation goes on at another engine."
)

MAX_TOKENS = 65536
MAX_BODY_BYTES = 4 * 1024 * 1024
Failure = NotStartedError | StreamError | SilentConnectionError


def parse_generation(call: CallerRequest) -> GenerationRequest:
    """Return the generation that a caller asks for.

    Raises
    ------
    RefusalError
        The body is malformed.
    """
    try:
        body = read_json(call.environ)
        prompt, max_tokens = body["prompt"], body.get("max_tokens", 16)
        if not isinstance(prompt, str) or type(max_tokens) is not int:
            raise BadRequestError("prompt must be text and max_tokens a whole number")
        if not 0 < max_tokens <= MAX_TOKENS:
            raise BadRequestError(f"max_tokens must be from 1 to {MAX_TOKENS}")
    except (OSError, BadRequestError, TypeError, KeyError, AttributeError) as error:
        raise RefusalError(400, f"not a generation request: {error}") from error
    if call.is_secret(prompt):
        raise RefusalError(400, "the prompt contains a key")
    priority = call.access.route.priority
    return GenerationRequest(secrets.token_hex(8), prompt, max_tokens, priority)


@define
class Progress:
    """How far a generation has come."""

    offset: int = 0
    failures: int = 0
    failure: Failure | None = None
    started: bool = False


def stream_generation(
    call: CallerRequest,
    request: GenerationRequest,
    targets: Targets,
    work: WorkRequest,
    on_complete: Callable[[Assignment, int], None],
) -> Iterator[bytes]:
    """Yield the lines of an answer.

    Each line holds ``offset``, ``tokens`` and ``version``; the last one holds
    ``done`` and the total ``length``.

    Parameters
    ----------
    on_complete : callable
        Called with the last engine and the number of tokens before the last line.

    Raises
    ------
    RefusalError
        No attempt reached an engine.
    OutcomeUnknownError
        The answer cannot be completed.
    """
    progress = Progress()
    while True:
        try:
            with targets.assign(work, progress.failure) as view:
                assigned_at, latency = boottime(), None
                for chunk in _attempt(call, request, view, progress):
                    latency = latency or boottime() - assigned_at
                    _start(call, progress)
                    yield _line(
                        offset=progress.offset,
                        tokens=chunk.tokens,
                        version=chunk.version,
                    )
                    progress.offset += len(chunk.tokens)
                _start(call, progress)
                on_complete(view, progress.offset)
                yield _line(done=True, length=progress.offset)
                view.succeeded(latency)
                return
        except ShedError as error:
            if progress.failure is None:
                raise RefusalError(503, str(error)) from error
            raise _report(progress.failure, call) from error
        except (NotStartedError, StreamError, SilentConnectionError) as error:
            progress.failure = error
            progress.failures += 1
            exhausted = progress.failures >= MAX_ATTEMPTS
            if exhausted or not targets.may_retry(work.pool):
                raise _report(error, call) from error
            work = evolve(work, exclude=work.exclude | {view.id})
            if progress.offset:
                log(GENERATION_RESUMED, after=view.id, offset=progress.offset)


def _attempt(
    call: CallerRequest,
    request: GenerationRequest,
    view: Assignment,
    progress: Progress,
) -> Iterator[TokenChunk]:
    """Generate from the current offset at one engine; cancel there on a failure."""
    # An id of its own, so that late lines of an earlier attempt are recognised.
    attempt = evolve(
        request,
        id=f"{request.id}-{progress.failures}",
        offset=progress.offset,
    )
    started = False

    def watch() -> Any:
        return call.active.waiting_for(view.address, MIN_SILENCE_S, not started)

    timeout = call.access.route.timeout
    finished = False
    call.active.sent += 1
    try:
        for chunk in generate(view.address, attempt, timeout, watch):
            started = True
            yield chunk
        finished = True
    except NotStartedError:
        finished = True
        call.active.sent -= 1
        raise
    finally:
        if not finished:
            eventlet.spawn_n(cancel_generation, view.address, attempt.id)


def _start(call: CallerRequest, progress: Progress) -> None:
    if not progress.started:
        progress.started = True
        call.start_response("200 OK", [("Content-Type", "application/x-ndjson")])


def _report(failure: Failure, call: CallerRequest) -> Exception:
    if not call.active.sent:
        return RefusalError(503, "no engine can be reached")
    if isinstance(failure, SilentConnectionError):
        return OutcomeUnknownError(504, "the engine is silent")
    return OutcomeUnknownError(502, "the engine's stream broke")


def error_line(message: str) -> bytes:
    """Return the line that tells a caller why its stream has no end marker."""
    return _line(error=message, outcome="unknown")


def _line(**values: object) -> bytes:
    return orjson.dumps(values) + b"\n"
