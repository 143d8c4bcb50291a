"""A duty that one session at a time holds.

The holder is whoever created the duty's key; the store removes the key with the
holder's session. The revision at which the key was created is the fencing number,
which always rises. A new holder waits before its first act, because a call of the
holder before can still be under way and receivers may not check fencing numbers.
"""

from collections.abc import Callable

from attrs import define

from ..leases import LeaseLostError
from ..outcomes import Done
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .mirror import Mirror
from .model import Change, Committed, Item, KeyValueStore, Put, Transaction
from .session import Session

__all__ = ["SessionDuty"]

DUTY_TAKEN = define_event(
    440, "session_duty_taken", "info", "This daemon holds a duty."
)
DUTY_LEFT = define_event(
    441, "session_duty_left", "warning", "This daemon does not hold a duty any more."
)


@define(eq=False)
class SessionDuty:
    """One duty as this daemon sees it; ``turn`` is called periodically.

    Parameters
    ----------
    key : str
        Key of the duty, below the prefix of the mirror.
    holder : str
        Unique name of this incarnation of the daemon.
    settle : float
        Seconds from the acquisition to the first act.
    patience : callable
        Seconds to leave a free duty to daemons that come first.
    """

    key: str
    holder: str
    store: KeyValueStore
    mirror: Mirror
    session: Session
    settle: float
    patience: Callable[[], float] = lambda: 0.0
    _fencing: int = 0
    _lease: int = 0
    _usable_from: float = float("inf")
    _free_since: float | None = None

    @property
    def fencing(self) -> int:
        """The fencing number of the current holding."""
        return self._fencing

    @property
    def active(self) -> bool:
        """Whether acts of the duty are allowed now."""
        return self.may_act(0.0)

    def may_act(self, seconds: float) -> bool:
        """Whether an act that takes some seconds at most is allowed now."""
        return (
            self._fencing > 0
            and self._lease == self.session.lease
            and boottime() >= self._usable_from
            and self.session.outlasts(seconds)
        )

    def guard(self, seconds: float) -> None:
        """Raise unless an act that takes some seconds at most is allowed.

        Raises
        ------
        LeaseLostError
            The duty is not held, or not for long enough.
        """
        if not self.may_act(seconds):
            raise LeaseLostError(f"duty {self.key} is not held")

    def turn(self) -> None:
        """Notice that the duty was lost, and contend for it if it is free."""
        item = self.mirror.get(self.key)
        if self._fencing:
            if self._lease == self.session.lease and (
                item is None or item.revision <= self._fencing
            ):
                return
            log(DUTY_LEFT, duty=self.key, fencing=self._fencing)
            self._fencing = 0
        if item is not None and item.lease == self.session.lease:
            self._take(item)
            return
        if item is not None or not self.session.alive or not self.mirror.following:
            self._free_since = None
            return
        now = boottime()
        if self._free_since is None:
            self._free_since = now
        if now - self._free_since >= self.patience():
            self._contend()

    def _contend(self) -> None:
        lease, value = self.session.lease, self.holder.encode()
        outcome = self.store.commit(
            Transaction(expected={self.key: 0}, puts=(Put(self.key, value, lease),))
        )
        # Without an answer, the mirror shows whether the key was created after all.
        if isinstance(outcome, Done) and isinstance(outcome.value, Committed):
            self._take(Item(self.key, value, outcome.value.revision, lease))

    def _take(self, item: Item) -> None:
        self._fencing, self._lease, self._free_since = item.revision, item.lease, None
        self._usable_from = boottime() + self.settle
        self.mirror.apply(Change(self.key, item.revision, item))
        log(DUTY_TAKEN, duty=self.key, fencing=item.revision)
