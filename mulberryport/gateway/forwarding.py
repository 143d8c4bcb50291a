"""A single attempt to run a request at a plain service.

The outcome of a failed attempt follows from how far it got. If no connection was
established, nothing was sent and the request did not run. After that, without a
complete response, the outcome is unknown, unless the target itself reports that the
request did not run. A request that may run only once uses a new connection, because
a reused one may be dead and would leave the outcome unknown.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager
from http.client import HTTPException

import urllib3
from attrs import define, field
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..runtime.clock import boottime
from ..runtime.fairness import yield_if_due
from ..runtime.http import (
    HTTP_1_1,
    BoundedConnection,
    body_length,
    has_stated_end,
)
from ..targets import TargetView
from ..targets.connections import ConnectionPool, drain_refusal, has_peer_ended
from .headers import end_to_end
from .refusals import OUTCOME_HEADER, OutcomeUnknownError
from .target_protocol import NATIVE_PROTOCOL, OutgoingRequest, TargetProtocol, Verdict

__all__ = [
    "ConnectionEndedError",
    "ForwardedResponse",
    "MisdirectedError",
    "NotRunError",
    "NotSentError",
    "forward",
    "buffer_body",
]

CONNECT_TIMEOUT_S = 2.0
READ_CHUNK_BYTES = 64 * 1024

WaitContext = Callable[[], AbstractContextManager[None]]


class NotSentError(Exception):
    """No connection was established, so the request certainly did not run."""


class NotRunError(NotSentError):
    """The target reported that it did not run the request."""


class MisdirectedError(NotRunError):
    """Another target responded at the address, without running the request."""


class ConnectionEndedError(OutcomeUnknownError):
    """The target's end of the connection closed before the response was complete."""


@define
class ForwardedResponse:
    """The status and headers of a target's response, and the stream of its body.

    Parameters
    ----------
    length : int or None
        Length of the body in bytes; None if it is chunked or unframed.
    latency : float
        Seconds from the assignment to the end of the response's headers.
    is_fully_buffered : bool
        Whether the whole body was received, so that it cannot break off.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    length: int | None
    body: Iterator[bytes] = field(repr=False)
    latency: float = 0.0
    is_fully_buffered: bool = False


def forward(
    view: TargetView,
    request: OutgoingRequest,
    wait_context: WaitContext,
    on_sent: Callable[[], None],
    protocol: TargetProtocol = NATIVE_PROTOCOL,
) -> ForwardedResponse:
    """Send a request to a target and return its response, whose body is streamed.

    Parameters
    ----------
    view : TargetView
        Target that the request is sent to.
    request : OutgoingRequest
        Request to send.
    wait_context : callable
        Returns a context manager that encloses each wait for the target.
    on_sent : callable
        Called after the connection was established, before the first byte is sent.
    protocol : TargetProtocol
        Protocol of the target.

    Raises
    ------
    NotSentError
        No connection was established, or the target reported that the request did
        not run.
    OutcomeUnknownError
        There was no response, or none whose completeness can be checked; a
        ``ConnectionEndedError`` if the target's end of the connection closed.
    """
    connection = _connect(view, request, protocol.connections)
    on_sent()
    sent_at = boottime()
    try:
        # Reads and writes are ended by the request's deadline, not a socket timeout.
        connection.timeout = None
        connection.sock.settimeout(None)
        is_sent = _send(connection, request, protocol.attempt_headers(request, view))
        with wait_context():
            reply = connection.getresponse()
        _check_verdict(view, request, sent_at, reply, connection, protocol)
        # A write that met a reset has taken the error that a later read would raise.
        allows_unframed = protocol.allows_unframed and is_sent
        return _make_response(
            view, request, reply, connection, wait_context, protocol, allows_unframed
        )
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        connection.close()
        raise _failure(error, f"the connection to target {view.id} failed") from error
    except BaseException:
        connection.close()
        raise


def buffer_body(response: ForwardedResponse, limit: int) -> ForwardedResponse:
    """Receive up to ``limit`` bytes of a response's body, before it is used.

    Raises
    ------
    OutcomeUnknownError
        The body broke off within these bytes.
    """
    # Tiny parts take many times their size if they are kept one by one.
    content = bytearray()
    for part in response.body:
        content += part
        if len(content) >= limit:
            response.body = _chain(bytes(content), response.body)
            return response
    response.body = iter([bytes(content)] if content else [])
    response.is_fully_buffered = True
    return response


def _chain(start: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    yield start
    yield from rest


def _connect(
    view: TargetView, request: OutgoingRequest, connections: ConnectionPool | None
) -> HTTPConnection:
    try:
        if connections is not None:
            must_be_new = not request.may_reuse_connection
            return connections.acquire(view.id, view.address, fresh=must_be_new)[0]
        host, _, port = view.address.rpartition(":")
        connection = BoundedConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        return connection
    except (HTTPError, OSError) as error:
        raise NotSentError(f"target {view.id} cannot be reached") from error


def _send(
    connection: HTTPConnection,
    request: OutgoingRequest,
    attempt_headers: list[tuple[str, str]],
) -> bool:
    """Send a request; return whether all of it was sent.

    A target may respond before it has read the body, and then close the connection.
    """
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    for name, value in attempt_headers:
        headers[name] = value
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            headers[name] = SKIP_HEADER
    if request.body.length is not None:
        headers["Content-Length"] = str(request.body.length)
        if not request.body.length and request.method in ("GET", "HEAD", "OPTIONS"):
            del headers["Content-Length"]
    body = None if request.body.length == 0 else request.body.parts()
    try:
        connection.request(
            request.method,
            request.target,
            body=body,
            headers=headers,
            chunked=request.body.length is None,
            preload_content=False,
            decode_content=False,
        )
    except (BrokenPipeError, ConnectionResetError):
        return False
    return True


def _check_verdict(
    view: TargetView,
    request: OutgoingRequest,
    sent_at: float,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    protocol: TargetProtocol,
) -> None:
    """Raise if the response is not the request's, or reports that it did not run."""
    verdict = protocol.verdict(view, request, sent_at, reply.status, reply.headers)
    if verdict is Verdict.RESPONSE:
        return
    if verdict is Verdict.OTHER_REQUEST:
        reply.close()
        connection.close()
        raise OutcomeUnknownError(502, f"target {view.id} answered another request")
    if protocol.connections is not None and drain_refusal(reply):
        _release_connection(view, reply, connection, protocol.connections)
    else:
        reply.close()
        connection.close()
    if verdict is Verdict.MISDIRECTED:
        raise MisdirectedError(f"target {view.id} is not at its address any more")
    raise NotRunError(f"target {view.id} did not run the request: {reply.status}")


