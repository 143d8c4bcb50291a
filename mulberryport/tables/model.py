"""The operator's tables as immutable data."""

from collections.abc import Mapping
from typing import Any

import cattrs
from attrs import field, frozen

from ..settings.ini import (
    address,
    choice,
    identifier,
    listing,
    number,
    option,
    switch,
)
from .terms import BatchTerms, CallerLimits, PoolShare

__all__ = [
    "MODEL_ENGINE",
    "PLAIN_SERVICE",
    "KeyRecord",
    "Pool",
    "Route",
    "Snapshot",
    "Tables",
    "TargetSpec",
    "Workspace",
    "converter",
]

MODEL_ENGINE = "model-engine"
PLAIN_SERVICE = "plain-service"
ALL_WORKSPACES = "*"
ALL_METHODS = "*"
NAME = "letters, digits, dots, hyphens and underscores"
TARGET = (
    "lines of: TARGET ID, ADDRESS, ZONE, then any of cheap, on-demand, fencing, "
    "no-fencing"
)
# One converter for all records, so that a stored value with unknown or missing
# fields is refused in the same way everywhere.
converter = cattrs.Converter(forbid_extra_keys=True)


def _target(value: str) -> "TargetSpec":
    words = value.split()
    flags = words[3:]
    if len(words) < 3:
        raise ValueError(f"{value!r} is not a target")
    unknown = set(flags) - {"cheap", "on-demand", "fencing", "no-fencing"}
    if unknown:
        raise ValueError(f"unknown word {sorted(unknown)[0]!r} for a target")
    if {"cheap", "on-demand"} <= set(flags) or {"fencing", "no-fencing"} <= set(flags):
        raise ValueError(f"{value!r} contradicts itself")
    return TargetSpec(
        id=identifier(words[0]),
        address=address(words[1]),
        zone=identifier(words[2]),
        cheap="cheap" in flags,
        checks_fencing="fencing" in flags,
    )


def _workspaces(value: str) -> tuple[str, ...]:
    if value.strip() == ALL_WORKSPACES:
        return (ALL_WORKSPACES,)
    return listing(identifier)(value)


def _path(value: str) -> str:
    if not value.startswith("/") or any(letter.isspace() for letter in value):
        raise ValueError(f"{value!r} is not a path")
    if value == "/v1" or value.startswith("/v1/"):
        raise ValueError("paths below /v1/ belong to the trainers' interface")
    return value


def _host(value: str) -> str:
    if not value or any(letter.isspace() or letter == "/" for letter in value):
        raise ValueError(f"{value!r} is not a host name")
    return value.lower()


def _method(value: str) -> str:
    if value == ALL_METHODS:
        return value
    if not value.isalpha() or not value.isupper():
        raise ValueError(f"{value!r} is not an HTTP method")
    return value


@frozen(kw_only=True)
class Workspace:
    """A tenant.

    Parameters
    ----------
    name : str
        Unique name; also names the workspace in usage reports.
    weight : float
        Share of a contended pool, relative to other workspaces.
    """

    name: str
    weight: float = option(
        number(0.01, 1000), "a number from 0.01 to 1000", default=1.0
    )


@frozen
class TargetSpec:
    """A target as the pool table names it.

    Parameters
    ----------
    id : str
        Unique id of the target.
    address : str
        IP number and port.
    zone : str
        Availability zone.
    cheap : bool
        Whether the platform may reclaim it at short notice.
    checks_fencing : bool
        Whether it refuses orders with an old fencing number.
    """

    id: str
    address: str
    zone: str
    cheap: bool = False
    checks_fencing: bool = False


