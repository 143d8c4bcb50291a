"""Duties: singleton work that one daemon at a time does under a lease."""

from attrs import define

from ..runtime.clock import boottime

__all__ = ["LEASE_MARGIN_S", "LEASE_TTL_S", "Duty", "LeaseLostError"]

LEASE_TTL_S = 10.0
# Time that the holder gives up of its lease, for clock drift and the time between
# the guard and the last byte of an order.
LEASE_MARGIN_S = 2.0


class LeaseLostError(Exception):
    """The lease of a duty is not held here, or not for long enough."""


@define(eq=False)
class Duty:
    """One duty as this daemon sees it.

    Parameters
    ----------
    name : str
        Name of the duty and of its lease.
    """

    name: str
    _fencing: int = 0
    _deadline: float = float("-inf")
    _held_since: float = float("inf")

    @property
    def held(self) -> bool:
        """Whether the lease is held with more than its margin left."""
        return boottime() < self._deadline

    @property
    def fencing(self) -> int:
        """The fencing number of the lease."""
        return self._fencing

    @property
    def held_for(self) -> float:
        """Seconds since the lease was gained; 0 if it is not held."""
        return max(0.0, boottime() - self._held_since) if self.held else 0.0

    def may_order_unfenced(self, order_lifetime: float) -> bool:
        """Return whether orders may go to targets that ignore fencing numbers.

        An order of the holder before can take effect for as long as it lives, and
        that holder could send it until its lease ran out.

        Parameters
        ----------
        order_lifetime : float
            Longest time in seconds between sending an order and its effect.
        """
        return self.held and self.held_for >= LEASE_TTL_S + order_lifetime

    def guard(self, seconds: float = 0.0) -> None:
        """Raise unless the lease is still held.

        Call this last, immediately before an act that only the holder may do.

        Parameters
        ----------
        seconds : float
            Time that the act takes at most, which the lease must outlast.

        Raises
        ------
        LeaseLostError
            The lease is not held for long enough.
        """
        if boottime() + seconds >= self._deadline:
            raise LeaseLostError(f"the lease of duty {self.name} is not held")

    def granted(self, fencing: int, sent_at: float, ttl: float) -> bool:
        """Note a grant or renewal that was asked for at a boot time.

        The deadline counts from before the request was sent, since the store
        counts from a later moment.

        Returns
        -------
        bool
            Whether the duty was gained by this.
        """
        continued = self.held and fencing == self._fencing
        self._deadline = sent_at + ttl - LEASE_MARGIN_S
        self._fencing = fencing
        gained = not continued and self.held
        if gained:
            self._held_since = boottime()
        return gained

    def lost(self) -> None:
        """Note that the lease is not held any more."""
        self._deadline = float("-inf")
        self._held_since = float("inf")
