"""Configuration tables of the operator: routes, pools, workspaces and API keys.

``text`` parses and renders them as INI and ``validation`` checks them across
sections; ``shards`` and ``head`` define their stored form; ``commands`` change them
in the store and ``queries`` read them; ``holder`` keeps the snapshot in force.
"""

from .commands import (
    Accepted,
    RevisionConflict,
    change_tables,
    issue_key,
    new_change_id,
    withdraw_key,
)
from .comparison import Difference, compare_tables
from .diff import diff_tables, withdrawn_keys
from .holder import SnapshotHolder
from .inspection import ERROR, Finding, inspect_tables
from .keys import find_key, key_digest, new_key
from .model import (
    MODEL_ENGINE,
    PLAIN_SERVICE,
    KeyRecord,
    Pool,
    Route,
    Snapshot,
    Tables,
    TargetSpec,
    Workspace,
)
from .queries import MalformedRevision, read_head, read_snapshot
from .terms import BatchTerms, CallerLimits, PoolShare
from .text import parse_tables, render_tables, with_keys_of

__all__ = [
    "ERROR",
    "MODEL_ENGINE",
    "PLAIN_SERVICE",
    "Accepted",
    "BatchTerms",
    "CallerLimits",
    "Difference",
    "Finding",
    "KeyRecord",
    "MalformedRevision",
    "Pool",
    "PoolShare",
    "RevisionConflict",
    "Route",
    "Snapshot",
    "SnapshotHolder",
    "Tables",
    "TargetSpec",
    "Workspace",
    "change_tables",
    "compare_tables",
    "diff_tables",
    "find_key",
    "inspect_tables",
    "issue_key",
    "key_digest",
    "new_change_id",
    "new_key",
    "parse_tables",
    "read_head",
    "read_snapshot",
    "render_tables",
    "with_keys_of",
    "withdraw_key",
    "withdrawn_keys",
]
