"""Client of model engines: generation streams, cancellation and version orders.

An engine streams NDJSON lines. Each line must carry the id of its request, its
offset must continue the stream, and its weight version must be a positive number;
the last line states the total length. A stream that breaks these rules raises
``StreamError``, so that no part of another request's answer and no truncated
answer passes for a whole one.
"""

import time
from collections.abc import Iterator

import orjson
import urllib3
from attrs import frozen
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from ..outcomes import Done, NotDone, Outcome
from ..runtime.http import call_json

__all__ = [
    "GenerationRequest",
    "NotStartedError",
    "StreamError",
    "TokenChunk",
    "cancel_generation",
    "generate",
    "order_version",
]

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 16 * 1024
MAX_LINE_BYTES = 1024 * 1024
CANCEL_TIMEOUT_S = 2.0


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


def generate(
    address: str, request: GenerationRequest, read_timeout: float
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
    try:
        reply = connection.urlopen(
            "POST",
            "/generate",
            body=body,
            headers={"Content-Type": "application/json"},
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
        yield from _read_chunks(reply, request, address)
    except HTTPError as error:
        raise StreamError(f"{address}: {error}") from error
    finally:
        reply.close()
        connection.close()


def _read_chunks(
    reply: urllib3.BaseHTTPResponse, request: GenerationRequest, address: str
) -> Iterator[TokenChunk]:
    offset = request.offset
    for line in _read_lines(reply):
        try:
            message = orjson.loads(line)
            if message["id"] != request.id:
                raise StreamError(f"{address}: line of another request")
            if message.get("done"):
                if message["finish"] != "stop" or message["length"] != offset:
                    raise StreamError(f"{address}: incomplete: {message}")
                return
            tokens = tuple(str(token) for token in message["tokens"])
            version = int(message["version"])
            if message["offset"] != offset or version <= 0:
                raise StreamError(f"{address}: gap or missing version: {message}")
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
            raise StreamError(f"{address}: malformed line: {error!r}") from error
        offset += len(tokens)
        yield TokenChunk(tokens, version)
    raise StreamError(f"{address}: the stream ended without its end marker")


def _read_lines(reply: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    pending = b""
    while part := reply.read1(READ_BYTES):
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
