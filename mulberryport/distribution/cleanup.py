"""Garbage collection of shards that no recent head references, under a duty.

A concurrent change can reference a shard again while it is being removed. Three steps
prevent the loss of such a shard: the versions of the candidates are read, then the
head is rewritten with the same content, and only then are the candidates removed by
compare-and-swap. A change that read the head before the rewrite fails and is retried;
a change that reads it afterwards writes its shards again, which gives them versions
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
    315,
    "shards_removed",
    "info",
    "Shards that no recent revision references were removed.",
)

CLEANUP_PERIOD_S = 60.0
# Limits the store calls of one run. The planned 8,900 changes a day leave about six
# unreferenced shards a minute.
MAX_REMOVALS_PER_RUN = 20


@define(eq=False)
class ShardCleanup:
    """Removes shards unreferenced for as many revisions as the history holds.

    Parameters
    ----------
    store : StoreClient
        The store that contains the shards.
    duty : Duty
        Shards are removed only while this duty is held.
    """

    store: StoreClient
    duty: Duty
    _unreferenced_since: dict[str, int] = field(factory=dict)

    def run_once(self) -> None:
        """Remove the shards that are due; called periodically.

        After the duty was gained, the first runs only record unreferenced shards.
        """
        if not self.duty.is_held:
            self._unreferenced_since.clear()
            return
        outcome = read_head(self.store)
        listed = self.store.list_keys(SHARD_PREFIX)
        if not isinstance(outcome, Done) or not isinstance(listed, Done):
            return
        head, version = outcome.value
        due = self._find_removable(head, listed.value)
        candidates = self._read_versions(due[:MAX_REMOVALS_PER_RUN])
        if not candidates or not self._rewrite_head(head, version):
            return
        removed = [key for key, at in candidates.items() if self._remove(key, at)]
        log(SHARDS_REMOVED, count=len(removed), revision=head.revision)

    def _find_removable(self, head: Head, keys: list[str]) -> list[str]:
        """Record since when shards are unreferenced; return those to remove."""
        referenced = {SHARD_PREFIX + digest for digest in head.shards.values()}
        self._unreferenced_since = {
            key: self._unreferenced_since.get(key, head.revision)
            for key in keys
            if key not in referenced
        }
        # Readers may still be fetching the shards of a head that was just replaced.
        return [
            key
            for key, since in self._unreferenced_since.items()
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
        """Invalidate changes that have already read the head; return the success."""
        if not self._holds_lease():
            return False
        written = self.store.write(HEAD_KEY, encode_head(head), version)
        return isinstance(written, Done) and isinstance(written.value, Entry)

    def _remove(self, key: str, version: int) -> bool:
        if not self._holds_lease():
            return False
        removed = self.store.remove(key, version)
        return isinstance(removed, Done) and isinstance(removed.value, Entry)

    def _holds_lease(self) -> bool:
        try:
            self.duty.guard()
        except LeaseLostError:
            return False
        return True
