"""Tables cut into shards that are addressed by their content.

A change of the tables replaces only the shards that it touches, so that a delta
for a daemon is the set of shards that it lacks. A shard is never overwritten:
its name in the store is the digest of its content.
"""

import hashlib
import re
from collections.abc import Mapping

import orjson
from attrs import evolve

from .model import KeyRecord, Pool, Route, Tables, Workspace, converter, structure
from .text import parse_tables, render_tables

__all__ = ["cut", "join", "shard_digest"]

KEY_BUCKETS = "0123456789abcdef"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


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
        A shard is malformed, missing or has an unknown name, or the tables would
        not be accepted from an operator.
    """
    pools: dict[str, Pool] = {}
    keys: dict[str, KeyRecord] = {}
    for name, content in shards.items():
        if name.startswith("pool/"):
            pool = structure(Pool, _decode(content))
            if name != f"pool/{pool.name}":
                raise ValueError(f"shard {name!r} holds pool {pool.name!r}")
            pools[pool.name] = pool
        elif name.startswith("keys/"):
            keys.update(_join_keys(name, content))
        elif name not in ("workspaces", "routes"):
            raise ValueError(f"unknown shard {name!r}")
    try:
        workspaces = structure(list[Workspace], _decode(shards["workspaces"]))
        routes = structure(list[Route], _decode(shards["routes"]))
    except KeyError as error:
        raise ValueError(f"shard {error} is missing") from None
    tables = Tables(
        workspaces={record.name: record for record in workspaces},
        routes={record.name: record for record in routes},
        pools=pools,
        keys=keys,
    )
    _check(tables)
    return tables


def _join_keys(name: str, content: bytes) -> dict[str, KeyRecord]:
    records = structure(list[KeyRecord], _decode(content))
    for record in records:
        if not DIGEST_PATTERN.fullmatch(record.digest):
            raise ValueError(f"shard {name!r} holds an invalid digest")
        if name != f"keys/{record.digest[0]}":
            raise ValueError(f"shard {name!r} holds a key of another bucket")
    return {record.digest: record for record in records}


def _check(tables: Tables) -> None:
    """Raise unless an operator could have given these tables.

    The form of the records alone does not limit their values; reading the tables
    back from their text applies every check of the operators' files.
    """
    try:
        copy = parse_tables(render_tables(tables), "tables")
    except ExceptionGroup as group:
        raise ValueError("; ".join(str(error) for error in group.exceptions)) from None
    if evolve(copy, keys=tables.keys) != tables:
        raise ValueError("the tables change when they are written out as text")
    for record in tables.keys.values():
        if record.workspace not in tables.workspaces:
            raise ValueError(f"key {record.key_id} has no workspace")


def _encode(value: object) -> bytes:
    return orjson.dumps(converter.unstructure(value), option=orjson.OPT_SORT_KEYS)


def _decode(content: bytes) -> object:
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"shard is not valid JSON: {error}") from None
