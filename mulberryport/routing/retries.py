"""The retry budget of a pool."""

from attrs import define

__all__ = ["RetryBudget"]

RATIO = 0.1
# A pool with little traffic still retries once in ten seconds.
MINIMUM_PER_S = 0.1
BURST = 10.0


@define(eq=False)
class RetryBudget:
    """A token bucket that bounds the retries of a pool.

    Each request adds a part of a token and each retry takes one, so that retries
    during an outage stay a fixed part of the requests.

    Parameters
    ----------
    ratio : float
        Retries per request.
    minimum : float
        Retries a second that are allowed without requests.
    burst : float
        Tokens that can be saved up.

    Examples
    --------
    >>> budget = RetryBudget(burst=1.0, now=0.0)
    >>> budget.take(now=0.0), budget.take(now=0.0)
    (True, False)
    """

    ratio: float = RATIO
    minimum: float = MINIMUM_PER_S
    burst: float = BURST
    now: float = 0.0
    _tokens: float = -1.0

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket, for failures right after the start."""
        self._tokens = self.burst

    def requested(self) -> None:
        """Count a request that is not a retry."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def take(self, now: float) -> bool:
        """Take a token for one retry; return whether there was one."""
        elapsed = max(0.0, now - self.now)
        self._tokens = min(self.burst, self._tokens + elapsed * self.minimum)
        self.now = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
