"""Forwarding of requests to plain services.

Evidence decides what a failure means: if no connection was made, nothing of the
request was sent and it did not run; after that, without a whole answer, the
outcome is unknown. Non-idempotent requests go out on a fresh connection, because a
reused one may be dead, and are never sent twice.
"""

from collections.abc import Iterator
from typing import Any

import urllib3
from attrs import define
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)

from ..targets import TargetView
from .credentials import HOP_BY_HOP
from .refusals import OutcomeUnknownError, RefusalError

__all__ = ["ForwardedAnswer", "forward"]

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024


@define
class ForwardedAnswer:
    """The head of a target's answer and the stream of its body."""

    status: int
    reason: str
    headers: list[tuple[str, str]]
    body: Iterator[bytes]


def forward(
    view: TargetView,
    method: str,
    path: str,
    headers: list[tuple[str, str]],
    body: Any,
    timeout: float,
) -> ForwardedAnswer:
    """Send a request to a target and return its answer as it arrives.

    Parameters
    ----------
    view : TargetView
        The target.
    method, path : str
        Request line; the path includes the query.
    headers : list of (str, str)
        Headers that the target may see.
    body : file, iterable of bytes or None
        Streamed to the target.
    timeout : float
        Seconds between two parts of the answer.

    Raises
    ------
    RefusalError
        No connection was made; the request did not run.
    OutcomeUnknownError
        The connection failed before the head of the answer arrived.
    """
    host, _, port = view.address.rpartition(":")
    connection = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
    merged = urllib3.HTTPHeaderDict()
    for name, value in headers:
        merged.add(name, value)
    try:
        reply = connection.urlopen(
            method,
            path,
            body=body,
            headers=merged,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout),
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
    except (NewConnectionError, ConnectTimeoutError) as error:
        connection.close()
        raise RefusalError(503, f"target {view.id} cannot be reached") from error
    except ReadTimeoutError as error:
        connection.close()
        raise OutcomeUnknownError(504, f"target {view.id} did not answer") from error
    except (HTTPError, OSError) as error:
        connection.close()
        raise OutcomeUnknownError(
            502, f"the connection to target {view.id} failed"
        ) from error
    kept = [(n, v) for n, v in reply.headers.items() if n.lower() not in HOP_BY_HOP]
    return ForwardedAnswer(
        reply.status, reply.reason or "", kept, _read_body(reply, connection)
    )


def _read_body(
    reply: urllib3.BaseHTTPResponse, connection: urllib3.HTTPConnectionPool
) -> Iterator[bytes]:
    """Yield the body; a truncated body raises and never ends cleanly."""
    try:
        while part := reply.read1(READ_BYTES):
            yield part
    finally:
        reply.close()
        connection.close()
