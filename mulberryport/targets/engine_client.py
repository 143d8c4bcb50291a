"""Client of model engines: generation streams, cancellation and version orders.

An engine streams NDJSON lines. Each line must contain the id of its request, an
offset that continues the stream, and a weight version that is a positive number.
The last line states the total length. A stream that violates these rules raises
``StreamError``, so that neither a part of another request's response nor a truncated
response is accepted as complete.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, nullcontext
from typing import Any

import orjson
import urllib3
from attrs import frozen
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..outcomes import Done, NotDone, Outcome
from ..runtime.fairness import yield_if_due
from ..runtime.http import BoundedConnectionPool, call_json, make_connection_pool
from ..telemetry import process_clock
from .connections import has_peer_ended

__all__ = [
    "GenerationRequest",
    "NotStartedError",
    "StreamEndedError",
    "StreamError",
    "TokenChunk",
    "cancel_generation",
    "generate",
    "order_version",
    "has_waiting_requests",
]

CONNECT_TIMEOUT_S = 2.0
READ_SIZE_BYTES = 16 * 1024
MAX_LINE_BYTES = 1024 * 1024
CANCEL_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
CLOCK_HEADER = "X-Mulberryport-Clock"


class NotStartedError(Exception):
    """The connection failed, so the request was not executed."""


class StreamError(Exception):
    """The stream ended early or violated the protocol."""


class StreamEndedError(StreamError):
    """The engine's end of the connection closed before the final line."""


@frozen
class GenerationRequest:
    """Parameters of a generation request to an engine.

    Parameters
    ----------
    id : str
        Unique id, echoed in each line of the stream.
    prompt : str
        The prompt.
    max_tokens : int
        Maximum number of tokens, including those before ``offset``.
    priority : int
        0 to 9; higher values are served first.
    offset : int
        Number of tokens that the caller already has, to resume a generation.
    """

    id: str
    prompt: str
    max_tokens: int
    priority: int = 5
    offset: int = 0


@frozen
class TokenChunk:
    """Consecutive tokens and the weight version that produced them."""

    tokens: tuple[str, ...]
    version: int


WaitContext = Callable[[], AbstractContextManager[None]]


def generate(
    address: str,
    request: GenerationRequest,
    read_timeout: float,
    wait_context: WaitContext = nullcontext,
) -> Iterator[TokenChunk]:
    """Run a generation at an engine and yield token chunks as they arrive.

    Parameters
    ----------
    address : str
        IP address and port of the engine.
    request : GenerationRequest
        The generation to run.
    read_timeout : float
        Maximum seconds between two reads from the stream.
    wait_context : callable, optional
        Returns a context manager that encloses each wait for the engine.

    Raises
    ------
    NotStartedError
        If the connection failed.
    StreamError
        If the stream ended early, belongs to another request or is malformed; a
        ``StreamEndedError`` if the engine's end of the connection closed.
    """
    host, _, port = address.rpartition(":")
    connection = BoundedConnectionPool(host, int(port), maxsize=1)
    body = orjson.dumps(
        {
            "id": request.id,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "priority": request.priority,
            "offset": request.offset,
        }
    )
    headers = {
        "Content-Type": "application/json",
        CLOCK_HEADER: str(process_clock.now()),
    }
    try:
        with wait_context():
            reply = connection.urlopen(
                "POST",
                "/generate",
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_timeout),
                retries=False,
                preload_content=False,
            )
    except (NewConnectionError, ConnectTimeoutError) as error:
        raise NotStartedError(f"{address}: {error}") from error
    except HTTPError as error:
        raise _stream_failure(error, address) from error
    try:
        if reply.status != 200:
            raise StreamError(f"{address}: HTTP status {reply.status}")
        yield from _read_chunks(reply, request, address, wait_context)
    except HTTPError as error:
        raise _stream_failure(error, address) from error
    finally:
        reply.close()
        connection.close()


