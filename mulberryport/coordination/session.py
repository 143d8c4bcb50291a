"""Session of a daemon: a lease in the store that shows that the daemon is alive.

The store removes keys attached to the lease when the daemon stops renewing it. A daemon
whose session has ended opens a new one; its callbacks then write again the keys that
are still needed.

A session is open only while it is needed, because each renewal costs a call of the
store: callers request it before they write a key, and keys that are kept hold it open.
"""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..outcomes import Done
from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..runtime.waits import supervise
from ..telemetry import define as define_event
from ..telemetry import log
from .model import KeyValueStore

__all__ = ["SESSION_TTL_S", "Session"]

SESSION_OPENED = define_event(
    430, "session_opened", "info", "Opened a session in the store."
)
SESSION_ENDED = define_event(
    431, "session_ended", "warning", "The lease of the session has ended."
)

SESSION_IDLE = define_event(
    432, "session_idle", "info", "The session is not needed; its lease is not renewed."
)

# Short enough that the work of a dead daemon is taken over well within the deadline of
# a step, and long enough for several renewals.
SESSION_TTL_S = 3.0
RENEWAL_PERIOD_S = 0.75
# The holder treats the lease as expired this much early, to allow for clock drift and
# for the time between a check of the lease and the last byte of the guarded request.
EXPIRY_MARGIN_S = 0.5
RETRY_DELAY_S = 0.25
# How long a session stays open after the last request for it. Jobs of a route follow
# each other every few seconds at the same daemon.
IDLE_TIMEOUT_S = 15.0


@define(eq=False)
class Session:
    """Keeps the lease of this daemon alive.

    Parameters
    ----------
    store : KeyValueStore
        Store that grants the lease.
    ttl : float
        Seconds after which the lease expires without a renewal.
    idle_timeout_s : float
        Seconds after the last request for which the lease is renewed.
    """

    store: KeyValueStore
    ttl: float = SESSION_TTL_S
    idle_timeout_s: float = IDLE_TIMEOUT_S
    _requested_until: float = float("-inf")
    _holders: list[Callable[[], bool]] = field(factory=list)
    _changed: Notifier = field(factory=Notifier)
    _lease: int = 0
    _deadline: float = float("-inf")
    _open_callbacks: list[Callable[[], None]] = field(factory=list)
    _stopped: bool = False

    @property
    def lease(self) -> int:
        """Id of the current lease; 0 if there is none."""
        return self._lease

    @property
    def alive(self) -> bool:
        """Whether the lease certainly has not expired."""
        return self.is_valid_for(0.0)

    def is_valid_for(self, seconds: float) -> bool:
        """Whether the lease is certain to remain valid for ``seconds``."""
        return bool(self._lease) and boottime() + seconds < self._deadline

    def request(self, wait: float = 0.0) -> bool:
        """Open the session if it is not, and return whether it is alive.

        Parameters
        ----------
        wait : float
            Seconds to wait for the session.
        """
        now = boottime()
        self._requested_until = now + self.idle_timeout_s
        if not self.alive:
            self._changed.notify_all()
        while not self.alive and (timeout := now + wait - boottime()) > 0:
            self._changed.wait(timeout)
        return self.alive

    def hold_while(self, is_needed: Callable[[], bool]) -> None:
        """Keep the session open while a function returns true."""
        self._holders.append(is_needed)

    def on_open(self, callback: Callable[[], None]) -> None:
        """Call a function in a green thread each time a session is opened."""
        self._open_callbacks.append(callback)

    def start(self) -> None:
        """Open a session and renew it until ``close`` is called."""
        supervise("session", self._run)

    def close(self) -> None:
        """Revoke the lease, so that other daemons take over without waiting for it."""
        self._stopped = True
        lease, self._lease = self._lease, 0
        if lease:
            self.store.end_lease(lease)

    def _run(self) -> None:
        while not self._stopped:
            if not self._is_needed():
                self._abandon()
                self._changed.wait(RENEWAL_PERIOD_S)
                continue
            succeeded = self._renew() if self._lease else self._open()
            if succeeded:
                self._changed.notify_all()
            eventlet.sleep(RENEWAL_PERIOD_S if succeeded else RETRY_DELAY_S)

    def _is_needed(self) -> bool:
        is_requested = boottime() < self._requested_until
        return is_requested or any(is_needed() for is_needed in self._holders)

    def _abandon(self) -> None:
        """Let the lease expire; nothing is attached to it any more."""
        if self._lease:
            log(SESSION_IDLE, lease=self._lease)
            self._lease = 0

    def _open(self) -> bool:
        sent_at = boottime()
        outcome = self.store.grant_lease(self.ttl)
        if not isinstance(outcome, Done):
            return False
        if self._stopped:
            self.store.end_lease(outcome.value)
            return False
        self._lease = outcome.value
        self._deadline = sent_at + self.ttl - EXPIRY_MARGIN_S
        log(SESSION_OPENED, lease=self._lease)
        for callback in list(self._open_callbacks):
            eventlet.spawn_n(callback)
        return True

    def _renew(self) -> bool:
        lease, sent_at = self._lease, boottime()
        outcome = self.store.renew_lease(lease)
        if not isinstance(outcome, Done) or lease != self._lease:
            return False
        if outcome.value:
            self._deadline = sent_at + self.ttl - EXPIRY_MARGIN_S
            return True
        log(SESSION_ENDED, lease=lease)
        self._lease = 0
        return False
