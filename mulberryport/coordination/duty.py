"""A duty: a role that one session holds at a time, as in leader election.

The holder is the daemon that created the duty's key; the store removes the key when
the holder's session ends. The revision at which the key was written is the fencing
token, which only increases. Receivers may not check it, so the duty must not move back
and forth between daemons within ``reacquire_delay_s``: a daemon that held the duty
recently, or that has just started and cannot know whether it did, waits that long
before it acts. A restarted daemon takes over the duty of its previous incarnation
without this delay.
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

DUTY_TAKEN = define_event(440, "session_duty_taken", "info", "Acquired a duty.")
DUTY_LEFT = define_event(441, "session_duty_left", "warning", "Lost a duty.")

# The previous holder starts no request that could outlive its session. This covers the
# time in transit of the last one.
ACQUIRE_GRACE_S = 0.3


@define(eq=False)
class SessionDuty:
    """One duty, as seen by this daemon; ``run_once`` must be called periodically.

    Parameters
    ----------
    key : str
        Key of the duty, under the prefix of the mirror.
    vm : str
        Id of this daemon's VM.
    incarnation : int
        Identifies this run of the daemon.
    reacquire_delay_s : float
        Seconds after it last held the duty before this daemon may act as holder again.
    acquire_delay_s : callable
        Returns the seconds for which a free duty is left to preferred daemons.
    """

    key: str
    vm: str
    incarnation: int
    store: KeyValueStore
    mirror: Mirror
    session: Session
    reacquire_delay_s: float
    acquire_delay_s: Callable[[], float] = lambda: 0.0
    _held_until: float = field(factory=boottime)
    _fencing: int = 0
    _lease: int = 0
    _usable_from: float = float("inf")
    _free_since: float | None = None

    def __attrs_post_init__(self) -> None:
        """Keep the session open while the duty is held."""
        self.session.hold_while(lambda: self._fencing > 0)

    @property
    def fencing(self) -> int:
        """Fencing token of the current holder term; 0 while the duty is not held."""
        return self._fencing

    @property
    def active(self) -> bool:
        """Whether this daemon holds the duty and may act on it now."""
        return self.is_held_for(0.0)

    def is_held_for(self, seconds: float) -> bool:
        """Whether an operation that takes at most ``seconds`` may start now."""
        return (
            self._fencing > 0
            and self._lease == self.session.lease
            and boottime() >= self._usable_from
            and self.session.is_valid_for(seconds)
        )

    def guard(self, seconds: float) -> None:
        """Raise unless an operation that takes at most ``seconds`` may start now.

        Raises
        ------
        LeaseLostError
            The duty is not held, or its session may end too soon.
        """
        if not self.is_held_for(seconds):
            raise LeaseLostError(f"duty {self.key} is not held")

    def run_once(self) -> None:
        """Detect a loss of the duty, and try to acquire it if it is free."""
        item = self.mirror.get(self.key)
        if self._fencing:
            if self._lease == self.session.lease and (
                item is None or item.revision <= self._fencing
            ):
                return
            log(DUTY_LEFT, duty=self.key, fencing=self._fencing)
            self._fencing, self._held_until = 0, boottime()
        if item is not None and item.lease == self.session.lease:
            self._set_held(item)
            return
        if not self.mirror.connected:
            self._free_since = None
            return
        if item is not None and self._is_from_previous_incarnation(item):
            if self.session.request():
                self._try_acquire(item.revision)
            return
        if item is not None:
            self._free_since = None
            return
        now = boottime()
        if self._free_since is None:
            self._free_since = now
        is_due = now - self._free_since >= self.acquire_delay_s()
        if is_due and self.session.request():
            self._try_acquire(0)

    def _is_from_previous_incarnation(self, item: Item) -> bool:
        """Whether an earlier run of this daemon, which has ended, wrote the key."""
        return item.value.decode().partition(" ")[0] == self.vm

    def _try_acquire(self, revision: int) -> None:
        lease, value = self.session.lease, f"{self.vm} {self.incarnation}".encode()
        outcome = self.store.commit(
            Transaction(
                expected={self.key: revision}, puts=(Put(self.key, value, lease),)
            )
        )
        # If the answer is lost, the mirror shows later whether the key was written.
        if isinstance(outcome, Done) and isinstance(outcome.value, Committed):
            item = Item(self.key, value, outcome.value.revision, lease)
            self._set_held(item, skip_delay=revision > 0)

    def _set_held(self, item: Item, skip_delay: bool = False) -> None:
        self._fencing, self._lease, self._free_since = item.revision, item.lease, None
        self._usable_from = boottime() + ACQUIRE_GRACE_S
        if not skip_delay:
            self._usable_from = max(
                self._usable_from, self._held_until + self.reacquire_delay_s
            )
        self.mirror.apply(Change(self.key, item.revision, item))
        log(DUTY_TAKEN, duty=self.key, fencing=item.revision)
