"""Authorization of requests for their routes."""

from attrs import frozen

from ..tables import KeyRecord, Route, Tables, find_key
from ..tables.model import ALL_WORKSPACES
from .refusals import RefusalError

__all__ = ["Access", "authorize", "is_still_authorized"]


@frozen
class Access:
    """Route and identity that a request is authorized for.

    Parameters
    ----------
    route : Route
        Matching route.
    workspace : str
        Workspace of the caller; empty for a caller without a key.
    key_digest : str
        Digest of the key that came with the request; empty without a key.
    """

    route: Route
    workspace: str
    key_digest: str


def authorize(
    tables: Tables, route: Route, key: str | None, keys_usable: bool
) -> Access:
    """Authorize a request for a route.

    Parameters
    ----------
    tables : Tables
        Current tables.
    route : Route
        Matching route.
    key : str or None
        Key that came with the request.
    keys_usable : bool
        Whether this daemon is up to date on withdrawn keys.

    Raises
    ------
    RefusalError
        The request is not authorized.
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
    if not route.open and not _allows_workspace(route, record.workspace):
        raise RefusalError(403, f"the key's workspace has no access to {route.name}")
    return Access(route, record.workspace, record.digest)


def is_still_authorized(tables: Tables, access: Access) -> bool:
    """Return whether a running request with a key may continue.

    The removal of a route affects new requests only; running ones keep their access.
    """
    record = tables.keys.get(access.key_digest)
    if record is None or record.workspace != access.workspace:
        return False
    route = tables.routes.get(access.route.name)
    return route is None or route.open or _allows_workspace(route, access.workspace)


def _allows_workspace(route: Route, workspace: str) -> bool:
    return ALL_WORKSPACES in route.workspaces or workspace in route.workspaces
