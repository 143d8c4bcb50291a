"""Helpers for WSGI applications that exchange JSON."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi
import orjson
from attrs import define

__all__ = [
    "BadRequestError",
    "bound_body_lines",
    "listen",
    "query_values",
    "read_json",
    "respond",
    "serve",
    "split_address",
]

StartResponse = Callable[..., Any]
Application = Callable[[dict[str, Any], StartResponse], Iterable[bytes]]

MAX_JSON_BYTES = 32 * 1024 * 1024
# A chunk size with its extensions, or a trailer.
MAX_CHUNK_LINE_BYTES = 8 * 1024
# Two lines lie between two chunks.
MAX_TRAILER_LINES = 32
REASON_PHRASES = {
    200: "OK",
    201: "Created",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


# The applications log events themselves; the log lines of the server would duplicate
# them.
_server_logger = logging.getLogger("mulberryport.wsgi")
_server_logger.setLevel(logging.CRITICAL + 1)


@define(eq=False)
class BodyFile:
    """File of a connection whose lines within a chunked body are bounded.

    The server reads chunk sizes and trailers without a limit.

    Parameters
    ----------
    file : object
        File object of the connection.
    """

    file: Any
    _lines_in_a_row: int = 0

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes of a chunk."""
        self._lines_in_a_row = 0
        return self.file.read(size)

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        eventlet.wsgi.ChunkReadError
            The line does not end, or the trailers do not.
        """
        if size >= 0:
            return self.file.readline(size)
        self._lines_in_a_row += 1
        line = self.file.readline(MAX_CHUNK_LINE_BYTES + 1)
        if len(line) > MAX_CHUNK_LINE_BYTES or self._lines_in_a_row > MAX_TRAILER_LINES:
            raise eventlet.wsgi.ChunkReadError("the body's coding does not end")
        return line


def bound_body_lines(environ: dict[str, Any]) -> dict[str, Any]:
    """Bound the lines of the body in a WSGI environment, and return the environment."""
    body = environ["eventlet.input"]
    body.rfile = BodyFile(body.rfile)
    return environ


class JsonProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP protocol handler that closes a connection that breaks within a head."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the current request."""
        return bound_body_lines(super().get_environ())

    def parse_request(self) -> bool:
        """Read the head of a request; return whether there is one."""
        try:
            return super().parse_request()
        except ConnectionError:
            self.close_connection = True
            return False


class BadRequestError(ValueError):
    """A malformed request; the message states the reason."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of a ``host:port`` address.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: str) -> socket.socket:
    """Return a listening socket that is bound to an address."""
    listener = eventlet.listen(split_address(address), backlog=1024)
    # Accepted connections inherit this option. With Nagle's algorithm, a chunk that
    # follows another one shortly waits 40 ms for the client's delayed acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def serve(
    listener: socket.socket, application: Application, **options: Any
) -> eventlet.greenthread.GreenThread:
    """Serve an application in a new green thread.

    Parameters
    ----------
    listener : socket
        Listening socket.
    application : callable
        A WSGI application.
    **options
        Passed to ``eventlet.wsgi.server``.
    """
    server_options = {
        "log_output": False,
        "debug": False,
        "log": _server_logger,
        "max_size": 4096,
        "socket_timeout": 600,
        # By default, small chunks of a stream are buffered up to 4 KiB.
        "minimum_chunk_size": 1,
        "protocol": JsonProtocol,
        **options,
    }
    return eventlet.spawn(eventlet.wsgi.server, listener, application, **server_options)


def respond(
    start_response: StartResponse,
    status: int,
    body: object = None,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a JSON response and return the response body."""
    encoded_body = b"" if body is None else orjson.dumps(body, default=str)
    response_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(encoded_body))),
        *headers,
    ]
    start_response(f"{status} {REASON_PHRASES[status]}", response_headers)
    return [encoded_body]


def read_json(environ: dict[str, Any]) -> Any:
    """Return the decoded JSON body of a request; None if the body is empty.

    Raises
    ------
    BadRequestError
        The body is not valid JSON, is longer than ``MAX_JSON_BYTES``, or broke off.
    """
    try:
        content = environ["wsgi.input"].read(MAX_JSON_BYTES + 1)
    except (OSError, eventlet.wsgi.ChunkReadError) as error:
        raise BadRequestError(f"the body is broken: {error}") from None
    if len(content) > MAX_JSON_BYTES:
        raise BadRequestError(f"the body has more than {MAX_JSON_BYTES} bytes")
    if not content:
        return None
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise BadRequestError(f"the body is not valid JSON: {error}") from None


def query_values(environ: dict[str, Any]) -> dict[str, str]:
    """Return the last value of each query parameter."""
    values_by_name = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return {name: values[-1] for name, values in values_by_name.items()}
