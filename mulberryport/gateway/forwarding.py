"""One attempt to run a request at a plain service.

Evidence decides what a failure means: if no connection was made, nothing of the
request was sent and it did not run; after that, without a whole answer, the
outcome is unknown, unless the target itself says that the request did not run. A
request that may run only once uses a fresh connection, because a reused one may be
dead and would leave the outcome unknown.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, suppress
from http.client import HTTPException

import urllib3
from attrs import define, field
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..targets import TargetView
from ..targets.connections import ConnectionPool
from .headers import end_to_end, header_values
from .refusals import OUTCOME_HEADER, OutcomeUnknownError
from .wire import OWN_WIRE, OutgoingRequest, TargetWire, Verdict

__all__ = [
    "ForwardedAnswer",
    "MisdirectedError",
    "NotRunError",
    "NotSentError",
    "forward",
    "hold_body",
]

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
REFUSAL_BYTES = 16 * 1024
BODYLESS_STATUSES = (204, 304)
# As http.client counts versions.
HTTP_1_1 = 11

Watch = Callable[[], AbstractContextManager[None]]


class NotSentError(Exception):
    """No connection was made, so the request certainly did not run."""


class NotRunError(NotSentError):
    """The target says that it did not run the request."""


class MisdirectedError(NotRunError):
    """Another target answers at the address; it did not run the request."""


@define
class ForwardedAnswer:
    """The head of a target's answer and the stream of its body.

    Parameters
    ----------
    length : int or None
        Length of the body; None if it is chunked.
    latency : float
        Seconds from the assignment to the head of the answer.
    held : bool
        Whether the whole body was received, so that it cannot break off.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    length: int | None
    body: Iterator[bytes] = field(repr=False)
    latency: float = 0.0
    held: bool = False


def forward(
    view: TargetView,
    request: OutgoingRequest,
    watch: Watch,
    on_sent: Callable[[], None],
    wire: TargetWire = OWN_WIRE,
) -> ForwardedAnswer:
    """Send a request to a target and return its answer as it arrives.

    Parameters
    ----------
    view : TargetView
        The target.
    request : OutgoingRequest
        What to send.
    watch : callable
        Returns a context that watches a read from the target.
    on_sent : callable
        Called after the connection was made, before the first byte is sent.
    wire : TargetWire
        How the target is spoken to.

    Raises
    ------
    NotSentError
        No connection was made, or the target says that the request did not run.
    OutcomeUnknownError
        There is no head of an answer whose completeness can be checked.
    """
    connection = _connect(view, request, wire.connections)
    on_sent()
    try:
        # The request's deadline ends reads and writes, not a socket timeout.
        connection.timeout = None
        connection.sock.settimeout(None)
        _send(connection, request, wire.attempt_headers(request, view))
        with watch():
            reply = connection.getresponse()
        _check_verdict(view, request, reply, connection, wire)
        return _answer(view, request, reply, connection, watch, wire)
    except (HTTPError, HTTPException, OSError, ValueError) as error:
        connection.close()
        raise OutcomeUnknownError(
            502, f"the connection to target {view.id} failed"
        ) from error
    except BaseException:
        connection.close()
        raise


def hold_body(answer: ForwardedAnswer, limit: int) -> ForwardedAnswer:
    """Return an answer whose body was received, up to some bytes, before it is used.

    Raises
    ------
    OutcomeUnknownError
        The body broke off within these bytes.
    """
    parts: list[bytes] = []
    size = 0
    for part in answer.body:
        parts.append(part)
        size += len(part)
        if size >= limit:
            answer.body = _chain(parts, answer.body)
            return answer
    answer.body, answer.held = iter(parts), True
    return answer


def _chain(parts: list[bytes], rest: Iterator[bytes]) -> Iterator[bytes]:
    yield from parts
    yield from rest


def _connect(
    view: TargetView, request: OutgoingRequest, connections: ConnectionPool | None
) -> HTTPConnection:
    try:
        if connections is not None:
            fresh = not request.reusable
            return connections.acquire(view.id, view.address, fresh=fresh)[0]
        host, _, port = view.address.rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
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
) -> None:
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
    # A target may answer before it has read the body, and then close.
    with suppress(BrokenPipeError, ConnectionResetError):
        connection.request(
            request.method,
            request.target,
            body=body,
            headers=headers,
            chunked=request.body.length is None,
            preload_content=False,
            decode_content=False,
        )


def _check_verdict(
    view: TargetView,
    request: OutgoingRequest,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    wire: TargetWire,
) -> None:
    """Raise if the head is no answer to the request, or says that it did not run."""
    verdict = wire.verdict(view, request, reply.status, reply.headers)
    if verdict is Verdict.ANSWER:
        return
    if verdict is Verdict.FOREIGN:
        reply.close()
        connection.close()
        raise OutcomeUnknownError(502, f"target {view.id} answered another request")
    if wire.connections is not None and _drain(reply):
        _give_back(view, reply, connection, wire.connections)
    else:
        reply.close()
        connection.close()
    if verdict is Verdict.MISDIRECTED:
        raise MisdirectedError(f"target {view.id} is not at its address any more")
    raise NotRunError(f"target {view.id} did not run the request: {reply.status}")


def _drain(reply: urllib3.HTTPResponse) -> bool:
    """Read the short body of a refusal; return whether the answer is complete."""
    try:
        reply.read(REFUSAL_BYTES)
        return not reply.read1(1)
    except (HTTPError, HTTPException, OSError):
        return False


def _answer(
    view: TargetView,
    request: OutgoingRequest,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    watch: Watch,
    wire: TargetWire,
) -> ForwardedAnswer:
    bodyless = request.method == "HEAD" or reply.status in BODYLESS_STATUSES
    lengths = set(header_values(reply.headers.items(), "content-length"))
    chunked = reply.chunked
    countable = len(lengths) == 1 and next(iter(lengths)).strip().isdigit()
    framed = bodyless or chunked or countable
    if reply.status < 200 or not (framed or (wire.unframed and not lengths)):
        # The end of such an answer cannot be told from a broken connection.
        connection.close()
        raise OutcomeUnknownError(502, "the target's answer has no stated length")
    headers = [
        (name, value)
        for name, value in end_to_end(list(reply.headers.items()))
        if name.lower() != OUTCOME_HEADER.lower()
        and not (chunked and name.lower() == "content-length")
    ]
    length = 0 if bodyless else int(lengths.pop()) if countable else None
    return ForwardedAnswer(
        reply.status,
        reply.reason or "",
        headers,
        length,
        _read_body(
            view, reply, connection, watch, wire.connections if framed else None
        ),
    )


def _read_body(
    view: TargetView,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    watch: Watch,
    connections: ConnectionPool | None,
) -> Iterator[bytes]:
    """Yield the body; a truncated body raises and never ends cleanly."""
    complete = False
    try:
        while True:
            with watch():
                part = reply.read1(READ_BYTES)
            if not part:
                complete = True
                return
            yield part
    except (HTTPError, HTTPException, OSError) as error:
        raise OutcomeUnknownError(502, "the target's answer broke off") from error
    finally:
        if complete and connections is not None:
            _give_back(view, reply, connection, connections)
        else:
            reply.close()
            connection.close()


def _give_back(
    view: TargetView,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    connections: ConnectionPool,
) -> None:
    closing = "close" in (reply.headers.get("Connection") or "").lower()
    if closing or reply.version < HTTP_1_1:
        reply.close()
        connection.close()
        return
    connections.release(
        view.id, view.address, connection, reply.headers.get("Keep-Alive") or ""
    )
