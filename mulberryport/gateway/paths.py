"""One reading of a request's path, for routing, authorization and forwarding.

Targets receive the path as the caller sent it, so that the route is selected by these
bytes. Targets may read them in other ways: decode them, once or again, resolve segments
of dots, or drop parameters. A path that belongs to another route in one of these
readings is ambiguous and never reaches a target.

Source: RFC 3986, sections 3.3 and 5.2.4.
"""

import re
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

from ..tables import Route, Tables
from .refusals import RefusalError

__all__ = [
    "AmbiguousPathError",
    "check_path",
    "match_route",
    "path_readings",
    "request_path",
]

# Such a path has one reading: no encoding, parameters, empty segments or dots.
SIMPLE_PATH = re.compile(
    r"(/[A-Za-z0-9_~!$&'()*+,=:@-][A-Za-z0-9._~!$&'()*+,=:@-]*)*/?"
)
SENDABLE_PATH = re.compile(r"/[\x21-\x7e]*")
# A path with more readings was made to have them.
MAX_READINGS = 64
MAX_SHOWN_CHARS = 40


class AmbiguousPathError(ValueError):
    """A path belongs to different routes, depending on how it is read.

    Parameters
    ----------
    message : str
        What is ambiguous.
    route : Route, optional
        Route to which the path belongs as it was sent.
    """

    def __init__(self, message: str, route: Route | None = None) -> None:
        super().__init__(message)
        self.route = route


def request_path(environ: dict[str, Any]) -> str:
    """Return the path of a request as its target will receive it.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Raises
    ------
    RefusalError
        The path cannot be forwarded as it is.
    """
    try:
        return check_path(environ.get("RAW_PATH_INFO") or environ["PATH_INFO"])
    except ValueError as error:
        raise RefusalError(400, str(error)) from error


def check_path(path: str) -> str:
    """Return a path, if it can be sent in a request line.

    Raises
    ------
    ValueError
        It is not absolute, or has spaces, control characters or other scripts.
    """
    if not SENDABLE_PATH.fullmatch(path):
        raise ValueError(f"the path {path[:MAX_SHOWN_CHARS]!r} cannot be sent")
    return path


def match_route(tables: Tables, path: str, host: str = "") -> Route | None:
    """Return the route with the longest path that is a prefix of the request's path.

    Parameters
    ----------
    tables : Tables
        Current tables.
    path : str
        Path of the request, as it was sent.
    host : str
        Host of the request, with or without a port. Routes that name another host
        do not match.

    Raises
    ------
    AmbiguousPathError
        In another reading the path belongs to another route, or to none.
    """
    name = host.partition(":")[0].lower()
    matching = [
        route
        for route in tables.routes.values()
        if path.startswith(route.path) and route.host in ("", name)
    ]
    route = max(matching, key=_path_length, default=None)
    try:
        readings = path_readings(path) if route is not None else ()
    except AmbiguousPathError as error:
        raise AmbiguousPathError(str(error), route) from error
    if readings:
        # The path of a route may have several readings itself.
        prefixes = [
            (other, (other.path, *path_readings(other.path)))
            for other in tables.routes.values()
            if other.host in ("", name)
        ]
        if any(_match_reading(prefixes, reading) is not route for reading in readings):
            raise AmbiguousPathError(
                f"the path is ambiguous for the route {route.name}", route
            )
    return route


def path_readings(path: str) -> set[str]:
    r"""Return the ways in which a target may read a path, besides the path itself.

    Parameters
    ----------
    path : str
        Path as it was sent.

    Raises
    ------
    AmbiguousPathError
        There are too many.

    Examples
    --------
    >>> path_readings("/desk/a-7")
    set()
    >>> sorted(path_readings("/desk%2f..%5Ca"))
    ['/a', '/desk/../a', '/desk/..\\a']
    """
    if SIMPLE_PATH.fullmatch(path):
        return set()
    found, pending = {path}, [path]
    while pending:
        reading = pending.pop()
        for read in READINGS:
            other = read(reading)
            if other not in found:
                found.add(other)
                pending.append(other)
        if len(found) > MAX_READINGS:
            raise AmbiguousPathError("the path has too many readings")
    return found - {path}


def _match_reading(
    prefixes: Iterable[tuple[Route, tuple[str, ...]]], reading: str
) -> Route | None:
    """Return the route to which a reading of a path belongs."""
    matching = (route for route, paths in prefixes if reading.startswith(paths))
    return max(matching, key=_path_length, default=None)


def _path_length(route: Route) -> int:
    return len(route.path)


def _decode(path: str) -> str:
    return unquote(path, encoding="latin-1")


def _convert_backslashes(path: str) -> str:
    return path.replace("\\", "/")


def _drop_parameters(path: str) -> str:
    return re.sub(r";[^/]*", "", path)


def _drop_query(path: str) -> str:
    return re.split(r"[?#]", path, maxsplit=1)[0]


def _merge_slashes(path: str) -> str:
    return re.sub(r"//+", "/", path)


def _resolve_dots(path: str) -> str:
    *segments, last = path.split("/")
    resolved: list[str] = []
    for segment in [*segments, "" if last in (".", "..") else last]:
        if segment == ".." and resolved:
            resolved.pop()
        elif segment not in (".", ".."):
            resolved.append(segment)
    if last == ".." and len(resolved) > 1:
        del resolved[-2]
    joined = "/".join(resolved)
    return joined if joined.startswith("/") else f"/{joined}"


READINGS: tuple[Callable[[str], str], ...] = (
    _decode,
    _convert_backslashes,
    _drop_parameters,
    _drop_query,
    _merge_slashes,
    _resolve_dots,
)
