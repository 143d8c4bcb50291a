"""Content-addressed shards of the tables.

A change replaces only the shards that it affects, so that a daemon fetches only
the shards that it lacks. Shards are immutable: the key of a shard in the store is
the digest of its content.
"""

import hashlib
import re
from collections.abc import Mapping

import orjson
from attrs import evolve

from .model import (
    KeyRecord,
    Pool,
    Route,
    Tables,
    Workspace,
    converter,
    structure_record,
)
from .text import parse_tables, render_tables

__all__ = ["join_shards", "shard_digest", "split_tables"]

KEY_BUCKETS = "0123456789abcdef"
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


def shard_digest(content: bytes) -> str:
    """Return the digest that is the key of a shard in the store."""
    return hashlib.sha256(content).hexdigest()


def split_tables(tables: Tables) -> dict[str, bytes]:
    """Split the tables into shards and return their content by name.

    Examples
    --------
    >>> sorted(split_tables(Tables()))
    ['routes', 'workspaces']
    """
    shards = {
        "workspaces": _encode_records(list(tables.workspaces.values())),
        "routes": _encode_records(list(tables.routes.values())),
    }
    for pool in tables.pools.values():
        shards[f"pool/{pool.name}"] = _encode_records(pool)
    for bucket in KEY_BUCKETS:
        records = [
            tables.keys[digest] for digest in sorted(tables.keys) if digest[0] == bucket
        ]
        if records:
            shards[f"keys/{bucket}"] = _encode_records(records)
    return shards


def join_shards(shards: Mapping[str, bytes]) -> Tables:
    """Parse and validate the shards of a revision and return its tables.

    Raises
    ------
    ValueError
        A shard is malformed, missing or has an unknown name, or the tables are
        invalid.
    """
    pools: dict[str, Pool] = {}
    keys: dict[str, KeyRecord] = {}
    for name, content in shards.items():
        if name.startswith("pool/"):
            pool = structure_record(Pool, _decode_json(content))
            if name != f"pool/{pool.name}":
                raise ValueError(f"shard {name!r} holds pool {pool.name!r}")
            pools[pool.name] = pool
        elif name.startswith("keys/"):
            keys.update(_decode_key_shard(name, content))
        elif name not in ("workspaces", "routes"):
            raise ValueError(f"unknown shard {name!r}")
    try:
        workspaces = structure_record(
            list[Workspace], _decode_json(shards["workspaces"])
        )
        routes = structure_record(list[Route], _decode_json(shards["routes"]))
    except KeyError as error:
        raise ValueError(f"shard {error} is missing") from None
    tables = Tables(
        workspaces={record.name: record for record in workspaces},
        routes={record.name: record for record in routes},
        pools=pools,
        keys=keys,
    )
    _ensure_valid(tables)
    return tables


def _decode_key_shard(name: str, content: bytes) -> dict[str, KeyRecord]:
    records = structure_record(list[KeyRecord], _decode_json(content))
    for record in records:
        if not DIGEST_PATTERN.fullmatch(record.digest):
            raise ValueError(f"shard {name!r} holds an invalid digest")
        if name != f"keys/{record.digest[0]}":
            raise ValueError(
                f"shard {name!r} holds a key that belongs to another bucket"
            )
    return {record.digest: record for record in records}


def _ensure_valid(tables: Tables) -> None:
    """Raise unless the tables would be accepted as an operator's file.

    Structuring checks only the types of the fields; rendering the tables to text
    and parsing them again applies all validation of operators' files.
    """
    try:
        copy = parse_tables(render_tables(tables), "tables")
    except ExceptionGroup as group:
        raise ValueError("; ".join(str(error) for error in group.exceptions)) from None
    if evolve(copy, keys=tables.keys) != tables:
        raise ValueError("tables do not round-trip through their text form")
    for record in tables.keys.values():
        if record.workspace not in tables.workspaces:
            raise ValueError(f"workspace of key {record.key_id} does not exist")


def _encode_records(value: object) -> bytes:
    return orjson.dumps(converter.unstructure(value), option=orjson.OPT_SORT_KEYS)


def _decode_json(content: bytes) -> object:
    try:
        return orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ValueError(f"shard is not valid JSON: {error}") from None