def _make_response(
    view: TargetView,
    request: OutgoingRequest,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    wait_context: WaitContext,
    protocol: TargetProtocol,
    allows_unframed: bool,
) -> ForwardedResponse:
    is_framed = has_stated_end(reply, request.method)
    if not (is_framed or allows_unframed):
        # The end of such a response is indistinguishable from a broken connection.
        connection.close()
        raise OutcomeUnknownError(502, "the target's answer has no stated length")
    headers = [
        (name, value)
        for name, value in end_to_end(list(reply.headers.items()))
        if name.lower() != OUTCOME_HEADER.lower()
    ]
    return ForwardedResponse(
        reply.status,
        reply.reason or "",
        headers,
        body_length(reply, request.method),
        _read_body(
            view,
            reply,
            connection,
            wait_context,
            protocol.connections if is_framed else None,
        ),
    )


def _read_body(
    view: TargetView,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    wait_context: WaitContext,
    connections: ConnectionPool | None,
) -> Iterator[bytes]:
    """Yield the body; a truncated body raises and never ends cleanly."""
    complete = False
    try:
        while True:
            with wait_context():
                part = reply.read1(READ_CHUNK_BYTES)
            if not part:
                complete = True
                return
            yield part
            yield_if_due()
    except (HTTPError, HTTPException, OSError) as error:
        raise _failure(error, "the target's answer broke off") from error
    finally:
        if complete and connections is not None:
            _release_connection(view, reply, connection, connections)
        else:
            reply.close()
            connection.close()


def _failure(error: Exception, message: str) -> OutcomeUnknownError:
    if has_peer_ended(error):
        return ConnectionEndedError(502, message)
    return OutcomeUnknownError(502, message)


def _release_connection(
    view: TargetView,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    connections: ConnectionPool,
) -> None:
    must_close = "close" in (reply.headers.get("Connection") or "").lower()
    if must_close or reply.version < HTTP_1_1:
        reply.close()
        connection.close()
        return
    connections.release(
        view.id, view.address, connection, reply.headers.get("Keep-Alive") or ""
    )
