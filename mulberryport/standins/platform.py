"""Stand-in for the platform: store, target orders, usage sink, VM list and weights.

All interfaces are served by one process, each under its own path prefix. Every order
and report is logged with its arrival time, so that a test can check externally what
the system did.

Orders: ``PUT /orders/<zone>/<pool>`` declares the wanted numbers of on-demand and
cheap VMs, ``GET`` returns the current order, and ``GET /order-log`` lists all orders
received. Fencing numbers and expiry are checked unless ``POST /configure`` sets
``checks_fencing`` or ``checks_expiry`` to false. VMs are taken from a stock of
addresses posted to ``/stock``, since a process must not start another.
"""

import time
from collections.abc import Iterable
from typing import Any
from urllib.parse import unquote

from attrs import define, field

from ..runtime.wsgi import Application, StartResponse, query_values, read_json, respond
from .faults import inject_faults
from .kv import KeyValueState, key_value_application

__all__ = ["PlatformState", "platform_application"]

RECLAIM_NOTICE_S = 5.0


@define
class PlatformState:
    """Configuration and state of the platform."""

    store: KeyValueState = field(factory=KeyValueState)
    orders: dict[str, dict[str, Any]] = field(factory=dict)
    order_log: list[dict[str, Any]] = field(factory=list)
    checks_fencing: bool = True
    checks_expiry: bool = True
    usage_log: list[dict[str, Any]] = field(factory=list)
    vms: dict[str, dict[str, Any]] = field(factory=dict)
    stock: list[dict[str, Any]] = field(factory=list)
    unavailable: set[str] = field(factory=set)
    list_lag: float = 0.5
    published: tuple[float, list[dict[str, Any]]] = (0.0, [])
    weights: dict[str, int] = field(factory=dict)
    weight_reads_per_second: float = 1000.0
    weight_tokens: tuple[float, float] = (0.0, 0.0)


def platform_application(state: PlatformState | None = None) -> Application:
    """Return a WSGI application that serves all platform interfaces."""
    platform = state or PlatformState()
    store = key_value_application(platform.store)
    handlers = {
        "orders": _serve_orders,
        "order-log": lambda p, e, s: respond(s, 200, p.order_log),
        "usage": _serve_usage,
        "usage-log": lambda p, e, s: respond(s, 200, p.usage_log),
        "vms": _serve_vms,
        "stock": _serve_stock,
        "reclaim": _serve_reclaim,
        "availability": _serve_availability,
        "weights": _serve_weights,
        "configure": _configure,
    }

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        first = environ["PATH_INFO"].split("/")[1]
        handler = handlers.get(first)
        if handler is None:
            return store(environ, start_response)
        return handler(platform, environ, start_response)

    return inject_faults(application)


def _serve_orders(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    key = unquote(environ["PATH_INFO"])[len("/orders/") :]
    if environ["REQUEST_METHOD"] == "GET":
        return respond(start_response, 200, platform.orders.get(key))
    order = read_json(environ)
    log_entry = {"key": key, "at": time.time(), "accepted": True, **order}
    platform.order_log.append(log_entry)
    current = platform.orders.get(key)
    if platform.checks_expiry and time.time() > order["expires"]:
        log_entry["accepted"] = False
        return respond(start_response, 410, {"error": "the order has expired"})
    stale = current is not None and order["fencing"] < current["fencing"]
    if platform.checks_fencing and stale:
        log_entry["accepted"] = False
        return respond(start_response, 409, {"fencing": current["fencing"]})
    platform.orders[key] = order
    _reconcile_vms(platform, key, order)
    return respond(start_response, 200, order)


def _configure(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    """Set fields of the state from JSON, such as ``{"checks_fencing": false}``."""
    for name, value in (read_json(environ) or {}).items():
        setattr(platform, name, value)
    return respond(start_response, 200, {})


def _reconcile_vms(platform: PlatformState, key: str, order: dict[str, Any]) -> None:
    """Start VMs or mark them as leaving until their number matches the order."""
    zone, _, pool = key.partition("/")
    for price in ("on-demand", "cheap"):
        running = [
            vm
            for vm in platform.vms.values()
            if (vm["zone"], vm["pool"], vm["price"], vm["state"])
            == (zone, pool, price, "live")
        ]
        wanted = order[price.replace("-", "_")]
        if f"{zone}/{price}" in platform.unavailable:
            wanted = min(wanted, len(running))
        for vm in running[wanted:]:
            vm["state"] = "leaving"
        for _ in range(wanted - len(running)):
            vm = next((v for v in platform.stock if v["zone"] == zone), None)
            if vm is None:
                break
            platform.stock.remove(vm)
            platform.vms[vm["id"]] = {
                **vm,
                "pool": pool,
                "price": price,
                "state": "live",
                "since": time.time(),
            }


def _serve_usage(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    report = read_json(environ)
    report_id = unquote(environ["PATH_INFO"])[len("/usage/") :]
    earlier = [r for r in platform.usage_log if r["id"] == report_id]
    platform.usage_log.append(
        {
            "id": report_id,
            "at": time.time(),
            "reporter": environ.get("HTTP_X_MULBERRYPORT_REPORTER", ""),
            "fencing": int(environ.get("HTTP_X_MULBERRYPORT_FENCING", 0)),
            **report,
        }
    )
    return respond(start_response, 200, {"known": bool(earlier)})


def _serve_vms(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    at, published = platform.published
    if time.time() - at >= platform.list_lag:
        published = [dict(vm) for vm in platform.vms.values()]
        platform.published = (time.time(), published)
    return respond(start_response, 200, {"vms": published})


def _serve_stock(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    if environ["REQUEST_METHOD"] == "POST":
        platform.stock.extend(read_json(environ)["vms"])
    return respond(start_response, 200, {"vms": platform.stock})


def _serve_reclaim(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    """Give a reclaim notice to all live cheap VMs of a zone."""
    zone = read_json(environ)["zone"]
    until = time.time() + RECLAIM_NOTICE_S
    reclaimed = []
    for vm in platform.vms.values():
        if vm["zone"] == zone and vm["price"] == "cheap" and vm["state"] == "live":
            vm.update(state="leaving", until=until)
            reclaimed.append(vm["id"])
    return respond(start_response, 200, {"reclaimed": reclaimed})


def _serve_availability(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    platform.unavailable = set(read_json(environ)["unavailable"])
    return respond(start_response, 200, {})


def _serve_weights(
    platform: PlatformState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    """Read or publish weight versions, limited by a token bucket."""
    rate = platform.weight_reads_per_second
    tokens, at = platform.weight_tokens
    now = time.monotonic()
    tokens = min(rate, tokens + (now - at) * rate) if at else rate
    if tokens < 1:
        platform.weight_tokens = (tokens, now)
        return respond(start_response, 429, {"error": "rate limit"})
    platform.weight_tokens = (tokens - 1, now)
    pool = unquote(environ["PATH_INFO"])[len("/weights/") :]
    if environ["REQUEST_METHOD"] == "PUT":
        platform.weights[pool] = int(read_json(environ)["version"])
    query = query_values(environ)
    version = int(query.get("version", platform.weights.get(pool, 0)))
    known = version <= platform.weights.get(pool, 0)
    return respond(start_response, 200 if known else 404, {"version": version})
