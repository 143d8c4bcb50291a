"""The snapshot in force in this daemon."""

from collections.abc import Callable, Mapping

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..telemetry import define as define_event
from ..telemetry import log
from .diff import withdrawn_keys
from .model import Snapshot

__all__ = ["SnapshotHolder"]

ADOPTED = define_event(
    300, "revision_adopted", "info", "A new revision of the tables is in force."
)
STALE_REVISION = define_event(
    301, "stale_revision", "error", "A lower revision was offered and not followed."
)
DIVERGED = define_event(
    302, "revision_diverged", "error", "Two changes have the same revision number."
)
SUBSCRIBER_FAILED = define_event(
    304, "snapshot_subscriber_failed", "error", "A part failed to take a new revision."
)


@define(eq=False)
class SnapshotHolder:
    """Holds the newest snapshot and the age of its confirmation.

    A snapshot is replaced only by one with a higher revision, in one step.
    """

    _snapshot: Snapshot = field(factory=Snapshot)
    _contents: Mapping[str, bytes] = field(factory=dict)
    _confirmed_at: float = float("-inf")
    _subscribers: list[Callable[[Snapshot], None]] = field(factory=list)
    _withdrawal_subscribers: list[Callable[[frozenset[str]], None]] = field(
        factory=list
    )
    _refused: set[tuple[int, str]] = field(factory=set)

    @property
    def snapshot(self) -> Snapshot:
        """The snapshot in force."""
        return self._snapshot

    @property
    def contents(self) -> Mapping[str, bytes]:
        """Content of the shards in force, by digest."""
        return self._contents

    @property
    def confirmation_age(self) -> float:
        """Seconds since a daemon last read the head; infinite if never."""
        return boottime() - self._confirmed_at

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call a function with each snapshot that is adopted from now on."""
        self._subscribers.append(callback)

    def subscribe_withdrawals(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Call a function with the digests of keys that stop being valid.

        The function is called only for revisions that withdraw a key, after the
        revision is in force.
        """
        self._withdrawal_subscribers.append(callback)

    def confirm(self, at: float) -> bool:
        """Note that the head read at a boot time is not newer than the snapshot.

        Returns
        -------
        bool
            Whether this confirmation is newer than all before.
        """
        newer = min(at, boottime()) > self._confirmed_at
        self._confirmed_at = max(self._confirmed_at, min(at, boottime()))
        return newer

    def refuse(self, revision: int, change_id: str) -> None:
        """Raise an alarm, once, for a head that must not replace the snapshot."""
        current = self._snapshot
        if (revision, change_id) in self._refused:
            return
        self._refused.add((revision, change_id))
        event = DIVERGED if revision == current.revision else STALE_REVISION
        log(
            event,
            offered=revision,
            offered_change=change_id,
            current=current.revision,
            current_change=current.change_id,
        )

    def adopt(self, snapshot: Snapshot, contents: Mapping[str, bytes]) -> bool:
        """Put a snapshot in force if its revision is higher.

        Returns
        -------
        bool
            Whether it was adopted.
        """
        current = self._snapshot
        if snapshot.revision <= current.revision:
            if snapshot.change_id != current.change_id:
                self.refuse(snapshot.revision, snapshot.change_id)
            return False
        self._replace(snapshot, contents)
        log(ADOPTED, revision=snapshot.revision, change_id=snapshot.change_id)
        for callback in list(self._subscribers):
            _call(callback, snapshot)
        withdrawn = withdrawn_keys(current.tables, snapshot.tables)
        if withdrawn:
            for notify in list(self._withdrawal_subscribers):
                _call(notify, withdrawn)
        return True

    def _replace(self, snapshot: Snapshot, contents: Mapping[str, bytes]) -> None:
        require(
            snapshot.revision > self._snapshot.revision,
            "configuration_never_reverts",
            offered=snapshot.revision,
            current=self._snapshot.revision,
        )
        self._snapshot, self._contents = snapshot, dict(contents)
        self._refused.clear()


def _call(callback: Callable[..., None], value: object) -> None:
    """Call a subscriber; its failure must not keep the revision from the others."""
    try:
        callback(value)
    except Exception as error:
        log(SUBSCRIBER_FAILED, subscriber=repr(callback), error=repr(error))
