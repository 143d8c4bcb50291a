"""The operator's tables: routes, pools, workspaces and keys.

``text`` reads and writes them as INI; ``shards`` and ``head`` define how the store
keeps them; ``commands`` change them and ``queries`` read them; ``holder`` keeps
the snapshot in force.
"""

from .commands import (
    Accepted,
    RevisionConflict,
    change_tables,
    issue_key,
    new_change_id,
    withdraw_key,
)
from .diff import diff_tables, withdrawn_keys
from .holder import SnapshotHolder
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
from .queries import Malformed, read_head, read_snapshot
from .terms import BatchTerms, CallerLimits, PoolShare
from .text import parse_tables, render_tables, with_keys_of

__all__ = [
    "MODEL_ENGINE",
    "PLAIN_SERVICE",
    "Accepted",
    "BatchTerms",
    "CallerLimits",
    "KeyRecord",
    "Malformed",
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
    "diff_tables",
    "find_key",
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
