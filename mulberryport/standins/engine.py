"""Stand-in for a model engine with continuous batching.

``POST /generate`` streams NDJSON: lines with ``id``, ``offset``, ``tokens`` (the text
of a few tokens) and ``version`` (the weights that produced them), then one line with
``done``, ``length`` and ``finish``. The text is a function of the prompt alone, so
that a test can check that a response is complete and belongs to its request. A
request has an ``id``, a ``prompt``, ``max_tokens`` and a ``priority``, and may resume
at an ``offset``.

Further paths: ``POST /cancel``, ``GET /load`` (refreshed with a lag),
``GET /cache-events`` (delayed and with gaps), ``PUT /version`` (an order with a
fencing number and an expiry), ``POST /kv/export`` and ``/kv/import``, and ``GET /log``
with all recorded requests and orders. In the log, ``produced`` lists the offset, the
number and the weight version of the tokens of a request.
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
from .faults import inject_faults

__all__ = ["EngineState", "engine_application", "expected_tokens"]

CHUNK_TOKENS = 4
MAX_CACHED_PREFIXES = 64


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
    """Configuration and recorded activity of one engine.

    Parameters
    ----------
    token_time : float
        Seconds per token in an empty batch; a full batch doubles them.
    batch : int
        Maximum number of concurrent requests; further ones queue by priority.
    checks_fencing : bool
        Whether orders that are expired or have an old fencing number are refused.
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
    arrival_numbers: Iterator[int] = field(factory=itertools.count)
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

    def acquire_batch_slot(self, priority: int) -> None:
        """Wait for a slot in the batch; requests of higher priority go first."""
        if self.running >= self.batch:
            event = eventlet.event.Event()
            self.waiting.append((-priority, next(self.arrival_numbers), event))
            self.waiting.sort(key=lambda item: item[:2])
            event.wait()
        else:
            self.running += 1

    def release_batch_slot(self) -> None:
        """Release a slot in the batch to the next queued request, if any."""
        if self.waiting:
            self.waiting.pop(0)[2].send(True)
        else:
            self.running -= 1


def engine_application(state: EngineState) -> Application:
    """Return a WSGI application that serves the engine."""
    handlers = {
        "/generate": _generate,
        "/cancel": _cancel,
        "/load": _report_load,
        "/cache-events": _list_cache_events,
        "/version": _load_version,
        "/kv/export": _export_prefix,
        "/kv/import": _import_prefix,
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

    return inject_faults(application)


def _generate(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    request = read_json(environ)
    headers = {k[5:]: v for k, v in environ.items() if k.startswith("HTTP_")}
    query = environ.get("QUERY_STRING", "")
    log_entry = {
        "at": time.time(),
        "headers": headers,
        "query": query,
        **request,
        "produced": [],
    }
    state.requests.append(log_entry)
    start_response("200 OK", [("Content-Type", "application/x-ndjson")])
    return _stream_tokens(state, log_entry)


def _stream_tokens(state: EngineState, request: dict[str, Any]) -> Iterator[bytes]:
    request_id, prompt = request["id"], request["prompt"]
    length = int(request.get("max_tokens", 16))
    tokens = expected_tokens(prompt, length)
    offset = int(request.get("offset", 0))
    state.acquire_batch_slot(int(request.get("priority", 5)))
    try:
        # Resumed streams and cached prefixes need no prefill.
        if not _update_prefix_cache(state, prompt) and not offset:
            eventlet.sleep(10 * state.token_time)
        while offset < length:
            if request_id in state.cancelled:
                yield _encode_line(
                    request_id, done=True, length=offset, finish="cancelled"
                )
                return
            chunk = tokens[offset : offset + CHUNK_TOKENS]
            version = state.version
            slowdown = 1.0 + state.running / state.batch
            eventlet.sleep(state.token_time * len(chunk) * slowdown)
            state.generated += len(chunk)
            request["produced"].append([offset, len(chunk), version])
            yield _encode_line(request_id, offset=offset, tokens=chunk, version=version)
            offset += len(chunk)
        yield _encode_line(request_id, done=True, length=length, finish="stop")
    finally:
        state.release_batch_slot()


def _encode_line(request_id: str, **values: object) -> bytes:
    return orjson.dumps({"id": request_id, **values}) + b"\n"


def _update_prefix_cache(state: EngineState, prompt: str) -> bool:
    """Cache the prompt's prefix, record cache events and return whether it hit."""
    prefix = prompt[:32]
    hit = prefix in state.cache
    state.hits += hit
    state.cache[prefix] = len(state.requests)
    state.cache.move_to_end(prefix)
    events = [{"kind": "stored", "prefix": prefix}] if not hit else []
    if len(state.cache) > MAX_CACHED_PREFIXES:
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


def _report_load(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    published_at, report = state.published
    if time.time() - published_at >= state.load_lag:
        report = {
            "running": state.running,
            "waiting": len(state.waiting),
            "capacity": state.batch,
            "measured_at": time.time(),
        }
        state.published = (time.time(), report)
    # Version and leaving are states rather than measurements, so they have no lag.
    return respond(
        start_response,
        200,
        {**report, "version": state.version, "leaving": state.leaving},
    )


def _list_cache_events(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    after = int(query_values(environ).get("after", 0))
    visible_before = time.time() - 0.3
    # Drops every tenth event, which leaves a gap in the event numbers.
    events = [
        event
        for event in state.cache_events[after:]
        if event["at"] <= visible_before and event["number"] % 10
    ]
    return respond(start_response, 200, {"events": events})


def _load_version(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    order = read_json(environ)
    log_entry = {"at": time.time(), "accepted": False, **order}
    state.orders.append(log_entry)
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
    log_entry["accepted"] = True
    state.version = int(order["version"])
    return respond(start_response, 200, {"version": state.version})


def _fetch_weights(state: EngineState, version: int) -> bool:
    url = f"{state.weights}/weights/{state.pool}?version={version}"
    return urllib3.request("GET", url, retries=False, timeout=2.0).status == 200


def _export_prefix(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    prefix = read_json(environ)["prompt"][:32]
    return respond(
        start_response, 200, {"prefix": prefix, "held": prefix in state.cache}
    )


def _import_prefix(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    state.cache[read_json(environ)["prefix"]] = len(state.requests)
    return respond(start_response, 200, {})


def _configure(
    state: EngineState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    """Set fields of the state from JSON, such as ``{"leaving": true}``."""
    for name, value in (read_json(environ) or {}).items():
        setattr(state, name, value)
    return respond(start_response, 200, {})
