"""JSON calls over HTTP to external systems, with typed outcomes."""

import http.client
import re
from collections.abc import Iterator, Mapping
from typing import Any

import eventlet
import orjson
import urllib3
from attrs import field, frozen
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..outcomes import Done, NotDone, Outcome, Unknown
from .clock import boottime
from .fairness import yield_if_due
from .sockets import RESET_ON_CLOSE

__all__ = [
    "BoundedConnection",
    "BoundedConnectionPool",
    "BoundedResponse",
    "JsonReply",
    "body_length",
    "call_json",
    "connection_pool",
    "has_stated_end",
    "make_connection_pool",
    "read_and_release",
    "read_parts",
    "read_reply",
    "time_limit",
]

# HTTP/1.1 in the notation of http.client's ``version``.
HTTP_1_1 = 11
# Errors that occur only before the first byte of a request is sent.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)

# Longest body of a reply to a control call; a page of the store has 1 MB.
MAX_REPLY_BYTES = 8 * 1024 * 1024
READ_SIZE_BYTES = 64 * 1024

# The headers of a response, with those of the interim responses before it.
MAX_HEAD_BYTES = 64 * 1024
# Interim responses before the final one; servers send one at most.
MAX_INTERIM_RESPONSES = 4
MAX_TRAILER_LINES = 32
MAX_TRAILER_LINE_BYTES = 8 * 1024
MAX_CHUNK_SIZE_LINE_BYTES = 8 * 1024
MAX_SHOWN_BYTES = 40


# RFC 9112, sections 2.2, 4, 5 and 7.1. ``http.client`` reads numbers as Python does and
# drops header lines from the first malformed one on, so that other senders' framing
# would be read differently here.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r?\n")
HEADER_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n")
CHUNK_SIZE_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[\t ]*(;[\t\x20-\x7e\x80-\xff]*)?\r?\n"
)
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}", re.ASCII)
END_OF_HEAD = (b"\r\n", b"\n")
FINAL_STATUSES = range(200, 600)
BODYLESS_STATUSES = (204, 304)


