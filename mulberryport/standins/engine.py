"""Stand-in of a model engine with continuous batching.

``POST /generate`` streams NDJSON: lines of ``id``, ``offset``, ``tokens`` (text of
some tokens) and ``version`` (the weights that produced them), then one line with
``done``, ``length`` and ``finish``. The text follows from the prompt alone, so
that a test can tell whether an answer is whole and belongs to its request. The
request may resume at an offset and has an ``id``, a ``prompt``, ``max_tokens`` and
a ``priority``.

Further paths: ``POST /cancel``, ``GET /load`` (lagging), ``GET /cache-events`` (late
and with gaps), ``PUT /version`` (an order with a fencing number and an expiry),
``POST /kv/export`` and ``/kv/import``, and ``GET /log`` of all that was seen; there
``produced`` lists offset, number and weight version of the tokens of a request.
"""

import itertools
import time
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import Any

import eventlet
import eventlet.queue
import orjson
import urllib3
import xxhash
from attrs import define, field

from ..runtime.wsgi import Application, StartResponse, query_values, read_json, respond
from .faults import with_faults

__all__ = ["EngineState", "engine_application", "expected_tokens"]

CHUNK_TOKENS = 4
CACHE_PREFIXES = 64


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that the stand-in generates for a prompt.

    Examples
    --------
    >>> expected_tokens("a", 2) == expected_tokens("a", 2)
    True
    """
    seed = xxhash.xxh64_intdigest(prompt.encode())
    return [f"t{(seed + 7919 * index) % 10007}" for index in range(count)]


@define
class EngineState:
    """Behaviour and records of one engine.

    Parameters
    ----------
    token_time : float
        Seconds a token takes while the batch is not full.
    batch : int
        Requests generated at the same time; further ones wait by priority.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    token_time: float = 0.002
    batch: int = 16
    checks_fencing: bool = True
    version: int = 1
    fencing: int = 0
    leaving: bool = False
    load_lag: float = 0.2
    fail_swaps: int = 0
    running: int = 0
    waiting: list[tuple[int, int, Any]] = field(factory=list)
    order: Iterator[int] = field(factory=itertools.count)
    cancelled: set[str] = field(factory=set)
    cache: OrderedDict[str, int] = field(factory=OrderedDict)
    cache_events: list[dict[str, Any]] = field(factory=list)
    hits: int = 0
    generated: int = 0
    requests: list[dict[str, Any]] = field(factory=list)
    orders: list[dict[str, Any]] = field(factory=list)
    published: tuple[float, dict[str, Any]] = (0.0, {})
    weights: str = ""
    pool: str = ""

    def enter(self, priority: int) -> None:
        """Wait for a place in the batch; a higher priority goes first."""
        if self.running >= self.batch:
            event = eventlet.event.Event()
            self.waiting.append((-priority, next(self.order), event))
            self.waiting.sort(key=lambda item: item[:2])
            event.wait()
        else:
            self.running += 1

    def leave(self) -> None:
        """Give the place in the batch to the next request."""
        if self.waiting:
            self.waiting.pop(0)[2].send(True)
        else:
            self.running -= 1


def engine_application(state: EngineState) -> Application:
    """Return the engine as a WSGI application."""
    handlers = {
        "/generate": _generate,
        "/cancel": _cancel,
        "/load": _load,
        "/cache-events": _cache_events,
        "/version": _order_version,
        "/kv/export": _export,
        "/kv/import": _import,
        "/configure": _configure,
        "/log": lambda s, e, r: respond(
            r,
            200,
            {
                "requests": s.requests,
                "orders": s.orders,
                "generated": s.generated,
                "hits": s.hits,
            },
        ),
    }

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        handler = handlers.get(environ["PATH_INFO"])
        if handler is None:
            return respond(start_response, 404, {"error": "no such path"})
        return handler(state, environ, start_response)

    return with_faults(application)


