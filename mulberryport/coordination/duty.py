"""A duty that one session at a time holds.

The holder is whoever created the duty's key; the store removes the key with the
holder's session. The revision at which the key was written is the fencing number,
which always rises. Receivers may not check it, so two daemons must not take turns
within the turn time: a daemon that held the duty itself shortly before, or that cannot
know whether it did, waits that time before its first act. A daemon that was restarted
takes the duty of its former incarnation over at once.
"""

from collections.abc import Callable

from attrs import define, field

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

# A call of the holder before ends with its session; this covers the way of its bytes.
SETTLE_S = 0.3


@define(eq=False)
class SessionDuty:
    """One duty as this daemon sees it; ``turn`` is called periodically.

    Parameters
    ----------
    key : str
        Key of the duty, below the prefix of the mirror.
    vm : str
        Id of the VM.
    incarnation : int
        Number of this start of the daemon.
    turn_time : float
        Seconds in which two daemons must not take turns.
    patience : callable
        Seconds to leave a free duty to daemons that come first.
    """

    key: str
    vm: str
    incarnation: int
    store: KeyValueStore
    mirror: Mirror
    session: Session
    turn_time: float
    patience: Callable[[], float] = lambda: 0.0
    _held_until: float = field(factory=boottime)
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
            self._fencing, self._held_until = 0, boottime()
        if item is not None and item.lease == self.session.lease:
            self._take(item)
            return
        if not self.session.alive or not self.mirror.following:
            self._free_since = None
            return
        if item is not None and self._was_own(item):
            self._contend(item.revision)
            return
        if item is not None:
            self._free_since = None
            return
        now = boottime()
        if self._free_since is None:
            self._free_since = now
        if now - self._free_since >= self.patience():
            self._contend(0)

    def _was_own(self, item: Item) -> bool:
        """Whether a former incarnation of this daemon, which is gone, has the duty."""
        return item.value.decode().partition(" ")[0] == self.vm

    def _contend(self, revision: int) -> None:
        lease, value = self.session.lease, f"{self.vm} {self.incarnation}".encode()
        outcome = self.store.commit(
            Transaction(
                expected={self.key: revision}, puts=(Put(self.key, value, lease),)
            )
        )
        # Without an answer, the mirror shows whether the key was created after all.
        if isinstance(outcome, Done) and isinstance(outcome.value, Committed):
            item = Item(self.key, value, outcome.value.revision, lease)
            self._take(item, followed_self=revision > 0)

    def _take(self, item: Item, followed_self: bool = False) -> None:
        self._fencing, self._lease, self._free_since = item.revision, item.lease, None
        self._usable_from = boottime() + SETTLE_S
        if not followed_self:
            self._usable_from = max(
                self._usable_from, self._held_until + self.turn_time
            )
        self.mirror.apply(Change(self.key, item.revision, item))
        log(DUTY_TAKEN, duty=self.key, fencing=item.revision)
