"""Changes of the tables, accepted by compare-and-swap of the head."""

import secrets
from collections.abc import Callable

from attrs import evolve, frozen

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..store import Conflict, StoreClient
from .head import HEAD_KEY, HISTORY_LENGTH, SHARD_PREFIX, Head, encode_head
from .keys import key_digest, new_key
from .model import KeyRecord, Snapshot, Tables
from .queries import assemble, read_head, read_shard
from .shards import cut, shard_digest

__all__ = [
    "Accepted",
    "RevisionConflict",
    "change_tables",
    "issue_key",
    "new_change_id",
    "withdraw_key",
]

CONFLICT_RETRIES = 8


@frozen
class Accepted:
    """A change is in force.

    Parameters
    ----------
    revision : int
        The revision that contains it.
    change_id : str
        Its id.
    """

    revision: int
    change_id: str


@frozen
class RevisionConflict:
    """The tables changed since the revision that the change was prepared against."""

    expected: int
    actual: int


def new_change_id() -> str:
    """Return a random id for a change."""
    return secrets.token_hex(8)


def change_tables(
    store: StoreClient,
    change: Callable[[Tables], Tables],
    *,
    change_id: str,
    base: int | None = None,
    after: int = 0,
) -> Outcome[Accepted | RevisionConflict]:
    """Change the accepted tables.

    Parameters
    ----------
    store : StoreClient
        The store.
    change : callable
        Returns the new tables from the current ones.
    change_id : str
        Id of this change. Repeating a call with the same id is safe.
    base : int, optional
        Refuse unless this is the current revision. Without it, a change that
        lost a race is prepared again on the newer tables.
    after : int
        The new revision is higher than this one, which repairs a store that was
        restored from an old copy.
    """
    result: Outcome[Accepted | RevisionConflict] = NotDone("no attempt was made")
    for _ in range(CONFLICT_RETRIES):
        result = _attempt(store, change, change_id, base, after)
        if isinstance(result, Unknown):
            return _settle(store, change_id, result)
        lost = isinstance(result, Done) and isinstance(result.value, RevisionConflict)
        if not lost or base is not None:
            return result
    return result


def issue_key(
    store: StoreClient, workspace: str, *, change_id: str
) -> tuple[str, Outcome[Accepted | RevisionConflict]]:
    """Issue a key to a workspace.

    Returns
    -------
    key : str
        The key, which cannot be shown again.
    outcome : Outcome
        Whether it is in force.

    Raises
    ------
    LookupError
        The workspace does not exist.
    """
    key = new_key()
    record = KeyRecord(key_digest(key), workspace)

    def change(tables: Tables) -> Tables:
        if workspace not in tables.workspaces:
            raise LookupError(f"workspace {workspace!r} does not exist")
        return evolve(tables, keys={**tables.keys, record.digest: record})

    return key, change_tables(store, change, change_id=change_id)


def withdraw_key(
    store: StoreClient, key_id: str, *, change_id: str
) -> Outcome[Accepted | RevisionConflict]:
    """Withdraw the key with this id.

    Raises
    ------
    LookupError
        No key has the id.
    """

    def change(tables: Tables) -> Tables:
        kept = {
            digest: record
            for digest, record in tables.keys.items()
            if record.key_id != key_id
        }
        if len(kept) == len(tables.keys):
            raise LookupError(f"no key has the id {key_id!r}")
        return evolve(tables, keys=kept)

    return change_tables(store, change, change_id=change_id)


def _attempt(
    store: StoreClient,
    change: Callable[[Tables], Tables],
    change_id: str,
    base: int | None,
    after: int,
) -> Outcome[Accepted | RevisionConflict]:
    outcome = read_head(store)
    if not isinstance(outcome, Done):
        # Nothing was written yet, so an unreadable head is not in doubt.
        return NotDone(outcome.reason)
    head, version = outcome.value
    if change_id in head.history:
        return Done(Accepted(head.revision, change_id))
    if base is not None and head.revision != base:
        return Done(RevisionConflict(base, head.revision))
    current = assemble(head, lambda digest: read_shard(store, digest))
    if not isinstance(current, Done):
        return NotDone(current.reason)
    snapshot: Snapshot = current.value[0]
    shards = cut(change(snapshot.tables))
    digests = {name: shard_digest(content) for name, content in shards.items()}
    new_head = Head(
        revision=max(head.revision, after) + 1,
        change_id=change_id,
        shards=digests,
        history=(*head.history, change_id)[-HISTORY_LENGTH:],
    )
    stored = set(head.shards.values())
    for name, content in shards.items():
        if digests[name] not in stored:
            written = store.write(SHARD_PREFIX + digests[name], content, 0)
            if not isinstance(written, Done):
                # A shard without a head that names it has no effect.
                return NotDone(written.reason)
    moved = store.write(HEAD_KEY, encode_head(new_head), version)
    if not isinstance(moved, Done):
        return moved
    if isinstance(moved.value, Conflict):
        return Done(RevisionConflict(head.revision, -1))
    return Done(Accepted(new_head.revision, change_id))


def _settle(
    store: StoreClient, change_id: str, doubt: Unknown
) -> Outcome[Accepted | RevisionConflict]:
    """Find out whether a change whose answer was lost took effect."""
    outcome = read_head(store)
    if not isinstance(outcome, Done):
        return doubt
    head, _ = outcome.value
    if change_id in head.history:
        return Done(Accepted(head.revision, change_id))
    # The write may still be on its way, so its absence proves nothing.
    return doubt
