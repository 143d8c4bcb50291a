"""Inspection of tables that are valid: entries without effect, and contradictions.

``validation`` refuses tables that cannot be used. What is found here can be used, but
does not do what its author meant.
"""

from collections import Counter
from collections.abc import Iterator

from attrs import frozen

from .model import ALL_WORKSPACES, Pool, Route, Tables

__all__ = ["CONTRADICTION", "ERROR", "NEVER_MATCHES", "Finding", "inspect_tables"]

ERROR = "error"
NEVER_MATCHES = "never matches"
CONTRADICTION = "contradiction"


@frozen
class Finding:
    """One finding of the inspection.

    Parameters
    ----------
    kind : {'error', 'never matches', 'contradiction'}
        What is wrong in principle.
    section, key : str
        Place, as in the text form of the tables; the key may be empty.
    message : str
        What is wrong.
    """

    kind: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        """Return the kind, the place and the message on one line."""
        place = f"[{self.section}] {self.key}".strip()
        return f"{self.kind}: {place}: {self.message}"


def inspect_tables(tables: Tables, has_keys: bool = True) -> list[Finding]:
    """Return the entries that can never match, and limits that contradict each other.

    Parameters
    ----------
    tables : Tables
        The tables.
    has_keys : bool
        Whether the tables contain the API keys; the text form does not.

    Examples
    --------
    >>> route = Route(name="r", path="/a/", pool="p", open=True, latency_target=9.0,
    ...               timeout=5.0)
    >>> tables = Tables(routes={"r": route}, pools={"p": Pool(name="p", kind="k")})
    >>> [finding.key for finding in inspect_tables(tables)]
    ['latency-target']
    """
    found: list[Finding] = []
    for route in tables.routes.values():
        found += _inspect_route(route, tables, has_keys)
    for pool in tables.pools.values():
        found += _inspect_pool(pool, tables)
    found += _find_hidden_routes(tables)
    found += _find_unused_workspaces(tables, has_keys)
    return found


def _inspect_route(route: Route, tables: Tables, has_keys: bool) -> Iterator[Finding]:
    section = f"route {route.name}"
    if not route.path.endswith("/"):
        message = (
            f"{route.path} does not end with a slash, so it matches longer names too"
        )
        yield Finding(CONTRADICTION, section, "path", message)
    if route.latency_target > route.timeout:
        message = (
            f"{route.latency_target:g} s are beyond the timeout of {route.timeout:g} s"
        )
        yield Finding(CONTRADICTION, section, "latency-target", message)
    if route.resumable and not route.streaming and route.batch is None:
        message = "only streams can be resumed, and the route has none"
        yield Finding(CONTRADICTION, section, "resumable", message)
    if route.batch is not None and route.batch.due > route.batch.give_up:
        message = (
            f"items are given up after {route.batch.give_up:g} s, before the results "
            f"are due after {route.batch.due:g} s"
        )
        yield Finding(CONTRADICTION, section, "give-up", message)
    for share in route.split:
        if share.weight <= 0:
            message = f"pool {share.pool} has the weight {share.weight:g}"
            yield Finding(NEVER_MATCHES, section, "split", message)
    if has_keys and not route.open and not _has_callers(route, tables):
        message = "no workspace that may use the route has a key"
        yield Finding(NEVER_MATCHES, section, "workspaces", message)


def _has_callers(route: Route, tables: Tables) -> bool:
    with_keys = {record.workspace for record in tables.keys.values()}
    if ALL_WORKSPACES in route.workspaces:
        return bool(with_keys)
    return not with_keys.isdisjoint(route.workspaces)


def _inspect_pool(pool: Pool, tables: Tables) -> Iterator[Finding]:
    section = f"pool {pool.name}"
    used = {route.pool for route in tables.routes.values() if not route.split}
    used |= {share.pool for route in tables.routes.values() for share in route.split}
    if pool.name not in used:
        yield Finding(NEVER_MATCHES, section, "", "no route uses the pool")
    if pool.minimum > pool.maximum:
        message = f"minimum {pool.minimum} is above maximum {pool.maximum}"
        yield Finding(CONTRADICTION, section, "minimum", message)
    if pool.cold_time > 0 and pool.cold_rate <= 0:
        message = f"targets are cold for {pool.cold_time:g} s, but take nothing then"
        yield Finding(CONTRADICTION, section, "cold-rate", message)
    # Cheap targets have no fixed price, so only the on-demand ones are counted.
    least = pool.minimum * len(pool.zones) * (1.0 - pool.cheap_share)
    if 0 < pool.spending < least - 1e-9:
        message = f"the minimum in {len(pool.zones)} zones costs more"
        yield Finding(CONTRADICTION, section, "spending", message)
    if pool.cheap_share and not pool.zones:
        message = "targets are ordered in no zone"
        yield Finding(NEVER_MATCHES, section, "cheap-share", message)


def _find_hidden_routes(tables: Tables) -> Iterator[Finding]:
    """Yield the routes that another route of the same path and host hides."""
    hosts = Counter((route.path, route.host) for route in tables.routes.values())
    for route in tables.routes.values():
        section = f"route {route.name}"
        if hosts[route.path, route.host] > 1:
            message = f"another route has the path {route.path} and the same host"
            yield Finding(NEVER_MATCHES, section, "path", message)
        elif route.host and hosts[route.path, ""]:
            message = f"a route for any host has the same path {route.path}"
            yield Finding(CONTRADICTION, section, "host", message)


def _find_unused_workspaces(tables: Tables, has_keys: bool) -> Iterator[Finding]:
    with_keys = {record.workspace for record in tables.keys.values()}
    for name in tables.workspaces:
        section = f"workspace {name}"
        if has_keys and name not in with_keys:
            yield Finding(NEVER_MATCHES, section, "", "the workspace has no key")
        allowed = (route.workspaces for route in tables.routes.values())
        if not any(ALL_WORKSPACES in names or name in names for names in allowed):
            yield Finding(NEVER_MATCHES, section, "", "no route admits the workspace")
