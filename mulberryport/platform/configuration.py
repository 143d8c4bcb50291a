"""The operator's configuration on the platform as tables."""

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
    "A configuration entry is wrong.",
)

CONFIGURATION_KEY = "op/config"
# Kinds of routes as the platform names them.
IDEMPOTENT, BATCH = "idempotent", "rollout"
# The platform counts ranks from 0, the highest.
LOWEST_RANK = 9
DEFAULT_TIMEOUT_MS = 30_000
DEFAULT_SLOTS = 16
# Waiting requests of one pool in one daemon: the items of several batch jobs.
QUEUE = 4096


def decode_configuration(content: bytes) -> Snapshot:
    """Return a snapshot of the tables from the operator's configuration.

    A route or service with wrong fields is left out and logged; the others hold.

    Raises
    ------
    ValueError
        The content is no configuration.
    """
    try:
        values = orjson.loads(content)
        revision = int(values["version"])
        pools = _records(values["services"], _pool)
        routes = _records(values["routes"], _route)
        tenants = values.get("tenants")
        workspaces, keys = _workspaces(tenants or [])
    except (AttributeError, KeyError, TypeError) as error:
        raise ValueError(f"not a configuration: {error!r}") from error
    if tenants is None:
        routes = {name: _opened(route) for name, route in routes.items()}
    known = {
        name: route
        for name, route in routes.items()
        if route.pool in pools and all(share.pool in pools for share in route.split)
    }
    tables = Tables(
        workspaces=workspaces,
        routes=known,
        pools=pools,
        keys=keys,
        limits=_limits(values.get("limits") or {}),
    )
    return Snapshot(revision, f"configuration {revision}", tables)


def _records(entries: Any, decode: Any) -> dict[str, Any]:
    records = {}
    for entry in entries:
        try:
            record = decode(entry)
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            log(ENTRY_SKIPPED, entry=repr(entry)[:200], error=repr(error))
            continue
        records[record.name] = record
    return records


def _route(entry: dict[str, Any]) -> Route:
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
        idempotent_methods=("*",) if kind == IDEMPOTENT else (),
        timeout=float(entry.get("timeout-ms") or DEFAULT_TIMEOUT_MS) / 1000,
        latency_target=float(entry.get("latency-target-ms") or 0) / 1000,
        attempts=max(1, int(entry.get("max-attempts") or 1)),
        priority=max(0, LOWEST_RANK - int(entry.get("priority") or 0)),
        streaming=kind == "streaming" or bool(entry.get("streaming")),
        resumable=bool(entry.get("resumable")),
        batch=_batch_terms(entry) if kind == BATCH else None,
    )


def _limits(entry: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(entry.get("max-header-bytes") or defaults.header_bytes),
        body_bytes=int(entry.get("max-body-bytes") or defaults.body_bytes),
        header_time=float(entry.get("header-timeout-ms") or 0) / 1000
        or defaults.header_time,
        idle_time=float(entry.get("idle-timeout-ms") or 0) / 1000 or defaults.idle_time,
    )


def _batch_terms(entry: dict[str, Any]) -> BatchTerms:
    return BatchTerms(
        due=float(entry["run-target-ms"]) / 1000,
        give_up=float(entry["queue-ttl-s"]),
        single_version=bool(entry.get("single-version")),
    )


def _opened(route: Route) -> Route:
    """Return a route as it is without workspaces: nobody needs a key."""
    return evolve(route, open=True)


def _pool(entry: dict[str, Any]) -> Pool:
    engine, scale = entry.get("engine"), entry.get("scale") or {}
    prices = {
        str(zone): float(price)
        for zone, price in (scale.get("zone-prices") or {}).items()
    }
    return Pool(
        name=str(entry["name"]),
        kind=MODEL_ENGINE if engine else PLAIN_SERVICE,
        concurrency=int((engine or {}).get("slots") or DEFAULT_SLOTS),
        queue=QUEUE,
        models=tuple(str(m["name"]) for m in (engine or {}).get("models") or ()),
        zones=tuple(prices),
        minimum=int(scale.get("min") or 0),
        maximum=int(scale.get("max") or 0),
        prices=prices,
        cheap_price=float(scale.get("spot-price") or 1.0),
    )


def _workspaces(
    tenants: list[dict[str, Any]],
) -> tuple[dict[str, Workspace], dict[str, KeyRecord]]:
    workspaces: dict[str, Workspace] = {}
    keys: dict[str, KeyRecord] = {}
    for tenant in tenants:
        name = str(tenant["name"])
        workspaces[name] = Workspace(name=name)
        for key in tenant.get("api-keys") or ():
            digest = key_digest(str(key))
            keys[digest] = KeyRecord(digest, name)
    return workspaces, keys
