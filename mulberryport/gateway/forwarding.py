"""One attempt to run a request at a plain service.

Evidence decides what a failure means: if no connection was made, nothing of the
request was sent and it did not run; after that, without a whole answer, the
outcome is unknown. Every attempt uses a fresh connection, because a reused one may
be dead and would leave the outcome unknown.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, suppress
from http.client import HTTPException

import urllib3
from attrs import define, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from ..targets import TargetView
from ..telemetry import process_clock
from .bodies import RequestBody
from .headers import end_to_end, header_values
from .refusals import OUTCOME_HEADER, OutcomeUnknownError

__all__ = ["ForwardedAnswer", "NotSentError", "OutgoingRequest", "forward"]

CLOCK_HEADER = "X-Mulberryport-Clock"
CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
BODYLESS_STATUSES = (204, 304)

Watch = Callable[[], AbstractContextManager[None]]


class NotSentError(Exception):
    """No connection was made, so the request certainly did not run."""


@frozen
class OutgoingRequest:
    """A request as a target may see it.

    Parameters
    ----------
    method, target : str
        Request line; the target is the path with the query.
    headers : list of (str, str)
        Without keys and without headers of the caller's connection.
    body : RequestBody
        Streamed to the target.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: RequestBody


@define
class ForwardedAnswer:
    """The head of a target's answer and the stream of its body.

    Parameters
    ----------
    length : int or None
        Length of the body; None if it is chunked.
    latency : float
        Seconds from the assignment to the head of the answer.
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]
    length: int | None
    body: Iterator[bytes]
    latency: float = 0.0


def forward(
    view: TargetView,
    request: OutgoingRequest,
    watch: Watch,
    on_sent: Callable[[], None],
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

    Raises
    ------
    NotSentError
        No connection was made; the request did not run.
    OutcomeUnknownError
        There is no head of an answer whose completeness can be checked.
    """
    host, _, port = view.address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=CONNECT_TIMEOUT_S)
    try:
        connection.connect()
    except (HTTPError, OSError) as error:
        connection.close()
        raise NotSentError(f"target {view.id} cannot be reached") from error
    on_sent()
    try:
        # The request's deadline ends reads and writes, not a socket timeout.
        connection.timeout = None
        connection.sock.settimeout(None)
        _send(connection, request)
        with watch():
            reply = connection.getresponse()
        return _answer(request, reply, connection, watch)
    except (HTTPError, HTTPException, OSError) as error:
        connection.close()
        raise OutcomeUnknownError(
            502, f"the connection to target {view.id} failed"
        ) from error
    except BaseException:
        connection.close()
        raise


def _send(connection: HTTPConnection, request: OutgoingRequest) -> None:
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        headers.add(name, value)
    for name in ("User-Agent", "Accept-Encoding"):
        if name not in headers:
            headers[name] = SKIP_HEADER
    headers[CLOCK_HEADER] = str(process_clock.now())
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


def _answer(
    request: OutgoingRequest,
    reply: urllib3.HTTPResponse,
    connection: HTTPConnection,
    watch: Watch,
) -> ForwardedAnswer:
    bodyless = request.method == "HEAD" or reply.status in BODYLESS_STATUSES
    lengths = set(header_values(reply.headers.items(), "content-length"))
    chunked = reply.chunked
    countable = len(lengths) == 1 and next(iter(lengths)).strip().isdigit()
    if reply.status < 200 or not (bodyless or chunked or countable):
        # The end of such an answer cannot be told from a broken connection.
        connection.close()
        raise OutcomeUnknownError(502, "the target's answer has no stated length")
    headers = [
        (name, value)
        for name, value in end_to_end(list(reply.headers.items()))
        if name.lower() != OUTCOME_HEADER.lower()
        and not (chunked and name.lower() == "content-length")
    ]
    length = 0 if bodyless else None if chunked else int(lengths.pop())
    return ForwardedAnswer(
        reply.status,
        reply.reason or "",
        headers,
        length,
        _read_body(reply, connection, watch),
    )


def _read_body(
    reply: urllib3.HTTPResponse, connection: HTTPConnection, watch: Watch
) -> Iterator[bytes]:
    """Yield the body; a truncated body raises and never ends cleanly."""
    try:
        while True:
            with watch():
                part = reply.read1(READ_BYTES)
            if not part:
                return
            yield part
    except (HTTPError, HTTPException, OSError) as error:
        raise OutcomeUnknownError(502, "the target's answer broke off") from error
    finally:
        reply.close()
        connection.close()
