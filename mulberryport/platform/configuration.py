"""Decoding of the operator's configuration on the platform into tables."""

from collections.abc import Callable
from typing import Any

import orjson
from attrs import evolve

from ..tables import (
    MODEL_ENGINE,
    PLAIN_SERVICE,
    BatchTerms,
    CallerLimits,
    KeyRecord,
    Pool,
    PoolShare,
    Route,
    Snapshot,
    Tables,
    Workspace,
    key_digest,
)
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["CONFIGURATION_KEY", "decode_configuration"]

ENTRY_SKIPPED = define_event(
    1410,
    "configuration_entry_skipped",
    "error",
    "An entry of the configuration was skipped, or replaces an earlier one.",
)

CONFIGURATION_KEY = "op/config"
# Kinds of routes in the platform's configuration.
IDEMPOTENT_KIND, BATCH_KIND = "idempotent", "rollout"
# The platform numbers priorities from 0 (highest) to 9 (lowest).
LOWEST_PRIORITY = 9
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_CONCURRENCY = 16
# Queue capacity of one pool in one daemon; holds the items of several batch jobs.
MAX_QUEUED_REQUESTS = 4096
MAX_REPORTED_CHARS = 200
MALFORMED = (AttributeError, LookupError, OverflowError, TypeError, ValueError)


# Called with the place, the key and the reason for which an entry is not used.
Report = Callable[[str, str, str], object]


def _log_skipped(place: str, key: str, reason: str) -> None:
    log(ENTRY_SKIPPED, entry=place, key=key, error=reason)


def decode_configuration(content: bytes, report: Report = _log_skipped) -> Snapshot:
    """Decode the operator's configuration into a snapshot of the tables.

    A malformed route or service is reported and skipped; the others take effect.

    Parameters
    ----------
    content : bytes
        JSON text.
    report : callable
        Called for each entry that is not used, and for each that replaces another.

    Raises
    ------
    ValueError
        The content is not a valid configuration.
    """
    try:
        values = orjson.loads(content)
        revision = int(values["version"])
        pools = _decode_entries(values["services"], "pool", _decode_pool, report)
        routes = _decode_entries(values["routes"], "route", _decode_route, report)
        tenants = values.get("tenants")
        workspaces, keys = _decode_workspaces(tenants or [], report)
        limits = _decode_limits(values.get("limits") or {})
    except MALFORMED as error:
        raise ValueError(f"malformed configuration: {_describe(error)}") from error
    if tenants is None:
        routes = {name: _without_keys(route) for name, route in routes.items()}
    valid_routes = {}
    for name, route in routes.items():
        named = {route.pool, *(share.pool for share in route.split)}
        if missing := sorted(named - pools.keys()):
            report(f"route {name}", "pool", f"there is no service {missing}")
        else:
            valid_routes[name] = route
    tables = Tables(
        workspaces=workspaces,
        routes=valid_routes,
        pools=pools,
        keys=keys,
        limits=limits,
    )
    return Snapshot(revision, f"configuration {revision}", tables)


def _decode_entries(
    entries: Any, kind: str, decode: Any, report: Report
) -> dict[str, Any]:
    records = {}
    for number, entry in enumerate(entries, start=1):
        try:
            record = decode(entry)
        except MALFORMED as error:
            report(f"{kind} {_name_entry(entry, number)}", "", _describe(error))
            continue
        if record.name in records:
            report(f"{kind} {record.name}", "name", "replaces an earlier entry")
        records[record.name] = record
    return records


def _describe(error: Exception) -> str:
    """Return the reason for which values cannot be decoded, without the values."""
    if isinstance(error, orjson.JSONDecodeError):
        return f"not JSON: {error}"
    # The message of a failed conversion quotes the value.
    if isinstance(error, ValueError):
        return "a value is not a number"
    return repr(error)[:MAX_REPORTED_CHARS]


def _name_entry(entry: Any, number: int) -> str:
    """Return the name and the number of an entry.

    Its other values are left out: a misplaced tenant has API keys among them.
    """
    name = entry.get("name") if isinstance(entry, dict) else None
    name = name[:MAX_REPORTED_CHARS] if isinstance(name, str) else "without a name"
    return f"{name} (entry {number})"


