"""Reading the accepted tables from the store."""

from collections.abc import Callable, Mapping

from attrs import frozen

from ..outcomes import Done, NotDone, Outcome
from ..store import StoreClient
from .head import HEAD_KEY, SHARD_PREFIX, Head, decode_head
from .model import Snapshot, Tables
from .shards import join_shards, shard_digest

__all__ = [
    "MalformedRevision",
    "assemble_snapshot",
    "read_head",
    "read_shard",
    "read_snapshot",
]


@frozen
class MalformedRevision(NotDone):
    """The stored revision is invalid; reading it again would not help."""


def read_head(store: StoreClient) -> Outcome[tuple[Head, int]]:
    """Read the head and the version of its key; the version is 0 if it is absent."""
    outcome = store.read(HEAD_KEY)
    if not isinstance(outcome, Done):
        return outcome
    entry = outcome.value
    if entry.value is None:
        return Done((Head(), 0))
    try:
        return Done((decode_head(entry.value), entry.version))
    except ValueError as error:
        return MalformedRevision(f"the store holds a malformed head: {error}")


def read_shard(store: StoreClient, digest: str) -> Outcome[bytes]:
    """Read the content of a shard; ``assemble_snapshot`` verifies its digest."""
    outcome = store.read(SHARD_PREFIX + digest)
    if not isinstance(outcome, Done):
        return outcome
    content = outcome.value.value
    if content is None:
        return MalformedRevision(f"shard {digest} is not in the store")
    return Done(content)


def assemble_snapshot(
    head: Head,
    fetch_shard: Callable[[str], Outcome[bytes]],
    known_contents: Mapping[str, bytes] | None = None,
) -> Outcome[tuple[Snapshot, dict[str, bytes]]]:
    """Build the snapshot of a head, fetching only the shards that are not known.

    Parameters
    ----------
    head : Head
        Head of the requested revision.
    fetch_shard : callable
        Returns the content of a shard by its digest, which is verified.
    known_contents : mapping of str to bytes, optional
        Content by digest of the shards that are already present.

    Returns
    -------
    Done of (Snapshot, dict), NotDone or Unknown
        The dict maps digests to the content of all shards.
    """
    if head.revision == 0:
        return Done((Snapshot(), {}))
    contents: dict[str, bytes] = {}
    by_name: dict[str, bytes] = {}
    for name, digest in head.shards.items():
        content = (known_contents or {}).get(digest)
        if content is None:
            outcome = fetch_shard(digest)
            if not isinstance(outcome, Done):
                return outcome
            content = outcome.value
            if shard_digest(content) != digest:
                return MalformedRevision(
                    f"shard {digest} has content that does not match its digest"
                )
        contents[digest] = content
        by_name[name] = content
    try:
        tables: Tables = join_shards(by_name)
    except ValueError as error:
        return MalformedRevision(f"revision {head.revision}: {error}")
    snapshot = Snapshot(head.revision, head.change_id, tables, dict(head.shards))
    return Done((snapshot, contents))


def read_snapshot(store: StoreClient) -> Outcome[Snapshot]:
    """Read the newest accepted tables."""
    outcome = read_head(store)
    if not isinstance(outcome, Done):
        return outcome
    assembled = assemble_snapshot(
        outcome.value[0], lambda digest: read_shard(store, digest)
    )
    if not isinstance(assembled, Done):
        return assembled
    return Done(assembled.value[0])
