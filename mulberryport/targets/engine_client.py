"""Client of model engines: generation streams, cancellation and version orders.

An engine streams NDJSON lines. Each line must carry the id of its request, its
offset must continue the stream, and its weight version must be a positive number;
the last line states the total length. A stream that breaks these rules raises
``StreamError``, so that no part of another request's answer and no truncated
answer passes for a whole one.
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
from ..runtime.http import call_json
from ..telemetry import process_clock

__all__ = [
    "GenerationRequest",
    "NotStartedError",
    "StreamError",
    "TokenChunk",
    "cancel_generation",
    "generate",
    "order_version",
    "probe_queue",
]

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 16 * 1024
MAX_LINE_BYTES = 1024 * 1024
CANCEL_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 1.0
CLOCK_HEADER = "X-Mulberryport-Clock"


class NotStartedError(Exception):
    """No connection was made, so the request certainly did not run."""


class StreamError(Exception):
    """The stream ended early or broke the protocol."""


@frozen
class GenerationRequest:
    """What an engine is asked to generate.

    Parameters
    ----------
    id : str
        Unique id, echoed in each line of the stream.
    prompt : str
        The prompt.
    max_tokens : int
        Tokens to generate.
    priority : int
        0 to 9; a higher value is served first.
    offset : int
        Tokens that the caller already has, for resuming.
    """

    id: str
    prompt: str
    max_tokens: int
    priority: int = 5
    offset: int = 0


@frozen
class TokenChunk:
    """Some tokens and the weight version that produced them."""

    tokens: tuple[str, ...]
    version: int


Watch = Callable[[], AbstractContextManager[None]]


def generate(
    address: str,
    request: GenerationRequest,
    read_timeout: float,
    watch: Watch = nullcontext,
) -> Iterator[TokenChunk]:
    """Generate at an engine and yield the tokens as they arrive.

    Parameters
    ----------
    address : str
        IP number and port of the engine.
    request : GenerationRequest
        What to generate.
    read_timeout : float
        Seconds between two parts of the stream.
    watch : callable, optional
        Returns a context for each wait for the engine.

    Raises
    ------
    NotStartedError
        No connection was made.
    StreamError
        The stream ended early, belongs to another request or is malformed.
    """
    host, _, port = address.rpartition(":")
    connection = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)
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
        with watch():
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
        raise StreamError(f"{address}: {error}") from error
    try:
        if reply.status != 200:
            raise StreamError(f"{address}: status {reply.status}")
        yield from _read_chunks(reply, request, address, watch)
    except HTTPError as error:
        raise StreamError(f"{address}: {error}") from error
    finally:
        reply.close()
        connection.close()


def _read_chunks(
    reply: urllib3.BaseHTTPResponse,
    request: GenerationRequest,
    address: str,
    watch: Watch,
) -> Iterator[TokenChunk]:
    offset = request.offset
    for line in _read_lines(reply, watch):
        message = _parse_line(line, address)
        if message.get("id") != request.id:
            raise StreamError(f"{address}: line of another request")
        if message.get("done"):
            if message.get("finish") != "stop" or message.get("length") != offset:
                raise StreamError(f"{address}: the generation is incomplete")
            return
        chunk = _chunk(message, address)
        if message.get("offset") != offset:
            raise StreamError(f"{address}: gap in the stream")
        offset += len(chunk.tokens)
        if offset > request.max_tokens:
            raise StreamError(f"{address}: more tokens than were asked for")
        yield chunk
    raise StreamError(f"{address}: the stream ended without its end marker")


def _parse_line(line: bytes, address: str) -> dict[str, Any]:
    try:
        message = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise StreamError(f"{address}: malformed line: {error}") from error
    if not isinstance(message, dict):
        raise StreamError(f"{address}: malformed line")
    return message


def _chunk(message: dict[str, Any], address: str) -> TokenChunk:
    tokens, version = message.get("tokens"), message.get("version")
    if not isinstance(tokens, list) or not all(isinstance(t, str) for t in tokens):
        raise StreamError(f"{address}: malformed tokens")
    # bool is an int in Python, but no version.
    if type(version) is not int or version <= 0:
        raise StreamError(f"{address}: the weight version is missing")
    return TokenChunk(tuple(tokens), version)


def _read_lines(reply: urllib3.BaseHTTPResponse, watch: Watch) -> Iterator[bytes]:
    pending = b""
    while True:
        with watch():
            part = reply.read1(READ_BYTES)
        if not part:
            return
        pending += part
        *lines, pending = pending.split(b"\n")
        yield from lines
        if len(pending) > MAX_LINE_BYTES:
            raise StreamError("a line of the stream is too long")


def cancel_generation(address: str, request_id: str) -> None:
    """Ask an engine to stop a generation; a failure only costs its work."""
    call_json(
        "POST",
        f"http://{address}/cancel",
        {"id": request_id},
        timeout=CANCEL_TIMEOUT_S,
    )


def probe_queue(address: str) -> bool | None:
    """Ask a target on a fresh connection whether requests wait in its queue.

    Returns
    -------
    bool or None
        None if the target does not answer.
    """
    with urllib3.PoolManager(num_pools=1, retries=False) as pool:
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
        IP number and port of the engine.
    version : int
        The wanted version; ordering it twice changes nothing.
    fencing : int
        Fencing number of the duty lease.
    order_id : str
        Id for logs.
    lifetime : float
        Seconds after which the order must not be carried out.

    Returns
    -------
    Done of int, NotDone or Unknown
        The version that is served afterwards.
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
        return NotDone(f"{address} refused the order: status {outcome.value.status}")
    return Done(int(outcome.value.body["version"]))
