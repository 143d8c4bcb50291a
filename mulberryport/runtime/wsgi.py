"""Helpers for small WSGI applications that speak JSON."""

import logging
import socket
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import eventlet
import eventlet.wsgi
import orjson

__all__ = [
    "BadRequestError",
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
REASONS = {
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


# The applications log events themselves; the server's own lines would repeat them.
_server_log = logging.getLogger("mulberryport.wsgi")
_server_log.setLevel(logging.CRITICAL + 1)


class BadRequestError(ValueError):
    """A request that cannot be understood; the text says why."""


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of an address.

    Examples
    --------
    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def listen(address: str) -> socket.socket:
    """Return a listening socket bound to an address."""
    listener = eventlet.listen(split_address(address), backlog=1024)
    # Accepted connections inherit this. Otherwise a part that follows another
    # closely waits for the caller's delayed acknowledgement, 40 ms.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def serve(
    listener: socket.socket, application: Application, **options: Any
) -> eventlet.greenthread.GreenThread:
    """Serve an application in a green thread of its own.

    Parameters
    ----------
    listener : socket
        Where requests arrive.
    application : callable
        A WSGI application.
    **options
        Passed to ``eventlet.wsgi.server``.
    """
    settings = {
        "log_output": False,
        "debug": False,
        "log": _server_log,
        "max_size": 4096,
        "socket_timeout": 600,
        # By default small parts of a stream wait until 4 KiB are collected.
        "minimum_chunk_size": 1,
        **options,
    }
    return eventlet.spawn(eventlet.wsgi.server, listener, application, **settings)


def respond(
    start_response: StartResponse,
    status: int,
    body: object = None,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answer with JSON and return the body for WSGI."""
    content = b"" if body is None else orjson.dumps(body, default=str)
    lines = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(content))),
        *headers,
    ]
    start_response(f"{status} {REASONS[status]}", lines)
    return [content]


def read_json(environ: dict[str, Any]) -> Any:
    """Return the decoded JSON body of a request, or None if it is empty.

    Raises
    ------
    BadRequestError
        The body is malformed or longer than ``MAX_JSON_BYTES``.
    """
    content = environ["wsgi.input"].read(MAX_JSON_BYTES + 1)
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
    parsed = parse_qs(environ.get("QUERY_STRING", ""), keep_blank_values=True)
    return {name: values[-1] for name, values in parsed.items()}
