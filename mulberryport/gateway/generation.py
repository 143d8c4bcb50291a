"""Streaming generation at model engines, resumed at another after a failure."""

import secrets
from collections.abc import Callable, Iterator
from functools import partial
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
from .calls import MAX_ATTEMPTS, MIN_SILENCE_S, CallerRequest, TargetClient
from .paths import request_path
from .refusals import OutcomeUnknownError, RefusalError
from .suspects import BlockedError, RequestGuard

__all__ = ["error_line", "parse_generation", "stream_generation"]

GENERATION_RESUMED = define_event(
    605, "generation_resumed", "info", "A generation is resumed at another engine."
)

MAX_TOKENS = 65536
AttemptError = NotStartedError | StreamError | SilentConnectionError


def parse_generation(call: CallerRequest) -> GenerationRequest:
    """Parse a caller's generation request.

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
class GenerationProgress:
    """Progress of a generation over all of its attempts.

    Parameters
    ----------
    offset : int
        Number of tokens sent to the caller.
    failure_count : int
        Number of failed attempts.
    last_failure : Exception or None
        Error of the last failed attempt.
    is_response_started : bool
        Whether the response to the caller has been started.
    """

    offset: int = 0
    failure_count: int = 0
    last_failure: AttemptError | None = None
    is_response_started: bool = False


def stream_generation(
    call: CallerRequest,
    request: GenerationRequest,
    client: TargetClient,
    work: WorkRequest,
    on_complete: Callable[[Assignment, int], None],
) -> Iterator[bytes]:
    """Yield the lines of the response to a generation request.

    Each line holds ``offset``, ``tokens`` and ``version``; the last one holds
    ``done`` and the total ``length``.

    Parameters
    ----------
    on_complete : callable
        Called before the last line with the last engine's assignment and the number
        of tokens.

    Raises
    ------
    RefusalError
        No attempt ran at an engine.
    OutcomeUnknownError
        The response cannot be completed.
    """
    progress = GenerationProgress()
    guard = _make_guard(call, request, client)
    while True:
        assign = partial(client.assign, failure=progress.last_failure)
        try:
            with guard.admit(assign, work) as assignment:
                assigned_at, latency = boottime(), None
                for chunk in _run_attempt(call, request, assignment, progress):
                    latency = latency or boottime() - assigned_at
                    _start_response_once(call, progress)
                    yield _line(
                        offset=progress.offset,
                        tokens=chunk.tokens,
                        version=chunk.version,
                    )
                    progress.offset += len(chunk.tokens)
                _start_response_once(call, progress)
                on_complete(assignment, progress.offset)
                yield _line(done=True, length=progress.offset)
                assignment.succeeded(latency)
                return
        except ShedError as error:
            if progress.last_failure is None:
                raise RefusalError(503, str(error)) from error
            raise _error_for_caller(progress.last_failure, call) from error
        except BlockedError as error:
            raise _error_for_caller(error, call) from error
        except (NotStartedError, StreamError, SilentConnectionError) as error:
            progress.last_failure = error
            progress.failure_count += 1
            is_exhausted = progress.failure_count >= MAX_ATTEMPTS
            if is_exhausted or not client.may_retry(work.pool):
                raise _error_for_caller(error, call) from error
            work = evolve(work, exclude=work.exclude | {assignment.id})
            if progress.offset:
                log(GENERATION_RESUMED, after=assignment.id, offset=progress.offset)


def _run_attempt(
    call: CallerRequest,
    request: GenerationRequest,
    assignment: Assignment,
    progress: GenerationProgress,
) -> Iterator[TokenChunk]:
    """Generate from the current offset at one engine; cancel the work if that fails."""
    # Each attempt has its own id, so that late lines of an earlier one are rejected.
    attempt = evolve(
        request,
        id=f"{request.id}-{progress.failure_count}",
        offset=progress.offset,
    )
    has_started = False

    def wait_context() -> Any:
        return call.active.watch_read(
            assignment.address, MIN_SILENCE_S, not has_started
        )

    timeout = call.access.route.timeout
    is_finished = False
    call.active.sent_attempts += 1
    try:
        for chunk in generate(assignment.address, attempt, timeout, wait_context):
            has_started = True
            yield chunk
        is_finished = True
    except NotStartedError:
        is_finished = True
        call.active.sent_attempts -= 1
        raise
    finally:
        if not is_finished:
            eventlet.spawn_n(cancel_generation, assignment.address, attempt.id)


def _start_response_once(call: CallerRequest, progress: GenerationProgress) -> None:
    if not progress.is_response_started:
        progress.is_response_started = True
        call.start_response("200 OK", [("Content-Type", "application/x-ndjson")])


def _make_guard(
    call: CallerRequest, request: GenerationRequest, client: TargetClient
) -> RequestGuard:
    target = request_path(call.environ)
    body = f"{request.max_tokens}\n{request.prompt}".encode(errors="surrogatepass")
    return RequestGuard(
        client.suspects, call.active.id, call.access, call.method, target, body
    )


def _error_for_caller(
    failure: AttemptError | BlockedError, call: CallerRequest
) -> Exception:
    if isinstance(failure, BlockedError):
        if call.active.sent_attempts:
            return OutcomeUnknownError(502, str(failure))
        return RefusalError(503, str(failure))
    if not call.active.sent_attempts:
        return RefusalError(503, "no engine can be reached")
    if isinstance(failure, SilentConnectionError):
        return OutcomeUnknownError(504, "the engine is silent")
    return OutcomeUnknownError(502, "the engine's stream broke")


def error_line(message: str) -> bytes:
    """Return the line that tells the caller why the stream ended without ``done``."""
    return _line(error=message, outcome="unknown")


def _line(**values: object) -> bytes:
    return orjson.dumps(values) + b"\n"
