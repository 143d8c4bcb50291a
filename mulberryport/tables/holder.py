"""Holder of the snapshot that is in force in this daemon."""

from collections.abc import Callable, Mapping

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..telemetry import define as define_event
from ..telemetry import log
from .diff import withdrawn_keys
from .model import Snapshot

__all__ = ["SnapshotHolder"]

REVISION_ADOPTED = define_event(
    300, "revision_adopted", "info", "A new revision of the tables was adopted."
)
STALE_REVISION = define_event(
    301,
    "stale_revision",
    "error",
    "A revision lower than the current one was rejected.",
)
REVISION_DIVERGED = define_event(
    302,
    "revision_diverged",
    "error",
    "Two different changes have the same revision number.",
)
SUBSCRIBER_FAILED = define_event(
    304,
    "snapshot_subscriber_failed",
    "error",
    "A subscriber to new revisions raised an exception.",
)


@define(eq=False)
class SnapshotHolder:
    """Holds the newest snapshot and the time of its last confirmation.

    A snapshot is replaced atomically, and only by one with a higher revision.
    """

    _snapshot: Snapshot = field(factory=Snapshot)
    _contents: Mapping[str, bytes] = field(factory=dict)
    _confirmed_at: float = float("-inf")
    _subscribers: list[Callable[[Snapshot], None]] = field(factory=list)
    _withdrawal_subscribers: list[Callable[[frozenset[str]], None]] = field(
        factory=list
    )
    _reported_heads: set[tuple[int, str]] = field(factory=set)

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force."""
        return self._snapshot

    @property
    def contents(self) -> Mapping[str, bytes]:
        """Content of the shards of the snapshot in force, by digest."""
        return self._contents

    @property
    def confirmation_age(self) -> float:
        """Seconds since the last confirming read of the head; infinite if none."""
        return boottime() - self._confirmed_at

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Register a callback for each snapshot adopted from now on."""
        self._subscribers.append(callback)

    def subscribe_withdrawals(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Register a callback for the digests of withdrawn keys.

        It is called only for revisions that withdraw keys, after the revision is in
        force.
        """
        self._withdrawal_subscribers.append(callback)

    def confirm(self, at: float) -> bool:
        """Record that the head read at a boot time is not newer than the snapshot.

        Returns
        -------
        bool
            Whether this confirmation is newer than all previous ones.
        """
        is_newest = min(at, boottime()) > self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, min(at, boottime()))
        return is_newest

    def report_rejected_head(self, revision: int, change_id: str) -> None:
        """Log, once per head, that it must not replace the snapshot."""
        current = self._snapshot
        if (revision, change_id) in self._reported_heads:
            return
        self._reported_heads.add((revision, change_id))
        event = REVISION_DIVERGED if revision == current.revision else STALE_REVISION
        log(
            event,
            offered=revision,
            offered_change=change_id,
            current=current.revision,
            current_change=current.change_id,
        )

    def adopt(self, snapshot: Snapshot, contents: Mapping[str, bytes]) -> bool:
        """Put a snapshot in force if its revision is higher than the current one.

        Returns
        -------
        bool
            Whether the snapshot was adopted.
        """
        current = self._snapshot
        if snapshot.revision <= current.revision:
            if snapshot.change_id != current.change_id:
                self.report_rejected_head(snapshot.revision, snapshot.change_id)
            return False
        self._replace(snapshot, contents)
        log(REVISION_ADOPTED, revision=snapshot.revision, change_id=snapshot.change_id)
        for callback in list(self._subscribers):
            _notify_subscriber(callback, snapshot)
        withdrawn = withdrawn_keys(current.tables, snapshot.tables)
        if withdrawn:
            for notify in list(self._withdrawal_subscribers):
                _notify_subscriber(notify, withdrawn)
        return True

    def _replace(self, snapshot: Snapshot, contents: Mapping[str, bytes]) -> None:
        require(
            snapshot.revision > self._snapshot.revision,
            "configuration_never_reverts",
            offered=snapshot.revision,
            current=self._snapshot.revision,
        )
        self._snapshot, self._contents = snapshot, dict(contents)
        self._reported_heads.clear()


def _notify_subscriber(callback: Callable[..., None], value: object) -> None:
    """Call a subscriber; its failure must not prevent notifying the others."""
    try:
        callback(value)
    except Exception as error:
        log(SUBSCRIBER_FAILED, subscriber=repr(callback), error=repr(error))
