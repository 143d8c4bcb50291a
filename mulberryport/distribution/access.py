"""Tracking of whether this daemon can read the head from the store."""

from attrs import define

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["StoreAccess"]

STORE_UNREADABLE = define_event(
    310, "store_unreadable", "warning", "The head cannot be read from the store."
)
STORE_READABLE = define_event(
    311, "store_readable", "info", "The head can be read from the store again."
)

# A call that is unanswered for this long counts as a failure while it is pending, so
# that peers learn of it before the confirmation of the head is too old.
SLOW_CALL_S = 0.75
# An older failure is ignored, because this process may have been paused since.
FAILURE_LIFETIME_S = 5.0


@define(eq=False)
class StoreAccess:
    """Outcomes of this daemon's own attempts to read the head.

    Parameters
    ----------
    timeout : float
        Seconds after which a call has ended for certain, not counting the time for
        which it waits for a change.
    """

    timeout: float
    _in_flight_since: float | None = None
    _failed_at: float = float("-inf")
    _failing: bool = False

    def record_start(self, sent_at: float, wait: float) -> None:
        """Record the start of a call that waits for a change before it is answered."""
        self._in_flight_since = sent_at + wait

    def record_success(self) -> None:
        """Record that the head was read."""
        if self._failing:
            log(STORE_READABLE)
        self._in_flight_since, self._failing = None, False

    def record_failure(self, reason: str) -> None:
        """Record that the head could not be read."""
        if not self._failing:
            log(STORE_UNREADABLE, reason=reason)
        self._in_flight_since, self._failing = None, True
        self._failed_at = boottime()

    @property
    def is_unreadable(self) -> bool:
        """Whether an attempt failed or is overdue, without a success since."""
        now = boottime()
        if self._failing and now - self._failed_at <= FAILURE_LIFETIME_S:
            return True
        if self._in_flight_since is None:
            return False
        # A call pending for longer than its timeout means that this process was paused.
        return SLOW_CALL_S < now - self._in_flight_since <= self.timeout + SLOW_CALL_S