def _generate(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    request = read_json(environ)
    headers = {k[5:]: v for k, v in environ.items() if k.startswith("HTTP_")}
    query = environ.get("QUERY_STRING", "")
    entry = {
        "at": time.time(),
        "headers": headers,
        "query": query,
        **request,
        "produced": [],
    }
    state.requests.append(entry)
    start_response("200 OK", [("Content-Type", "application/x-ndjson")])
    return _stream(state, entry)


def _stream(state: EngineState, request: dict[str, Any]) -> Iterator[bytes]:
    request_id, prompt = request["id"], request["prompt"]
    length = int(request.get("max_tokens", 16))
    tokens = expected_tokens(prompt, length)
    offset = int(request.get("offset", 0))
    state.enter(int(request.get("priority", 5)))
    try:
        # Resumed streams and cached prefixes skip the prefill.
        if not _touch_cache(state, prompt) and not offset:
            eventlet.sleep(10 * state.token_time)
        while offset < length:
            if request_id in state.cancelled:
                yield _line(request_id, done=True, length=offset, finish="cancelled")
                return
            part = tokens[offset : offset + CHUNK_TOKENS]
            version = state.version
            slow = 1.0 + state.running / state.batch
            eventlet.sleep(state.token_time * len(part) * slow)
            state.generated += len(part)
            request["produced"].append([offset, len(part), version])
            yield _line(request_id, offset=offset, tokens=part, version=version)
            offset += len(part)
        yield _line(request_id, done=True, length=length, finish="stop")
    finally:
        state.leave()


def _line(request_id: str, **values: object) -> bytes:
    return orjson.dumps({"id": request_id, **values}) + b"\n"


def _touch_cache(state: EngineState, prompt: str) -> bool:
    """Look up the prompt's prefix, insert it and publish a cache event."""
    prefix = prompt[:32]
    hit = prefix in state.cache
    state.hits += hit
    state.cache[prefix] = len(state.requests)
    state.cache.move_to_end(prefix)
    events = [{"kind": "stored", "prefix": prefix}] if not hit else []
    if len(state.cache) > CACHE_PREFIXES:
        removed, _ = state.cache.popitem(last=False)
        events.append({"kind": "removed", "prefix": removed})
    for event in events:
        number = len(state.cache_events) + 1
        state.cache_events.append({"number": number, "at": time.time(), **event})
    return hit


def _cancel(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    state.cancelled.add(read_json(environ)["id"])
    return respond(start_response, 200, {})


def _load(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    at, report = state.published
    if time.time() - at >= state.load_lag:
        report = {
            "running": state.running,
            "waiting": len(state.waiting),
            "capacity": state.batch,
            "measured_at": time.time(),
        }
        state.published = (time.time(), report)
    # Version and leaving mark are states, not measurements, and do not lag.
    return respond(
        start_response,
        200,
        {**report, "version": state.version, "leaving": state.leaving},
    )


def _cache_events(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    after = int(query_values(environ).get("after", 0))
    late = time.time() - 0.3
    # Every tenth event is lost, as a gap in the numbers shows.
    events = [
        event
        for event in state.cache_events[after:]
        if event["at"] <= late and event["number"] % 10
    ]
    return respond(start_response, 200, {"events": events})


def _order_version(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    order = read_json(environ)
    entry = {"at": time.time(), "accepted": False, **order}
    state.orders.append(entry)
    if state.checks_fencing and order["fencing"] < state.fencing:
        return respond(start_response, 409, {"fencing": state.fencing})
    if state.checks_fencing and time.time() > order["expires"]:
        return respond(start_response, 410, {"error": "the order has expired"})
    state.fencing = max(state.fencing, order["fencing"])
    if state.fail_swaps:
        state.fail_swaps -= 1
        return respond(start_response, 500, {"error": "swap failed"})
    if state.weights and not _fetch_weights(state, order["version"]):
        return respond(start_response, 503, {"error": "weights are not available"})
    entry["accepted"] = True
    state.version = int(order["version"])
    return respond(start_response, 200, {"version": state.version})


def _fetch_weights(state: EngineState, version: int) -> bool:
    url = f"{state.weights}/weights/{state.pool}?version={version}"
    return urllib3.request("GET", url, retries=False, timeout=2.0).status == 200


def _export(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    prefix = read_json(environ)["prompt"][:32]
    return respond(
        start_response, 200, {"prefix": prefix, "held": prefix in state.cache}
    )


def _import(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    state.cache[read_json(environ)["prefix"]] = len(state.requests)
    return respond(start_response, 200, {})


def _configure(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    """Change the behaviour for a test, such as ``{"leaving": true}``."""
    for name, value in (read_json(environ) or {}).items():
        setattr(state, name, value)
    return respond(start_response, 200, {})