@frozen(kw_only=True)
class Route:
    """Which callers reach which pool.

    Parameters
    ----------
    name : str
        Unique name.
    path : str
        Requests whose path starts with this prefix; the longest match wins.
    pool : str
        Name of the pool that serves the route.
    workspaces : tuple of str
        Workspaces that may use it; ``('*',)`` admits all.
    open : bool
        Whether requests without a key are admitted.
    host : str
        Requests to this host only; empty for any host.
    idempotent_methods : tuple of str
        Methods that may be retried; ``('*',)`` stands for all.
    timeout : float
        Seconds until an answer must be complete.
    latency_target : float
        Seconds within which an answer is of full use; 0 if that is not known.
    attempts : int
        Targets at most to which a request may be sent.
    priority : int
        0 to 9; a higher value is served first.
    split : tuple of PoolShare
        Pools that share the requests; empty if ``pool`` serves all of them.
    batch : BatchTerms or None
        Terms of batch jobs, if the route takes such.
    streaming, resumable : bool
        Whether answers are event streams, and whether these may go on elsewhere.
    """

    name: str
    path: str = option(_path, "a path that starts with /, but not with /v1/")
    pool: str = option(identifier, NAME)
    workspaces: tuple[str, ...] = option(
        _workspaces, "workspace names, or *", default=()
    )
    open: bool = option(switch, "yes or no", default=False)
    idempotent_methods: tuple[str, ...] = option(
        listing(_method), "HTTP methods", default=("GET", "HEAD", "OPTIONS")
    )
    timeout: float = option(number(0.1, 3600), "seconds from 0.1 to 3600", default=60.0)
    priority: int = option(number(0, 9, int), "0 to 9", default=5)
    host: str = option(_host, "a host name", default="")
    latency_target: float = option(
        number(0, 3600), "seconds from 0 to 3600", default=0.0
    )
    attempts: int = option(number(1, 10, int), "1 to 10", default=3)
    split: tuple[PoolShare, ...] = ()
    batch: BatchTerms | None = None
    streaming: bool = False
    resumable: bool = False

    def is_idempotent(self, method: str) -> bool:
        """Whether a request with this method may run more than once."""
        methods = self.idempotent_methods
        return method in methods or ALL_METHODS in methods

    def pool_for(self, draw: float) -> str:
        """Return the pool of a request.

        Parameters
        ----------
        draw : float
            Number from 0 to 1, evenly distributed over the requests.

        Examples
        --------
        >>> shares = (PoolShare("old", 9), PoolShare("new", 1))
        >>> Route(name="r", path="/", pool="old", split=shares).pool_for(0.95)
        'new'
        """
        left = draw * sum(share.weight for share in self.split)
        for share in self.split:
            left -= share.weight
            if left < 0:
                return share.pool
        return self.split[-1].pool if self.split else self.pool


@frozen(kw_only=True)
class Pool:
    """Which targets serve a route.

    Parameters
    ----------
    name : str
        Unique name.
    kind : {'model-engine', 'plain-service'}
        What the targets are.
    targets : tuple of TargetSpec
        Targets that exist without an order of the system.
    zones : tuple of str
        Zones in which the system orders further targets.
    minimum, maximum : int
        Ordered targets in each of these zones.
    cheap_share : float
        Largest part of the ordered targets that may be cheap, 0 to 1.
    spending : float
        Largest price of all ordered targets, in on-demand targets; 0 is no bound.
    concurrency : int
        Initial limit of requests in flight at one target.
    queue : int
        Requests that may wait in one daemon; further ones are shed.
    checks_fencing : bool
        Whether ordered targets refuse orders with an old fencing number.
    models : tuple of str
        Models that its engines hold.
    prices : mapping of str to float
        Price of an on-demand target by availability zone, relative to others.
    cheap_price : float
        Price of a cheap target as a part of that of an on-demand one.
    """

    name: str
    kind: str = option(
        choice(MODEL_ENGINE, PLAIN_SERVICE), f"{MODEL_ENGINE} or {PLAIN_SERVICE}"
    )
    targets: tuple[TargetSpec, ...] = option(listing(_target), TARGET, default=())
    zones: tuple[str, ...] = option(listing(identifier), "zone names", default=())
    minimum: int = option(number(0, 10000, int), "0 to 10000", default=0)
    maximum: int = option(number(0, 10000, int), "0 to 10000", default=0)
    cheap_share: float = option(number(0, 1), "0 to 1", default=0.0)
    spending: float = option(number(0, 1e9), "0 to 1e9", default=0.0)
    concurrency: int = option(number(1, 10000, int), "1 to 10000", default=16)
    queue: int = option(number(0, 100000, int), "0 to 100000", default=256)
    checks_fencing: bool = option(switch, "yes or no", default=False)
    models: tuple[str, ...] = ()
    prices: Mapping[str, float] = field(factory=dict)
    cheap_price: float = 1.0


@frozen
class KeyRecord:
    """A key that was issued to a workspace.

    Parameters
    ----------
    digest : str
        SHA-256 of the key, in hexadecimal. The key itself is not kept.
    workspace : str
        The workspace that it authenticates.
    """

    digest: str
    workspace: str

    @property
    def key_id(self) -> str:
        """A short public name of the key, for operators and logs."""
        return self.digest[:12]


@frozen
class Tables:
    """Everything that operators declare."""

    workspaces: Mapping[str, Workspace] = field(factory=dict)
    routes: Mapping[str, Route] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    keys: Mapping[str, KeyRecord] = field(factory=dict)
    limits: CallerLimits = field(factory=CallerLimits)


@frozen
class Snapshot:
    """One accepted revision of the tables.

    Parameters
    ----------
    revision : int
        Rises by at least one with each accepted change; 0 is the empty start.
    change_id : str
        Id of the change that made it.
    tables : Tables
        The content.
    shards : mapping of str to str
        Digest of each shard by its name.
    """

    revision: int = 0
    change_id: str = ""
    tables: Tables = field(factory=Tables)
    shards: Mapping[str, str] = field(factory=dict)


def structure(cls: type, value: Any) -> Any:
    """Build a record from decoded JSON.

    Raises
    ------
    ValueError
        The value does not have the form of the record.
    """
    try:
        return converter.structure(value, cls)
    except Exception as error:
        raise ValueError(f"not a valid {cls.__name__}: {error!r}") from error
