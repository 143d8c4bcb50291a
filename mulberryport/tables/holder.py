"""The snapshot in force in this daemon."""

from collections.abc import Callable, Mapping

from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..telemetry import define as define_event
from ..telemetry import log
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


@define(eq=False)
class SnapshotHolder:
    """Holds the newest snapshot and the age of its confirmation.

    A snapshot is replaced only by one with a higher revision, in one step.
    """

    _snapshot: Snapshot = field(factory=Snapshot)
    _contents: Mapping[str, bytes] = field(factory=dict)
    _confirmed_at: float = float("-inf")
    _subscribers: list[Callable[[Snapshot], None]] = field(factory=list)

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

    def confirm(self, at: float) -> None:
        """Note that the head read at a boot time is not newer than the snapshot."""
        self._confirmed_at = max(self._confirmed_at, min(at, boottime()))

    def adopt(self, snapshot: Snapshot, contents: Mapping[str, bytes]) -> bool:
        """Put a snapshot in force if its revision is higher.

        Returns
        -------
        bool
            Whether it was adopted.
        """
        current = self._snapshot
        if snapshot.revision < current.revision:
            log(STALE_REVISION, offered=snapshot.revision, current=current.revision)
            return False
        if snapshot.revision == current.revision:
            if snapshot.change_id != current.change_id:
                log(
                    DIVERGED,
                    revision=current.revision,
                    offered=snapshot.change_id,
                    current=current.change_id,
                )
            return False
        require(
            snapshot.revision > current.revision,
            "configuration_never_reverts",
            offered=snapshot.revision,
            current=current.revision,
        )
        self._snapshot = snapshot
        self._contents = dict(contents)
        log(ADOPTED, revision=snapshot.revision, change_id=snapshot.change_id)
        for callback in list(self._subscribers):
            callback(snapshot)
        return True
