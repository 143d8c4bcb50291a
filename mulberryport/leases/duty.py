"""Duties: singleton tasks that one daemon at a time performs under a lease."""

from attrs import define

from ..runtime.clock import boottime

__all__ = ["LEASE_MARGIN_S", "LEASE_TTL_S", "Duty", "LeaseLostError"]

LEASE_TTL_S = 10.0
# Time by which the holder stops before its lease expires, to allow for clock drift
# and for the delay between the guard and the last byte of an order.
LEASE_MARGIN_S = 2.0


class LeaseLostError(Exception):
    """The lease of a duty is not held, or expires too soon."""


@define(eq=False)
class Duty:
    """Lease state of a duty in this daemon.

    Parameters
    ----------
    name : str
        Name of the duty, which is also the name of its lease.
    """

    name: str
    _fencing: int = 0
    _deadline: float = float("-inf")
    _held_since: float = float("inf")

    @property
    def is_held(self) -> bool:
        """Whether the lease is held and does not expire within the margin."""
        return boottime() < self._deadline

    @property
    def fencing(self) -> int:
        """Fencing number of the last granted lease."""
        return self._fencing

    @property
    def held_duration_s(self) -> float:
        """Seconds since the lease was acquired; 0 if it is not held."""
        return max(0.0, boottime() - self._held_since) if self.is_held else 0.0

    def may_send_unfenced_orders(self, order_lifetime: float) -> bool:
        """Return whether orders may go to targets that ignore fencing numbers.

        The previous holder could send orders until its lease expired, and each of them
        can take effect until its lifetime ends.

        Parameters
        ----------
        order_lifetime : float
            Longest delay in seconds between sending an order and its effect.
        """
        return self.is_held and self.held_duration_s >= LEASE_TTL_S + order_lifetime

    def guard(self, seconds: float = 0.0) -> None:
        """Raise unless the lease is still held.

        Call this immediately before an operation that only the holder may perform.

        Parameters
        ----------
        seconds : float
            Longest duration of the operation, which the lease must cover.

        Raises
        ------
        LeaseLostError
            The lease is not held, or expires too soon.
        """
        if boottime() + seconds >= self._deadline:
            raise LeaseLostError(f"the lease of duty {self.name} is not held")

    def record_grant(self, fencing: int, sent_at: float, ttl: float) -> bool:
        """Record a grant or renewal whose request was sent at a boot time.

        The deadline counts from the sending of the request; the store counts from
        later, so that the deadline is on the safe side.

        Returns
        -------
        bool
            Whether the duty was newly acquired.
        """
        is_renewal = self.is_held and fencing == self._fencing
        self._deadline = sent_at + ttl - LEASE_MARGIN_S
        self._fencing = fencing
        is_acquired = not is_renewal and self.is_held
        if is_acquired:
            self._held_since = boottime()
        return is_acquired

    def record_loss(self) -> None:
        """Record that the lease is no longer held."""
        self._deadline = float("-inf")
        self._held_since = float("inf")
