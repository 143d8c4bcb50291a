"""Whether this daemon can read the head from the store."""

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

# A call without an answer for this long counts as a failure while it goes on, so
# that peers hear of it before the confirmation of the head is too old.
SLOW_S = 0.75
# A failure older than this proves nothing, because this process may have been
# paused since.
FAILURE_LIFETIME_S = 5.0


@define(eq=False)
class StoreAccess:
    """Outcomes of this daemon's own attempts to read the head.

    Parameters
    ----------
    timeout : float
        Seconds after which a call certainly ended, beyond the time it waits.
    """

    timeout: float
    _in_flight_since: float | None = None
    _failed_at: float = float("-inf")
    _failing: bool = False

    def began(self, sent_at: float, wait: float) -> None:
        """Note a call that waits for a change before it is answered."""
        self._in_flight_since = sent_at + wait

    def succeeded(self) -> None:
        """Note that the head was read."""
        if self._failing:
            log(STORE_READABLE)
        self._in_flight_since, self._failing = None, False

    def failed(self, reason: str) -> None:
        """Note that the head could not be read."""
        if not self._failing:
            log(STORE_UNREADABLE, reason=reason)
        self._in_flight_since, self._failing = None, True
        self._failed_at = boottime()

    @property
    def unreadable(self) -> bool:
        """Whether an attempt failed, or is not answered, without a success since."""
        now = boottime()
        if self._failing and now - self._failed_at <= FAILURE_LIFETIME_S:
            return True
        if self._in_flight_since is None:
            return False
        # A longer time than any call takes means that this process was paused.
        return SLOW_S < now - self._in_flight_since <= self.timeout + SLOW_S
