"""Tables cut into shards that are addressed by their content.

A change of the tables replaces only the shards that it touches, so that a delta
for a daemon is the set of shards that it lacks. A shard is never overwritten:
its name in the store is the digest of its content.
"""

import hashlib
from collections.abc import Mapping

import orjson

from .model import KeyRecord, Pool, Route, Tables, Workspace, converter, structure

__all__ = ["cut", "join", "shard_digest"]

KEY_BUCKETS = "0123456789abcdef"


def shard_digest(content: bytes) -> str:
    """Return the digest that names a shard in the store."""
    return hashlib.sha256(content).hexdigest()


def cut(tables: Tables) -> dict[str, bytes]:
    """Return the content of each shard by its name.

    Examples
    --------
    >>> sorted(cut(Tables()))
    ['routes', 'workspaces']
    """
    shards = {
        "workspaces": _encode(list(tables.workspaces.values())),
        "routes": _encode(list(tables.routes.values())),
    }
    for pool in tables.pools.values():
        shards[f"pool/{pool.name}"] = _encode(pool)
    for bucket in KEY_BUCKETS:
        records = [
            tables.keys[digest] for digest in sorted(tables.keys) if digest[0] == bucket
        ]
        if records:
            shards[f"keys/{bucket}"] = _encode(records)
    return shards


def join(shards: Mapping[str, bytes]) -> Tables:
    """Return the tables that were cut into these shards.

    Raises
    ------
    ValueError
        A shard is malformed, missing or has an unknown name.
    """
    pools: dict[str, Pool] = {}
    keys: dict[str, KeyRecord] = {}
    for name, content in shards.items():
        if name.startswith("pool/"):
            pool = structure(Pool, _decode(content))
            pools[pool.name] = pool
        elif name.startswith("keys/"):
            for record in structure(list[KeyRecord], _decode(content)):
                keys[record.digest] = record
        elif name not in ("workspaces", "routes"):
            raise ValueError(f"unknown shard {name!r}")
    try:
        workspaces = structure(list[Workspace], _decode(shards["workspaces"]))
        routes = structure(list[Route], _decode(shards["routes"]))
    except KeyError as error:
        raise ValueError(f"shard {error} is missing") from None
    return Tables(
        workspaces={record.name: record for record in workspaces},
        routes={record.name: record for record in routes},
        pools=pools,
        keys=keys,
    )


def _encode(value: object) -> bytes:
    return orjson.dumps(converter.unstructure(value), option=orjson.OPT_SORT_KEYS)


def _decode(content: bytes) -> object:
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"shard is not valid JSON: {error}") from None
