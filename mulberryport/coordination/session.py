"""The session of a daemon: a lease that proves to others that it lives.

Keys written under the session's lease are removed by the store when the daemon dies.
A daemon whose session ended opens a new one; subscribers then claim again what they
still want.
"""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..outcomes import Done
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .model import KeyValueStore

__all__ = ["SESSION_TTL_S", "Session"]

SESSION_OPENED = define_event(430, "session_opened", "info", "A session was opened.")
SESSION_ENDED = define_event(
    431, "session_ended", "warning", "The session ended in the store."
)

# Short enough that the work of a dead daemon is taken over well within the time that
# a step has, long enough for several renewals.
SESSION_TTL_S = 3.0
RENEWAL_PERIOD_S = 0.75
# Given up by the holder, for clock drift and the time from a guard to the last byte.
MARGIN_S = 0.5
RETRY_S = 0.25


@define(eq=False)
class Session:
    """The lease of this daemon.

    Parameters
    ----------
    store : KeyValueStore
        Where the lease is kept.
    ttl : float
        Seconds for which the lease is granted and renewed.
    """

    store: KeyValueStore
    ttl: float = SESSION_TTL_S
    _lease: int = 0
    _deadline: float = float("-inf")
    _on_open: list[Callable[[], None]] = field(factory=list)
    _stopped: bool = False

    @property
    def lease(self) -> int:
        """The lease; 0 while there is none."""
        return self._lease

    @property
    def alive(self) -> bool:
        """Whether the lease certainly has not ended."""
        return self.outlasts(0.0)

    def outlasts(self, seconds: float) -> bool:
        """Whether the lease certainly lives for some seconds more."""
        return bool(self._lease) and boottime() + seconds < self._deadline

    def on_open(self, callback: Callable[[], None]) -> None:
        """Call a function after each opening of a session."""
        self._on_open.append(callback)

    def start(self) -> None:
        """Open a session and keep it until ``close``."""
        eventlet.spawn_n(self._run)

    def close(self) -> None:
        """End the lease, so that others take over at once."""
        self._stopped = True
        lease, self._lease = self._lease, 0
        if lease:
            self.store.end_lease(lease)

    def _run(self) -> None:
        while not self._stopped:
            done = self._renew() if self._lease else self._open()
            eventlet.sleep(RENEWAL_PERIOD_S if done else RETRY_S)

    def _open(self) -> bool:
        sent_at = boottime()
        outcome = self.store.grant_lease(self.ttl)
        if not isinstance(outcome, Done):
            return False
        if self._stopped:
            self.store.end_lease(outcome.value)
            return False
        self._lease = outcome.value
        self._deadline = sent_at + self.ttl - MARGIN_S
        log(SESSION_OPENED, lease=self._lease)
        for callback in list(self._on_open):
            eventlet.spawn_n(callback)
        return True

    def _renew(self) -> bool:
        lease, sent_at = self._lease, boottime()
        outcome = self.store.renew_lease(lease)
        if not isinstance(outcome, Done) or lease != self._lease:
            return False
        if outcome.value:
            self._deadline = sent_at + self.ttl - MARGIN_S
            return True
        log(SESSION_ENDED, lease=lease)
        self._lease = 0
        return False
