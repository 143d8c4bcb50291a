"""Which route and workspace a request belongs to."""

from attrs import frozen

from ..tables import KeyRecord, Route, Tables, find_key
from ..tables.model import ALL_WORKSPACES
from .refusals import RefusalError

__all__ = ["Access", "authorize", "match_route", "still_admitted"]


@frozen
class Access:
    """A request that may run.

    Parameters
    ----------
    route : Route
        The route that admits it.
    workspace : str
        On whose behalf it runs; empty for a caller without a key.
    key_digest : str
        Digest of the key that came with it; empty without a key.
    """

    route: Route
    workspace: str
    key_digest: str


def match_route(tables: Tables, path: str, host: str = "") -> Route | None:
    """Return the route with the longest path that a request path starts with.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    path : str
        Path of the request.
    host : str
        Host of the request, with or without a port; routes of other hosts do not
        match.
    """
    name = host.partition(":")[0].lower()
    matching = [
        route
        for route in tables.routes.values()
        if path.startswith(route.path) and route.host in ("", name)
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def authorize(
    tables: Tables, route: Route, key: str | None, keys_usable: bool
) -> Access:
    """Return the access of a request to a route.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    route : Route
        The matching route.
    key : str or None
        The key that came with the request.
    keys_usable : bool
        False if this daemon cannot know whether keys were withdrawn.

    Raises
    ------
    RefusalError
        The request must not run.
    """
    if key is None:
        if route.open:
            return Access(route, "", "")
        raise RefusalError(401, "a key is required")
    if not keys_usable:
        if route.open:
            return Access(route, "", "")
        raise RefusalError(503, "keys cannot be checked at the moment")
    record: KeyRecord | None = find_key(tables, key)
    if record is None:
        raise RefusalError(401, "the key is not valid")
    if not route.open and not _admits(route, record.workspace):
        raise RefusalError(403, f"the key's workspace has no access to {route.name}")
    return Access(route, record.workspace, record.digest)


def still_admitted(tables: Tables, access: Access) -> bool:
    """Return whether a request that runs with a key may go on.

    A route that was removed refuses only new requests, so it takes no access away.
    """
    record = tables.keys.get(access.key_digest)
    if record is None or record.workspace != access.workspace:
        return False
    route = tables.routes.get(access.route.name)
    return route is None or route.open or _admits(route, access.workspace)


def _admits(route: Route, workspace: str) -> bool:
    return ALL_WORKSPACES in route.workspaces or workspace in route.workspaces
