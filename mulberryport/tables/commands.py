"""Changes of the tables, accepted by compare-and-swap of the head."""

import random
import secrets
from collections.abc import Callable, Collection

import eventlet
from attrs import evolve, frozen

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..store import Conflict, StoreClient
from ..telemetry import process_clock
from .head import HEAD_KEY, HISTORY_LENGTH, SHARD_PREFIX, Head, encode_head
from .keys import key_digest, new_key
from .model import KeyRecord, Snapshot, Tables
from .queries import Malformed, assemble, read_head, read_shard
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
# The longest pause between two attempts; it is drawn at random, so that commands
# that race do not stay in step.
CONFLICT_PAUSE_S = 0.1
# Repetitions of a write whose answer was lost.
SETTLE_RETRIES = 3
SETTLE_PAUSE_S = 0.2


@frozen
class Accepted:
    """A change took effect.

    Parameters
    ----------
    revision : int
        The newest revision when this was found out, which contains the change
        or follows it.
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


@frozen
class _Prepared:
    """A head that is ready to be written, its shards being stored.

    Parameters
    ----------
    head : Head
        The new head.
    base : Head
        The head that it replaces.
    version : int
        Version of the key that holds the base.
    """

    head: Head
    base: Head
    version: int


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
    repair: bool = False,
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
    repair : bool
        Whether a malformed head, which has revision 0, and missing or malformed
        shards are replaced; the change is then made on empty tables.

    Returns
    -------
    Done of Accepted, Done of RevisionConflict, NotDone or Unknown
        ``Unknown`` if neither the answer nor the state of the store told whether
        the change took effect.
    """
    conflict = RevisionConflict(base or 0, 0)
    for _ in range(CONFLICT_RETRIES):
        prepared = _prepare(store, change, change_id, base, after, repair)
        if not isinstance(prepared, _Prepared):
            return prepared
        outcome = _move_head(store, prepared)
        if not isinstance(outcome, Done) or isinstance(outcome.value, Accepted):
            return outcome
        # A write of the head that keeps the revision does not invalidate the base,
        # which the next attempt compares.
        conflict = outcome.value
        eventlet.sleep(random.uniform(0, CONFLICT_PAUSE_S))
    return Done(conflict)