def _read_chunks(
    reply: urllib3.BaseHTTPResponse,
    request: GenerationRequest,
    address: str,
    wait_context: WaitContext,
) -> Iterator[TokenChunk]:
    offset = request.offset
    for line in _read_lines(reply, wait_context):
        message = _parse_line(line, address)
        if message.get("id") != request.id:
            raise StreamError(f"{address}: stream line belongs to another request")
        if message.get("done"):
            if message.get("finish") != "stop" or message.get("length") != offset:
                raise StreamError(f"{address}: generation is incomplete")
            return
        chunk = _decode_chunk(message, address)
        if message.get("offset") != offset:
            raise StreamError(f"{address}: stream offset is not contiguous")
        offset += len(chunk.tokens)
        if offset > request.max_tokens:
            raise StreamError(f"{address}: more tokens than requested")
        yield chunk
    raise StreamEndedError(f"{address}: stream ended without its final line")


def _stream_failure(error: HTTPError, address: str) -> StreamError:
    if has_peer_ended(error):
        return StreamEndedError(f"{address}: {error}")
    return StreamError(f"{address}: {error}")


def _parse_line(line: bytes, address: str) -> dict[str, Any]:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StreamError(
            f"{address}: stream line is not valid JSON: {error}"
        ) from error
    if not isinstance(message, dict):
        raise StreamError(f"{address}: stream line is not a JSON object")
    return message


def _decode_chunk(message: dict[str, Any], address: str) -> TokenChunk:
    tokens, version = message.get("tokens"), message.get("version")
    if not isinstance(tokens, list) or not all(isinstance(t, str) for t in tokens):
        raise StreamError(f"{address}: tokens are not a list of strings")
    # bool is a subclass of int but not a valid version.
    if type(version) is not int or version <= 0:
        raise StreamError(f"{address}: weight version is missing or invalid")
    return TokenChunk(tuple(tokens), version)


def _read_lines(
    reply: urllib3.BaseHTTPResponse, wait_context: WaitContext
) -> Iterator[bytes]:
    pending = b""
    while True:
        with wait_context():
            part = reply.read1(READ_SIZE_BYTES)
        if not part:
            return
        pending += part
        *lines, pending = pending.split(b"\n")
        for line in lines:
            yield line
            yield_if_due()
        if len(pending) > MAX_LINE_BYTES:
            raise StreamError("stream line exceeds the maximum length")


def cancel_generation(address: str, request_id: str) -> None:
    """Cancel a generation; if the call fails, the engine only wastes the work."""
    call_json(
        "POST",
        f"http://{address}/cancel",
        {"id": request_id},
        timeout=CANCEL_TIMEOUT_S,
    )


def has_waiting_requests(address: str) -> bool | None:
    """Query a target over a new connection whether its queue is non-empty.

    Returns
    -------
    bool or None
        None if the target does not respond.
    """
    with make_connection_pool(num_pools=1) as pool:
        outcome = call_json(
            "GET", f"http://{address}/load", timeout=PROBE_TIMEOUT_S, pool=pool
        )
    if not isinstance(outcome, Done) or not isinstance(outcome.value.body, dict):
        return None
    return bool(outcome.value.body.get("waiting"))


def order_version(
    address: str, version: int, fencing: int, order_id: str, lifetime: float
) -> Outcome[int]:
    """Order an engine to serve a weight version.

    Parameters
    ----------
    address : str
        IP address and port of the engine.
    version : int
        The version to serve; ordering it again has no effect.
    fencing : int
        Fencing token of the duty lease.
    order_id : str
        Id of the order in logs.
    lifetime : float
        Seconds after which the order must not be executed.

    Returns
    -------
    Done of int, NotDone or Unknown
        The version served after the order.
    """
    body = {
        "version": version,
        "fencing": fencing,
        "order_id": order_id,
        "expires": time.time() + lifetime,
    }
    outcome = call_json("PUT", f"http://{address}/version", body, timeout=lifetime)
    if not isinstance(outcome, Done):
        return outcome
    if outcome.value.status != 200:
        return NotDone(
            f"{address} rejected the order: HTTP status {outcome.value.status}"
        )
    return Done(int(outcome.value.body["version"]))
