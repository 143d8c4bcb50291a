"""Requests with an idempotency key, of which one run happens at most."""

import hashlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import chain

import eventlet
from attrs import evolve

from ..idempotency import (
    MAX_ANSWER_BYTES,
    Answer,
    Claim,
    IdempotencyService,
    RecordKey,
    Result,
)
from ..runtime.invariants import require
from ..targets import Assignment
from .calls import CallerRequest
from .forwarding import ForwardedAnswer
from .headers import header_values, request_headers
from .refusals import OutcomeUnknownError, RefusalError
from .wire import OutgoingRequest

__all__ = ["idempotency_key", "run_once"]

KEY_HEADER = "idempotency-key"
ATTEMPT_HEADER = "mulberryport-attempt"
REPLAYED = ("Idempotency-Replayed", "true")
MAX_KEY_LENGTH = 255

Open = Callable[[ExitStack], tuple[Assignment, ForwardedAnswer]]
Stream = Callable[[Assignment, ForwardedAnswer], Iterator[bytes]]


def idempotency_key(call: CallerRequest) -> str | None:
    """Return the idempotency key of a non-idempotent request, if there is one.

    Raises
    ------
    RefusalError
        There are several keys, or the key is empty or too long.
    """
    values = set(header_values(request_headers(call.environ), KEY_HEADER))
    if not values or call.idempotent:
        return None
    value = values.pop().strip()
    if values or not 0 < len(value) <= MAX_KEY_LENGTH:
        raise RefusalError(
            400, f"Idempotency-Key must be one value of 1 to {MAX_KEY_LENGTH} bytes"
        )
    return value


def run_once(
    call: CallerRequest,
    request: OutgoingRequest,
    key: str,
    service: IdempotencyService,
    open_first: Open,
    stream: Stream,
) -> Iterator[bytes]:
    """Run a request unless a request with its key ran before; yield the answer.

    Parameters
    ----------
    key : str
        The idempotency key.
    service : IdempotencyService
        Decides whether the request runs.
    open_first : callable
        Sends the request and returns the head of the answer.
    stream : callable
        Yields an answer to the caller and counts it.

    Raises
    ------
    RefusalError
        The request did not run, and no other with its key.
    OutcomeUnknownError
        A request with the key may have run, and its answer is not known.
    """
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    # Callers without a key of a workspace share the records of their route only.
    scope = call.access.workspace or f"/{call.access.route.name}"
    claim = service.claim(
        RecordKey(scope, digest),
        request_digest(request),
        _is_retry(call),
        call.access.route.timeout,
    )
    if claim.decision == "run":
        yield from _first_run(call, claim, service, open_first, stream)
        return
    answer = _known_answer(claim)
    call.start_response(f"{answer.status} {answer.reason}", [*answer.headers, REPLAYED])
    yield answer.body


def request_digest(request: OutgoingRequest) -> str:
    """Return what must agree between two requests with one idempotency key.

    Method, path, query, length and the first 64 KiB of the body are compared; the
    rest of a larger body is not, because it is streamed.
    """
    length = "chunked" if request.body.length is None else str(request.body.length)
    digest = hashlib.sha256(f"{request.method} {request.target} {length}\n".encode())
    digest.update(request.body.held)
    return digest.hexdigest()


def _is_retry(call: CallerRequest) -> bool:
    values = header_values(request_headers(call.environ), ATTEMPT_HEADER)
    # A malformed mark is taken for a retry, which is the safer reading.
    return any(value.strip() != "1" for value in values)


def _known_answer(claim: Claim) -> Answer:
    """Return the answer of the first run, or raise what is known instead."""
    if claim.answer is not None:
        return claim.answer
    match claim.decision:
        case "mismatch":
            raise RefusalError(409, "the idempotency key was used for another request")
        case "full":
            raise RefusalError(503, "no record of the idempotency key can be kept")
        case "unreachable":
            raise RefusalError(503, "the records of idempotency keys are unreachable")
        case "running":
            raise OutcomeUnknownError(504, "the first request with this key still runs")
        case "answered":
            raise OutcomeUnknownError(
                502, "the first request was answered, but the answer was not kept"
            )
    raise OutcomeUnknownError(502, "the outcome of the first request is not known")


def _first_run(
    call: CallerRequest,
    claim: Claim,
    service: IdempotencyService,
    open_first: Open,
    stream: Stream,
) -> Iterator[bytes]:
    settled = False
    try:
        with ExitStack() as stack:
            require(bool(claim.holders), "claimed_before_first_byte")
            view, answer = open_first(stack)
            parts, whole = _held_parts(answer.body)
            if whole:
                headers = tuple(answer.headers)
                body = b"".join(parts)
                kept = Answer(answer.status, answer.reason, headers, body)
                service.complete(claim, Result.ANSWERED, kept)
            else:
                # Too long to be kept: the record only says that the request ran.
                service.complete(claim, Result.UNKNOWN)
            settled = True
            yield from stream(view, evolve(answer, body=chain(parts, answer.body)))
    finally:
        if not settled:
            result = Result.UNKNOWN if call.active.sent else Result.NOT_RUN
            eventlet.spawn_n(service.complete, claim, result)


def _held_parts(body: Iterator[bytes]) -> tuple[list[bytes], bool]:
    """Read an answer into memory; the flag tells whether that was all."""
    parts, size = [], 0
    for part in body:
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES:
            return parts, False
    return parts, True
