"""Deduplication of requests by idempotency key: each runs at most once."""

import hashlib
from collections.abc import Callable, Iterator
from contextlib import ExitStack
from itertools import chain

import eventlet
from attrs import evolve

from ..idempotency import (
    MAX_STORED_RESPONSE_BYTES,
    Claim,
    IdempotencyService,
    RecordKey,
    Result,
    StoredResponse,
)
from ..runtime.invariants import require
from ..targets import Assignment
from .calls import CallerRequest
from .forwarding import ForwardedResponse
from .headers import header_values, request_headers
from .refusals import OutcomeUnknownError, RefusalError
from .target_protocol import OutgoingRequest

__all__ = ["idempotency_key", "run_once"]

KEY_HEADER = "idempotency-key"
ATTEMPT_HEADER = "mulberryport-attempt"
REPLAYED_HEADER = ("Idempotency-Replayed", "true")
MAX_KEY_LENGTH = 255

ResponseOpener = Callable[[ExitStack], tuple[Assignment, ForwardedResponse]]
ResponseStreamer = Callable[[Assignment, ForwardedResponse], Iterator[bytes]]


def idempotency_key(call: CallerRequest) -> str | None:
    """Return the idempotency key of a request; None if it has or needs none.

    The key of an idempotent request is ignored.

    Raises
    ------
    RefusalError
        There are several different keys, or the key is empty or too long.
    """
    values = set(header_values(request_headers(call.environ), KEY_HEADER))
    if not values or call.is_idempotent:
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
    open_response: ResponseOpener,
    stream: ResponseStreamer,
) -> Iterator[bytes]:
    """Run a request unless one with its key has run; yield the body of the response.

    If one has run, its stored response is replayed.

    Parameters
    ----------
    key : str
        Idempotency key.
    service : IdempotencyService
        Store of the records, which decides whether the request runs.
    open_response : callable
        Sends the request and returns the assignment and the response of the target.
    stream : callable
        Yields the body of a response to the caller and meters the request.

    Raises
    ------
    RefusalError
        The request did not run, or its key was used for a different request.
    OutcomeUnknownError
        A request with the key may have run, and its response is not known.
    """
    digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
    # Callers without an API key have no workspace; they share records per route.
    scope = call.access.workspace or f"/{call.access.route.name}"
    claim = service.claim(
        RecordKey(scope, digest),
        request_digest(request),
        _is_retry(call),
        call.access.route.timeout,
    )
    if claim.decision == "run":
        yield from _run_first(call, claim, service, open_response, stream)
        return
    response = _stored_response(claim)
    call.start_response(
        f"{response.status} {response.reason}", [*response.headers, REPLAYED_HEADER]
    )
    yield response.body


def request_digest(request: OutgoingRequest) -> str:
    """Return a digest that must be the same for all requests with one idempotency key.

    It covers the method, path, query, length and the first 64 KiB of the body. The
    rest of a larger body is not compared, because it is streamed.
    """
    length = "chunked" if request.body.length is None else str(request.body.length)
    digest = hashlib.sha256(f"{request.method} {request.target} {length}\n".encode())
    digest.update(request.body.buffered)
    return digest.hexdigest()


def _is_retry(call: CallerRequest) -> bool:
    values = header_values(request_headers(call.environ), ATTEMPT_HEADER)
    # A malformed attempt number counts as a retry, which is the safer interpretation.
    return any(value.strip() != "1" for value in values)


def _stored_response(claim: Claim) -> StoredResponse:
    """Return the stored response of the first run, or raise an error."""
    if claim.response is not None:
        return claim.response
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


def _run_first(
    call: CallerRequest,
    claim: Claim,
    service: IdempotencyService,
    open_response: ResponseOpener,
    stream: ResponseStreamer,
) -> Iterator[bytes]:
    is_recorded = False
    try:
        with ExitStack() as stack:
            require(bool(claim.holders), "claimed_before_first_byte")
            assignment, response = open_response(stack)
            parts, is_complete = _read_parts(response.body)
            if is_complete:
                headers = tuple(response.headers)
                body = b"".join(parts)
                stored_response = StoredResponse(
                    response.status, response.reason, headers, body
                )
                service.complete(claim, Result.ANSWERED, stored_response)
            else:
                # Too large to be stored: the record only says that the request ran.
                service.complete(claim, Result.UNKNOWN)
            is_recorded = True
            yield from stream(
                assignment, evolve(response, body=chain(parts, response.body))
            )
    finally:
        if not is_recorded:
            result = Result.UNKNOWN if call.active.sent_attempts else Result.NOT_RUN
            eventlet.spawn_n(service.complete, claim, result)


def _read_parts(body: Iterator[bytes]) -> tuple[list[bytes], bool]:
    """Read a body up to the size limit; the flag is True if this was all of it."""
    parts, size = [], 0
    for part in body:
        parts.append(part)
        size += len(part)
        if size > MAX_STORED_RESPONSE_BYTES:
            return parts, False
    return parts, True
