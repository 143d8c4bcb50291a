"""Reading of accepted tables from the store."""

from collections.abc import Callable, Mapping

from attrs import frozen

from ..outcomes import Done, NotDone, Outcome
from ..store import StoreClient
from .head import HEAD_KEY, SHARD_PREFIX, Head, decode_head
from .model import Snapshot, Tables
from .shards import join, shard_digest

__all__ = ["Malformed", "assemble", "read_head", "read_shard", "read_snapshot"]


@frozen
class Malformed(NotDone):
    """What was read cannot be a revision, however often it is read."""


def read_head(store: StoreClient) -> Outcome[tuple[Head, int]]:
    """Read the head and the version of its key; version 0 if there is none."""
    outcome = store.read(HEAD_KEY)
    if not isinstance(outcome, Done):
        return outcome
    entry = outcome.value
    if entry.value is None:
        return Done((Head(), 0))
    try:
        return Done((decode_head(entry.value), entry.version))
    except ValueError as error:
        return Malformed(f"the store holds a malformed head: {error}")


def read_shard(store: StoreClient, digest: str) -> Outcome[bytes]:
    """Read the content of one shard, which ``assemble`` checks."""
    outcome = store.read(SHARD_PREFIX + digest)
    if not isinstance(outcome, Done):
        return outcome
    content = outcome.value.value
    if content is None:
        return Malformed(f"shard {digest} is not in the store")
    return Done(content)


def assemble(
    head: Head,
    fetch: Callable[[str], Outcome[bytes]],
    known: Mapping[str, bytes] | None = None,
) -> Outcome[tuple[Snapshot, dict[str, bytes]]]:
    """Build the snapshot of a head, fetching only the shards that are not known.

    Parameters
    ----------
    head : Head
        The revision wanted.
    fetch : callable
        Returns the content of a shard by its digest; it need not be trusted.
    known : mapping of str to bytes, optional
        Content by digest that need not be fetched.

    Returns
    -------
    Done of (Snapshot, dict), NotDone or Unknown
        The dict holds the content of all shards by digest.
    """
    if head.revision == 0:
        return Done((Snapshot(), {}))
    contents: dict[str, bytes] = {}
    by_name: dict[str, bytes] = {}
    for name, digest in head.shards.items():
        content = (known or {}).get(digest)
        if content is None:
            outcome = fetch(digest)
            if not isinstance(outcome, Done):
                return outcome
            content = outcome.value
            if shard_digest(content) != digest:
                return Malformed(f"shard {digest} has other content than its name says")
        contents[digest] = content
        by_name[name] = content
    try:
        tables: Tables = join(by_name)
    except ValueError as error:
        return Malformed(f"revision {head.revision}: {error}")
    snapshot = Snapshot(head.revision, head.change_id, tables, dict(head.shards))
    return Done((snapshot, contents))


def read_snapshot(store: StoreClient) -> Outcome[Snapshot]:
    """Read the newest accepted tables."""
    outcome = read_head(store)
    if not isinstance(outcome, Done):
        return outcome
    assembled = assemble(outcome.value[0], lambda digest: read_shard(store, digest))
    if not isinstance(assembled, Done):
        return assembled
    return Done(assembled.value[0])
