"""Immutable records of the configuration tables."""

from collections.abc import Mapping
from typing import Any

import cattrs
from attrs import field, frozen

from ..settings.ini import (
    address,
    boolean,
    choice,
    identifier,
    list_of,
    number,
    option,
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
NAME_FORMAT = "letters, digits, dots, hyphens and underscores"
TARGET_FORMAT = (
    "lines of: TARGET ID, ADDRESS, ZONE, then any of cheap, on-demand, fencing, "
    "no-fencing"
)
# Shared by all records, so that stored values with unknown or missing fields are
# rejected in the same way everywhere.
converter = cattrs.Converter(forbid_extra_keys=True)


def _parse_target(value: str) -> "TargetSpec":
    words = value.split()
    flags = words[3:]
    if len(words) < 3:
        raise ValueError(f"{value!r} is not a target")
    unknown = set(flags) - {"cheap", "on-demand", "fencing", "no-fencing"}
    if unknown:
        raise ValueError(f"unknown target flag {sorted(unknown)[0]!r}")
    if {"cheap", "on-demand"} <= set(flags) or {"fencing", "no-fencing"} <= set(flags):
        raise ValueError(f"{value!r} has conflicting flags")
    return TargetSpec(
        id=identifier(words[0]),
        address=address(words[1]),
        zone=identifier(words[2]),
        cheap="cheap" in flags,
        checks_fencing="fencing" in flags,
    )


def _parse_workspaces(value: str) -> tuple[str, ...]:
    if value.strip() == ALL_WORKSPACES:
        return (ALL_WORKSPACES,)
    return list_of(identifier)(value)


def _parse_path(value: str) -> str:
    if not value.startswith("/") or any(character.isspace() for character in value):
        raise ValueError(f"{value!r} is not a path")
    if value == "/v1" or value.startswith("/v1/"):
        raise ValueError("paths below /v1/ are reserved for the trainer API")
    return value


def _parse_host(value: str) -> str:
    if not value or any(character.isspace() or character == "/" for character in value):
        raise ValueError(f"{value!r} is not a host name")
    return value.lower()


def _parse_method(value: str) -> str:
    if value == ALL_METHODS:
        return value
    if not value.isalpha() or not value.isupper():
        raise ValueError(f"{value!r} is not an HTTP method")
    return value


@frozen(kw_only=True)
class Workspace:
    """A tenant, whose requests are authenticated by its API keys.

    Parameters
    ----------
    name : str
        Unique name, which usage reports also use.
    weight : float
        Share of a contended pool, relative to the other workspaces.
    """

    name: str
    weight: float = option(
        number(0.01, 1000), "a number from 0.01 to 1000", default=1.0
    )


@frozen
class TargetSpec:
    """A statically configured target of a pool.

    Parameters
    ----------
    id : str
        Unique id of the target.
    address : str
        IPv4 address and port.
    zone : str
        Availability zone.
    cheap : bool
        Whether the platform may reclaim it at short notice.
    checks_fencing : bool
        Whether it rejects orders with a stale fencing number.
    """

    id: str
    address: str
    zone: str
    cheap: bool = False
    checks_fencing: bool = False


@frozen(kw_only=True)
class Route:
    """Rule that maps requests to a pool and limits who may send them.

    Parameters
    ----------
    name : str
        Unique name.
    path : str
        Path prefix of the requests; the longest matching prefix wins.
    pool : str
        Name of the pool that serves the route.
    workspaces : tuple of str
        Workspaces that may use the route; ``('*',)`` admits all.
    open : bool
        Whether requests without an API key are admitted.
    host : str
        Host name that requests must address; empty for any host.
    idempotent_methods : tuple of str
        Methods whose requests may be retried; ``('*',)`` stands for all.
    timeout : float
        Seconds within which a response must be complete.
    latency_target : float
        Seconds within which a response keeps its full value; 0 if not known.
    attempts : int
        Largest number of targets to which a request may be sent.
    priority : int
        0 to 9; requests with a higher value are served first.
    split : tuple of PoolShare
        Pools that share the requests by weight; empty if ``pool`` serves them all.
    batch : BatchTerms or None
        Deadlines of batch jobs, if the route accepts them.
    streaming, resumable : bool
        Whether responses are event streams, and whether an interrupted stream may
        continue on another target.
    """

    name: str
    path: str = option(_parse_path, "a path that starts with /, but not with /v1/")
    pool: str = option(identifier, NAME_FORMAT)
    workspaces: tuple[str, ...] = option(
        _parse_workspaces, "workspace names, or *", default=()
    )
    open: bool = option(boolean, "yes or no", default=False)
    idempotent_methods: tuple[str, ...] = option(
        list_of(_parse_method), "HTTP methods", default=("GET", "HEAD", "OPTIONS")
    )
    timeout: float = option(number(0.1, 3600), "seconds from 0.1 to 3600", default=60.0)
    priority: int = option(number(0, 9, int), "0 to 9", default=5)
    host: str = option(_parse_host, "a host name", default="")
    latency_target: float = option(
        number(0, 3600), "seconds from 0 to 3600", default=0.0
    )
    attempts: int = option(number(1, 10, int), "1 to 10", default=3)
    split: tuple[PoolShare, ...] = ()
    batch: BatchTerms | None = None
    streaming: bool = False
    resumable: bool = False

    @property
    def pools(self) -> frozenset[str]:
        """All pools that serve the route."""
        return frozenset({self.pool, *(share.pool for share in self.split)})

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request with this method may be executed repeatedly."""
        methods = self.idempotent_methods
        return method in methods or ALL_METHODS in methods

    def select_pool(self, fraction: float) -> str:
        """Return the pool for a request, chosen by the weights of ``split``.

        Parameters
        ----------
        draw : float
            Uniformly distributed number from 0 to 1, drawn for each request.

        Examples
        --------
        >>> shares = (PoolShare("old", 9), PoolShare("new", 1))
        >>> Route(name="r", path="/", pool="old", split=shares).select_pool(0.95)
        'new'
        """
        remaining_weight = fraction * sum(share.weight for share in self.split)
        for share in self.split:
            remaining_weight -= share.weight
            if remaining_weight < 0:
                return share.pool
        return self.split[-1].pool if self.split else self.pool


@frozen(kw_only=True)
class Pool:
    """Group of interchangeable targets that serve routes.

    Parameters
    ----------
    name : str
        Unique name.
    kind : {'model-engine', 'plain-service'}
        Type of the targets.
    targets : tuple of TargetSpec
        Static targets, which are not ordered from the platform.
    zones : tuple of str
        Availability zones in which further targets are ordered.
    minimum, maximum : int
        Bounds of the number of ordered targets in each of these zones.
    cheap_share : float
        Largest fraction of the ordered targets that may be cheap, 0 to 1.
    spending : float
        Largest total price of the ordered targets, in multiples of the on-demand
        price; 0 for no limit.
    concurrency : int
        Initial limit on requests in flight to one target.
    queue : int
        Queue length in one daemon; requests beyond it are shed.
    checks_fencing : bool
        Whether ordered targets reject orders with a stale fencing number.
    models : tuple of str
        Models that the engines of the pool serve.
    prices : mapping of str to float
        Relative price of an on-demand target by availability zone.
    cheap_price : float
        Price of a cheap target as a fraction of the on-demand price.
    tokens_per_event : int
        Tokens that an engine generates for one event of a stream.
    cache_tokens : int
        Tokens that an engine's memory holds, for running requests and for parts of
        prompts that it keeps; 0 if not known.
    cold_time : float
        Seconds for which a target is cold after it has started; 0 if it never is.
    cold_rate : float
        Requests per second that a cold target takes from all daemons together.
    """

    name: str
    kind: str = option(
        choice(MODEL_ENGINE, PLAIN_SERVICE), f"{MODEL_ENGINE} or {PLAIN_SERVICE}"
    )
    targets: tuple[TargetSpec, ...] = option(
        list_of(_parse_target), TARGET_FORMAT, default=()
    )
    zones: tuple[str, ...] = option(list_of(identifier), "zone names", default=())
    minimum: int = option(number(0, 10000, int), "0 to 10000", default=0)
    maximum: int = option(number(0, 10000, int), "0 to 10000", default=0)
    cheap_share: float = option(number(0, 1), "0 to 1", default=0.0)
    spending: float = option(number(0, 1e9), "0 to 1e9", default=0.0)
    concurrency: int = option(number(1, 10000, int), "1 to 10000", default=16)
    queue: int = option(number(0, 100000, int), "0 to 100000", default=256)
    checks_fencing: bool = option(boolean, "yes or no", default=False)
    models: tuple[str, ...] = ()
    prices: Mapping[str, float] = field(factory=dict)
    cheap_price: float = 1.0
    tokens_per_event: int = 1
    cache_tokens: int = 0
    cold_time: float = 0.0
    cold_rate: float = 0.0


@frozen
class KeyRecord:
    """API key issued to a workspace.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 digest of the key; the key itself is not stored.
    workspace : str
        Workspace that the key authenticates.
    """

    digest: str
    workspace: str

    @property
    def key_id(self) -> str:
        """Short non-secret id of the key for operators and logs."""
        return self.digest[:12]


@frozen
class Tables:
    """The complete configuration that operators declare."""

    workspaces: Mapping[str, Workspace] = field(factory=dict)
    routes: Mapping[str, Route] = field(factory=dict)
    pools: Mapping[str, Pool] = field(factory=dict)
    keys: Mapping[str, KeyRecord] = field(factory=dict)
    limits: CallerLimits = field(factory=CallerLimits)


@frozen
class Snapshot:
    """An accepted revision of the tables.

    Parameters
    ----------
    revision : int
        Increases with each accepted change; 0 for the initial empty tables.
    change_id : str
        Id of the change that created the revision.
    tables : Tables
        The tables of the revision.
    shards : mapping of str to str
        Digest by shard name.
    """

    revision: int = 0
    change_id: str = ""
    tables: Tables = field(factory=Tables)
    shards: Mapping[str, str] = field(factory=dict)


def structure_record(cls: type, value: Any) -> Any:
    """Build a record from decoded JSON.

    Raises
    ------
    ValueError
        The value does not match the fields of the record.
    """
    try:
        return converter.structure(value, cls)
    except Exception as error:
        raise ValueError(f"not a valid {cls.__name__}: {error!r}") from error
