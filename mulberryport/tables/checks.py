"""Checks across the sections of the tables."""

from collections import Counter
from collections.abc import Mapping

from ..settings.errors import FileFault
from .model import ALL_WORKSPACES, Pool, Route, Tables

__all__ = ["find_faults"]


def find_faults(
    tables: Tables, file: str, names: Mapping[str, set[str]] | None = None
) -> list[FileFault]:
    """Return every contradiction between sections.

    Parameters
    ----------
    tables : Tables
        What to check.
    file : str
        Name of the source, for faults.
    names : mapping of str to set of str, optional
        Names that exist by kind, where more exist than the tables hold.
    """
    known = names or {
        "workspace": set(tables.workspaces),
        "pool": set(tables.pools),
    }
    faults = []
    for route in tables.routes.values():
        faults.extend(_route_faults(route, known, file))
    for pool in tables.pools.values():
        faults.extend(_pool_faults(pool, file))
    paths = Counter(route.path for route in tables.routes.values())
    for route in tables.routes.values():
        if paths[route.path] > 1:
            message = f"path {route.path} is used by more than one route"
            faults.append(FileFault(file, f"route {route.name}", "path", message))
    faults.extend(_target_faults(tables, file))
    return faults


def _route_faults(
    route: Route, known: Mapping[str, set[str]], file: str
) -> list[FileFault]:
    section = f"route {route.name}"
    faults = []
    if route.pool not in known["pool"]:
        accepted = ", ".join(sorted(known["pool"])) or "no pool is defined"
        message = f"pool {route.pool!r} does not exist; accepted: {accepted}"
        faults.append(FileFault(file, section, "pool", message))
    for name in route.workspaces:
        if name != ALL_WORKSPACES and name not in known["workspace"]:
            message = f"workspace {name!r} does not exist"
            faults.append(FileFault(file, section, "workspaces", message))
    if not route.workspaces and not route.open:
        message = "nobody is admitted; name workspaces or set open = yes"
        faults.append(FileFault(file, section, "workspaces", message))
    return faults


def _pool_faults(pool: Pool, file: str) -> list[FileFault]:
    section = f"pool {pool.name}"
    faults = []
    if not pool.targets and not pool.zones:
        message = "the pool has neither targets nor zones to order them in"
        faults.append(FileFault(file, section, "targets", message))
    if pool.minimum > pool.maximum:
        message = f"minimum {pool.minimum} is above maximum {pool.maximum}"
        faults.append(FileFault(file, section, "minimum", message))
    if pool.zones and not pool.maximum:
        message = "zones to order targets in need a maximum above 0"
        faults.append(FileFault(file, section, "maximum", message))
    return faults


def _target_faults(tables: Tables, file: str) -> list[FileFault]:
    specs: dict[str, str] = {}
    faults = []
    for pool in tables.pools.values():
        ids = Counter(target.id for target in pool.targets)
        for target in pool.targets:
            section = f"pool {pool.name}"
            if ids[target.id] > 1:
                message = f"target {target.id} is listed twice"
                faults.append(FileFault(file, section, "targets", message))
            if specs.setdefault(target.id, target.address) != target.address:
                message = f"target {target.id} has another address in another pool"
                faults.append(FileFault(file, section, "targets", message))
    return faults