class HeadReader:
    """Reads the lines of a response's head; fails on a malformed or missing one.

    ``http.client`` takes the end of the connection for the end of the head.
    """

    def __init__(self, stream: Any) -> None:
        self.stream = stream
        self._in_head = False
        self._size = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; empty if the connection ends before a head."""
        line = self.stream.readline(limit)
        is_cut = not line.endswith(b"\n") and (limit < 0 or len(line) < limit)
        if is_cut and (line or self._in_head):
            raise http.client.IncompleteRead(line)
        if line and not self._in_head and not STATUS_LINE.fullmatch(line):
            raise http.client.BadStatusLine(repr(line[:MAX_SHOWN_BYTES]))
        is_end = line in END_OF_HEAD
        if self._in_head and not is_end and not HEADER_LINE.fullmatch(line):
            shown = line[:MAX_SHOWN_BYTES]
            raise http.client.HTTPException(f"malformed header line {shown!r}")
        self._in_head = not is_end
        self._size += len(line)
        if self._size > MAX_HEAD_BYTES:
            raise http.client.LineTooLong("head")
        return line

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


class BoundedResponse(http.client.HTTPResponse):
    """Response that is well-formed and whole, and whose head and trailers are bounded.

    ``http.client`` reads interim responses and trailers without a limit, takes the end
    of the connection for the end of any part, and guesses at what is malformed. Here
    such bytes are no response.
    """

    _interim_responses = 0

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        http.client.HTTPException
            The head is malformed, too long, or cut off by the end of the connection,
            or does not tell for certain where the body ends.
        """
        reader = HeadReader(self.fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.stream
        if self.status not in FINAL_STATUSES:
            raise http.client.BadStatusLine(str(self.status))
        self._check_framing()

    def read1(self, n: int = -1) -> bytes:
        """Read a part of the body; empty at its end.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended before the body.
        """
        part = super().read1(n)
        if not part and n and self.length:
            raise http.client.IncompleteRead(part, self.length)
        return part

    def _check_framing(self) -> None:
        """Raise unless a body has one stated end, or ends with the connection."""
        codings = self.headers.get_all("Transfer-Encoding") or []
        lengths = self.headers.get_all("Content-Length") or []
        if codings:
            is_chunked = [coding.strip().lower() for coding in codings] == ["chunked"]
            if not is_chunked or lengths or self.version < HTTP_1_1:
                raise http.client.HTTPException("ambiguous transfer coding")
        elif lengths:
            is_valid = CONTENT_LENGTH.fullmatch(lengths[0].strip(" \t"))
            if not is_valid or len(lengths) > 1:
                raise http.client.HTTPException("malformed Content-Length")

    def _read_status(self) -> tuple[str, int, str]:
        self._interim_responses += 1
        if self._interim_responses > 1 + MAX_INTERIM_RESPONSES:
            raise http.client.HTTPException("too many interim responses")
        return super()._read_status()

    def _get_chunk_left(self) -> int | None:
        # The base class skips two bytes after a chunk without a look at them.
        if self.chunk_left == 0:
            if self.fp.readline(2) not in END_OF_HEAD:
                raise http.client.IncompleteRead(b"")
            self.chunk_left = None
        return super()._get_chunk_left()

    def _read_next_chunk_size(self) -> int:
        line = self.fp.readline(MAX_CHUNK_SIZE_LINE_BYTES)
        match = CHUNK_SIZE_LINE.fullmatch(line)
        if match is None:
            raise http.client.IncompleteRead(line[:MAX_SHOWN_BYTES])
        return int(match[1], 16)

    def _read_and_discard_trailer(self) -> None:
        for _ in range(MAX_TRAILER_LINES):
            line = self.fp.readline(MAX_TRAILER_LINE_BYTES + 1)
            if len(line) > MAX_TRAILER_LINE_BYTES:
                raise http.client.LineTooLong("trailer line")
            if not line.endswith(b"\n"):
                raise http.client.IncompleteRead(line)
            if line in END_OF_HEAD:
                return
            if not HEADER_LINE.fullmatch(line):
                raise http.client.HTTPException("malformed trailer line")
        raise http.client.HTTPException("too many trailer lines")


class BoundedConnection(HTTPConnection):
    """Connection whose responses are bounded, and that is reset when it is closed."""

    response_class = BoundedResponse

    def connect(self) -> None:
        """Open the connection."""
        super().connect()
        self.sock.setsockopt(*RESET_ON_CLOSE)


class BoundedConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of connections whose responses are bounded."""

    ConnectionCls = BoundedConnection


def make_connection_pool(**options: Any) -> urllib3.PoolManager:
    """Return a pool manager whose responses to plain HTTP are bounded.

    Parameters
    ----------
    **options
        Options of ``urllib3.PoolManager``.
    """
    manager = urllib3.PoolManager(retries=False, **options)
    manager.pool_classes_by_scheme = {
        **manager.pool_classes_by_scheme,
        "http": BoundedConnectionPool,
    }
    return manager


def body_length(response: urllib3.BaseHTTPResponse, method: str = "GET") -> int | None:
    """Return the stated length of a body in bytes; None if there is none.

    Parameters
    ----------
    response : response
        Response of a connection whose responses are bounded, so that a length is valid.
    method : str
        Method of the request.
    """
    if method == "HEAD" or response.status in BODYLESS_STATUSES:
        return 0
    length = response.headers.get_all("Content-Length")
    return int(length[0]) if length else None


def has_stated_end(response: urllib3.BaseHTTPResponse, method: str = "GET") -> bool:
    """Return whether a body has an end other than that of the connection."""
    return bool(response.chunked) or body_length(response, method) is not None


def time_limit(seconds: float, call: str) -> eventlet.Timeout:
    """Return a context that raises ``OSError`` if a call takes too long as a whole.

    The time-out of a socket starts anew with each byte.
    """
    return eventlet.Timeout(seconds, OSError(f"{call}: not complete in {seconds} s"))


_connection_pool = make_connection_pool(num_pools=64, maxsize=32)


@frozen
class JsonReply:
    """An HTTP response with a JSON body.

    Parameters
    ----------
    status : int
        HTTP status.
    body : object
        Decoded body; None if it was empty.
    """

    status: int
    body: Any = None
    headers: Mapping[str, str] = field(factory=dict, repr=False)


def connection_pool() -> urllib3.PoolManager:
    """Return the connection pool that the control calls of this process share."""
    return _connection_pool


def read_parts(response: Any, size: int = READ_SIZE_BYTES) -> Iterator[bytes]:
    """Yield the parts of a body as they arrive, and let other green threads run.

    Parameters
    ----------
    response : response
        Response of ``urllib3`` or ``http.client`` whose body was not read.
    size : int
        Largest part in bytes.
    """
    while part := response.read1(size):
        yield part
        yield_if_due()


def read_reply(reply: Any, timeout: float) -> bytes:
    """Read the whole body of a reply, within bounds on its size and time.

    Parameters
    ----------
    reply : response
        Response of ``urllib3`` or ``http.client`` whose body was not read.
    timeout : float
        Seconds within which the body must end.

    Raises
    ------
    OSError
        The body does not end within the bounds.
    """
    # Tiny parts take many times their size if they are kept one by one.
    deadline, content = boottime() + timeout, bytearray()
    for part in read_parts(reply):
        content += part
        if len(content) > MAX_REPLY_BYTES or boottime() > deadline:
            raise OSError("the body of the reply does not end")
    return bytes(content)


def read_and_release(reply: urllib3.BaseHTTPResponse, timeout: float) -> bytes:
    """Read a reply and return its connection to its pool; close it if that fails."""
    try:
        content = read_reply(reply, timeout)
    except BaseException:
        reply.close()
        raise
    reply.release_conn()
    return content


def call_json(
    method: str,
    url: str,
    body: object = None,
    *,
    timeout: float,
    headers: Mapping[str, str] | None = None,
    pool: urllib3.PoolManager | None = None,
) -> Outcome[JsonReply]:
    """Send a JSON request and classify its outcome.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Full URL; the host is an IP address.
    body : object, optional
        Object to encode as JSON; no body is sent if it is None.
    timeout : float
        Limit in seconds for connecting, for each read, and for the body; the head may
        take twice as long from the start.

    Returns
    -------
    Done or NotDone or Unknown
        ``Done`` holds a response with any status below 500. A status of 500 or
        above, a timeout or a broken connection gives ``Unknown``, since the call
        may have taken effect. ``NotDone`` means that no connection was established.
    """
    encoded_body = None if body is None else orjson.dumps(body)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        with time_limit(2 * timeout, f"{method} {url}"):
            reply = (pool or _connection_pool).request(
                method,
                url,
                body=encoded_body,
                headers=all_headers,
                timeout=urllib3.Timeout(connect=timeout, read=timeout),
                retries=False,
                preload_content=False,
            )
        content = read_and_release(reply, timeout)
    except NOT_SENT_ERRORS as error:
        return NotDone(f"{method} {url}: {error}")
    except (HTTPError, OSError, EOFError) as error:
        return Unknown(f"{method} {url}: {error}")
    if reply.status >= 500:
        return Unknown(f"{method} {url}: status {reply.status}")
    try:
        decoded = orjson.loads(content) if content else None
    except orjson.JSONDecodeError as error:
        return Unknown(f"{method} {url}: invalid JSON in the answer: {error}")
    return Done(JsonReply(reply.status, decoded, reply.headers))
