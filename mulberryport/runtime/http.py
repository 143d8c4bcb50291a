"""JSON calls over HTTP to external systems, with typed outcomes."""

from collections.abc import Mapping
from typing import Any

import orjson
import urllib3
from attrs import field, frozen
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..outcomes import Done, NotDone, Outcome, Unknown

__all__ = ["JsonReply", "call_json", "connection_pool"]

# Errors that occur only before the first byte of a request is sent.
NOT_SENT_ERRORS = (NewConnectionError, ConnectTimeoutError)

_connection_pool = urllib3.PoolManager(num_pools=64, maxsize=32, retries=False)


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
        Limit in seconds for connecting, and separately for each read.

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
        reply = (pool or _connection_pool).request(
            method,
            url,
            body=encoded_body,
            headers=all_headers,
            timeout=urllib3.Timeout(connect=timeout, read=timeout),
            retries=False,
        )
    except NOT_SENT_ERRORS as error:
        return NotDone(f"{method} {url}: {error}")
    except (HTTPError, OSError, EOFError) as error:
        return Unknown(f"{method} {url}: {error}")
    if reply.status >= 500:
        return Unknown(f"{method} {url}: status {reply.status}")
    try:
        decoded = orjson.loads(reply.data) if reply.data else None
    except orjson.JSONDecodeError as error:
        return Unknown(f"{method} {url}: invalid JSON in the answer: {error}")
    return Done(JsonReply(reply.status, decoded, reply.headers))