def _decode_route(entry: dict[str, Any]) -> Route:
    shares = tuple(
        PoolShare(str(share["service"]), float(share["weight"]))
        for share in entry.get("split") or ()
    )
    kind = entry["kind"]
    return Route(
        name=str(entry["name"]),
        path=str(entry["prefix"]),
        host=str(entry["host"]).lower(),
        pool=str(entry["service"]) if "service" in entry else shares[0].pool,
        split=tuple(share for share in shares if share.weight > 0),
        workspaces=("*",),
        open=bool(entry.get("public")),
        idempotent_methods=("*",) if kind == IDEMPOTENT_KIND else (),
        timeout=float(entry.get("timeout-ms") or DEFAULT_TIMEOUT_MS) / 1000,
        latency_target=float(entry.get("latency-target-ms") or 0) / 1000,
        attempts=max(1, int(entry.get("max-attempts") or 1)),
        priority=max(0, LOWEST_PRIORITY - int(entry.get("priority") or 0)),
        streaming=kind == "streaming" or bool(entry.get("streaming")),
        resumable=bool(entry.get("resumable")),
        batch=_decode_batch_terms(entry) if kind == BATCH_KIND else None,
    )


def _decode_limits(entry: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(entry.get("max-header-bytes") or defaults.header_bytes),
        body_bytes=int(entry.get("max-body-bytes") or defaults.body_bytes),
        header_time=float(entry.get("header-timeout-ms") or 0) / 1000
        or defaults.header_time,
        idle_time=float(entry.get("idle-timeout-ms") or 0) / 1000 or defaults.idle_time,
    )


def _decode_batch_terms(entry: dict[str, Any]) -> BatchTerms:
    return BatchTerms(
        due=float(entry["run-target-ms"]) / 1000,
        give_up=float(entry["queue-ttl-s"]),
        single_version=bool(entry.get("single-version")),
    )


def _without_keys(route: Route) -> Route:
    """Return a route that needs no API key, for use without workspaces."""
    return evolve(route, open=True)


def _decode_pool(entry: dict[str, Any]) -> Pool:
    engine, scale = entry.get("engine"), entry.get("scale") or {}
    prices = {
        str(zone): float(price)
        for zone, price in (scale.get("zone-prices") or {}).items()
    }
    return Pool(
        name=str(entry["name"]),
        kind=MODEL_ENGINE if engine else PLAIN_SERVICE,
        concurrency=int((engine or {}).get("slots") or DEFAULT_CONCURRENCY),
        queue=MAX_QUEUED_REQUESTS,
        models=tuple(str(m["name"]) for m in (engine or {}).get("models") or ()),
        zones=tuple(prices),
        minimum=int(scale.get("min") or 0),
        maximum=int(scale.get("max") or 0),
        prices=prices,
        cheap_price=float(scale.get("spot-price") or 1.0),
        tokens_per_event=max(1, int((engine or {}).get("stride") or 1)),
        cache_tokens=max(0, int((engine or {}).get("kv-capacity") or 0)),
        cold_time=max(0.0, float(entry.get("cold-s") or 0.0)),
        cold_rate=max(0.0, float(entry.get("cold-per-s") or 0.0)),
    )


def _decode_workspaces(
    tenants: list[dict[str, Any]], report: Report
) -> tuple[dict[str, Workspace], dict[str, KeyRecord]]:
    workspaces: dict[str, Workspace] = {}
    keys: dict[str, KeyRecord] = {}
    for tenant in tenants:
        name = str(tenant["name"])
        workspaces[name] = Workspace(name=name)
        tenant_keys = tenant.get("api-keys") or ()
        if isinstance(tenant_keys, str):
            # Each character would become a key.
            report(f"workspace {name}", "api-keys", "is not a list")
            continue
        for key in tenant_keys:
            digest = key_digest(str(key))
            if digest in keys and keys[digest].workspace != name:
                other = keys[digest].workspace
                report(f"workspace {name}", "api-keys", f"takes a key from {other}")
            keys[digest] = KeyRecord(digest, name)
    return workspaces, keys
