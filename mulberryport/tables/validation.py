"""Validation of the tables across sections."""

from collections import Counter
from collections.abc import Mapping

from ..settings.errors import Diagnostic
from .model import ALL_WORKSPACES, Pool, Route, Tables

__all__ = ["validate_tables"]


def validate_tables(
    tables: Tables, file: str, names: Mapping[str, set[str]] | None = None
) -> list[Diagnostic]:
    """Return every inconsistency within and between sections.

    Parameters
    ----------
    tables : Tables
        The tables to validate.
    file : str
        Name of the source, for the diagnostics.
    names : mapping of str to set of str, optional
        Existing names by section kind, if they are more than those in ``tables``.
    """
    names_by_kind = names or {
        "workspace": set(tables.workspaces),
        "pool": set(tables.pools),
    }
    diagnostics = []
    for route in tables.routes.values():
        diagnostics.extend(_validate_route(route, names_by_kind, file))
    for pool in tables.pools.values():
        diagnostics.extend(_validate_pool(pool, file))
    paths = Counter(route.path for route in tables.routes.values())
    for route in tables.routes.values():
        if paths[route.path] > 1:
            message = f"path {route.path} is used by several routes"
            diagnostics.append(Diagnostic(file, f"route {route.name}", "path", message))
    diagnostics.extend(_validate_targets(tables, file))
    return diagnostics


def _validate_route(
    route: Route, names_by_kind: Mapping[str, set[str]], file: str
) -> list[Diagnostic]:
    section = f"route {route.name}"
    diagnostics = []
    if route.pool not in names_by_kind["pool"]:
        accepted = ", ".join(sorted(names_by_kind["pool"])) or "no pool is defined"
        message = f"pool {route.pool!r} does not exist; accepted: {accepted}"
        diagnostics.append(Diagnostic(file, section, "pool", message))
    for name in route.workspaces:
        if name != ALL_WORKSPACES and name not in names_by_kind["workspace"]:
            message = f"workspace {name!r} does not exist"
            diagnostics.append(Diagnostic(file, section, "workspaces", message))
    if not route.workspaces and not route.open:
        message = "no caller is admitted; list workspaces or set open = yes"
        diagnostics.append(Diagnostic(file, section, "workspaces", message))
    return diagnostics


def _validate_pool(pool: Pool, file: str) -> list[Diagnostic]:
    section = f"pool {pool.name}"
    diagnostics = []
    if not pool.targets and not pool.zones:
        message = "the pool has neither targets nor zones in which to order them"
        diagnostics.append(Diagnostic(file, section, "targets", message))
    if pool.minimum > pool.maximum:
        message = f"minimum {pool.minimum} is above maximum {pool.maximum}"
        diagnostics.append(Diagnostic(file, section, "minimum", message))
    if pool.zones and not pool.maximum:
        message = "must be above 0 for a pool with zones"
        diagnostics.append(Diagnostic(file, section, "maximum", message))
    return diagnostics


def _validate_targets(tables: Tables, file: str) -> list[Diagnostic]:
    address_by_id: dict[str, str] = {}
    diagnostics = []
    for pool in tables.pools.values():
        ids = Counter(target.id for target in pool.targets)
        for target in pool.targets:
            section = f"pool {pool.name}"
            if ids[target.id] > 1:
                message = f"target {target.id} is listed twice"
                diagnostics.append(Diagnostic(file, section, "targets", message))
            if address_by_id.setdefault(target.id, target.address) != target.address:
                message = f"target {target.id} has a different address in another pool"
                diagnostics.append(Diagnostic(file, section, "targets", message))
    return diagnostics
