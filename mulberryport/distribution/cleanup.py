"""Removal of shards that no recent head names, under a duty.

A change can introduce a shard again while it is being removed. Three steps keep
the two apart: the versions of the candidates are read, then the head is written
again with the same content, and only then are the candidates removed by
compare-and-swap. A change that read the head before fails and starts again; a
change that reads it afterwards writes its shards again, which gives them versions
that the removal does not match.
"""

from attrs import define, field

from ..leases import Duty, LeaseLostError
from ..outcomes import Done
from ..store import Entry, StoreClient
from ..tables.head import HEAD_KEY, HISTORY_LENGTH, SHARD_PREFIX, Head, encode_head
from ..tables.queries import read_head
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["CLEANUP_PERIOD_S", "ShardCleanup"]

SHARDS_REMOVED = define_event(
    315, "shards_removed", "info", "Shards that no recent revision names were removed."
)

CLEANUP_PERIOD_S = 60.0
# Bounds the store calls of one turn. The planned 8,900 changes a day leave about
# six shards a minute behind.
MAX_REMOVALS = 20


@define(eq=False)
class ShardCleanup:
    """Removes shards that were unnamed for as many revisions as the history holds.

    Parameters
    ----------
    store : StoreClient
        Where the shards are.
    duty : Duty
        Must be held.
    """

    store: StoreClient
    duty: Duty
    _unnamed_since: dict[str, int] = field(factory=dict)

    def turn(self) -> None:
        """Remove what is due; the first turns of a holder only take note."""
        if not self.duty.is_held:
            self._unnamed_since.clear()
            return
        outcome = read_head(self.store)
        listed = self.store.list_keys(SHARD_PREFIX)
        if not isinstance(outcome, Done) or not isinstance(listed, Done):
            return
        head, version = outcome.value
        due = self._note(head, listed.value)
        candidates = self._read_versions(due[:MAX_REMOVALS])
        if not candidates or not self._rewrite_head(head, version):
            return
        removed = [key for key, at in candidates.items() if self._remove(key, at)]
        log(SHARDS_REMOVED, count=len(removed), revision=head.revision)

    def _note(self, head: Head, keys: list[str]) -> list[str]:
        """Note since when shards are not named; return those that are due."""
        named = {SHARD_PREFIX + digest for digest in head.shards.values()}
        self._unnamed_since = {
            key: self._unnamed_since.get(key, head.revision)
            for key in keys
            if key not in named
        }
        # Readers may still fetch the shards of a head that was replaced just now.
        return [
            key
            for key, since in self._unnamed_since.items()
            if head.revision - since >= HISTORY_LENGTH
        ]

    def _read_versions(self, keys: list[str]) -> dict[str, int]:
        versions = {}
        for key in keys:
            entry = self.store.read(key)
            if isinstance(entry, Done) and entry.value.value is not None:
                versions[key] = entry.value.version
        return versions

    def _rewrite_head(self, head: Head, version: int) -> bool:
        """Make changes that read the head so far fail; return whether they will."""
        if not self._guarded():
            return False
        written = self.store.write(HEAD_KEY, encode_head(head), version)
        return isinstance(written, Done) and isinstance(written.value, Entry)

    def _remove(self, key: str, version: int) -> bool:
        if not self._guarded():
            return False
        removed = self.store.remove(key, version)
        return isinstance(removed, Done) and isinstance(removed.value, Entry)

    def _guarded(self) -> bool:
        try:
            self.duty.guard()
        except LeaseLostError:
            return False
        return True