def issue_key(
    store: StoreClient,
    workspace: str,
    *,
    change_id: str,
    key: str | None = None,
    replaced_ids: Collection[str] = (),
) -> tuple[str, Outcome[Accepted | RevisionConflict]]:
    """Issue a key to a workspace.

    Parameters
    ----------
    store : StoreClient
        The store.
    workspace : str
        Who gets the key.
    change_id : str
        Id of this change.
    key : str, optional
        The key; a new one by default.
    replaced_ids : collection of str
        Ids of keys that are withdrawn by the same change, if they exist.

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
    issued = key or new_key()
    record = KeyRecord(key_digest(issued), workspace)

    def change(tables: Tables) -> Tables:
        if workspace not in tables.workspaces:
            raise LookupError(f"workspace {workspace!r} does not exist")
        kept = _without(tables, replaced_ids)
        return evolve(tables, keys={**kept, record.digest: record})

    return issued, change_tables(store, change, change_id=change_id)


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
        kept = _without(tables, [key_id])
        if len(kept) == len(tables.keys):
            raise LookupError(f"no key has the id {key_id!r}")
        return evolve(tables, keys=kept)

    return change_tables(store, change, change_id=change_id)


def _without(tables: Tables, key_ids: Collection[str]) -> dict[str, KeyRecord]:
    return {
        digest: record
        for digest, record in tables.keys.items()
        if record.key_id not in key_ids
    }


def _prepare(
    store: StoreClient,
    change: Callable[[Tables], Tables],
    change_id: str,
    base: int | None,
    after: int,
    repair: bool,
) -> _Prepared | Outcome[Accepted | RevisionConflict]:
    """Store the shards of a change; return its head, or why there is none.

    Nothing that is written here has an effect without a head that names it, so no
    failure leaves a doubt.
    """
    outcome = read_head(store)
    if repair and isinstance(outcome, Malformed):
        outcome = _read_version(store)
    if not isinstance(outcome, Done):
        return NotDone(outcome.reason)
    head, version = outcome.value
    if change_id in head.history:
        return Done(Accepted(head.revision, change_id))
    if base is not None and head.revision != base:
        return Done(RevisionConflict(base, head.revision))
    current = assemble(head, lambda digest: read_shard(store, digest))
    named = set(head.shards.values())
    if repair and isinstance(current, Malformed):
        current, named = Done((Snapshot(), {})), set()
    if not isinstance(current, Done):
        return NotDone(current.reason)
    shards = cut(change(current.value[0].tables))
    digests = {name: shard_digest(content) for name, content in shards.items()}
    for name, content in shards.items():
        if digests[name] in named:
            continue
        stored = _store_shard(store, digests[name], content)
        if not isinstance(stored, Done):
            return NotDone(stored.reason)
    new_head = Head(
        revision=max(head.revision, after) + 1,
        change_id=change_id,
        shards=digests,
        history=(*head.history, change_id)[-HISTORY_LENGTH:],
        clock=process_clock.now(),
    )
    return _Prepared(new_head, head, version)


def _read_version(store: StoreClient) -> Outcome[tuple[Head, int]]:
    """Return an empty head with the version of the malformed one."""
    outcome = store.read(HEAD_KEY)
    if not isinstance(outcome, Done):
        return outcome
    return Done((Head(), outcome.value.version))


def _store_shard(store: StoreClient, digest: str, content: bytes) -> Outcome[None]:
    """Store a shard that the current head does not name.

    A shard that exists already may be about to be removed; writing it again gives
    it a new version, which the removal by compare-and-swap does not match.
    """
    expected = 0
    for _ in range(CONFLICT_RETRIES):
        written = store.write(SHARD_PREFIX + digest, content, expected)
        if not isinstance(written, Done):
            return written
        if not isinstance(written.value, Conflict):
            return Done(None)
        expected = written.value.version
    return NotDone(f"shard {digest} keeps changing")


def _move_head(
    store: StoreClient, prepared: _Prepared
) -> Outcome[Accepted | RevisionConflict]:
    """Write a prepared head; an answer that was lost is settled if possible."""
    content = encode_head(prepared.head)
    outcome = store.write(HEAD_KEY, content, prepared.version)
    doubt = outcome if isinstance(outcome, Unknown) else None
    for _ in range(SETTLE_RETRIES):
        if isinstance(outcome, Done):
            break
        if doubt is None:
            return outcome
        eventlet.sleep(SETTLE_PAUSE_S)
        # The lost write may still be on its way. A second one with the same
        # expected version cannot take effect twice, and settles which one did.
        outcome = store.write(HEAD_KEY, content, prepared.version)
    if not isinstance(outcome, Done):
        return doubt or outcome
    if not isinstance(outcome.value, Conflict):
        return Done(Accepted(prepared.head.revision, prepared.head.change_id))
    return _explain_conflict(store, prepared, doubt)


def _explain_conflict(
    store: StoreClient, prepared: _Prepared, doubt: Unknown | None
) -> Outcome[Accepted | RevisionConflict]:
    """Tell a lost race from a change that took effect unseen."""
    outcome = read_head(store)
    if not isinstance(outcome, Done):
        return doubt or NotDone("another change was accepted first")
    head, _ = outcome.value
    if prepared.head.change_id in head.history:
        return Done(Accepted(head.revision, prepared.head.change_id))
    if doubt is not None and not head.descends_from(prepared.base):
        # More changes followed than the history holds, so it proves nothing.
        return doubt
    return Done(RevisionConflict(prepared.base.revision, head.revision))
