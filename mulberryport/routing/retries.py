"""Retry budget of a pool."""

from attrs import define

__all__ = ["RetryBudget"]

RETRIES_PER_REQUEST = 0.1
# A pool with little traffic can still retry once every ten seconds.
MIN_RETRIES_PER_S = 0.1
BURST = 10.0


@define(eq=False)
class RetryBudget:
    """A token bucket that limits the retries of a pool.

    Each request adds a fraction of a token and each retry consumes one token, so that
    retries during an outage remain a fixed fraction of the requests.

    Parameters
    ----------
    ratio : float
        Retries per request.
    min_retries_per_s : float
        Retries per second that are allowed without requests.
    burst : float
        Capacity of the bucket in tokens.
    refilled_at : float
        Boot time at which tokens were last added for elapsed time.

    Examples
    --------
    >>> budget = RetryBudget(burst=1.0, refilled_at=0.0)
    >>> budget.try_consume(now=0.0), budget.try_consume(now=0.0)
    (True, False)
    """

    ratio: float = RETRIES_PER_REQUEST
    min_retries_per_s: float = MIN_RETRIES_PER_S
    burst: float = BURST
    refilled_at: float = 0.0
    _tokens: float = -1.0

    def __attrs_post_init__(self) -> None:
        """Start with a full bucket, so that early failures can be retried."""
        self._tokens = self.burst

    def record_request(self) -> None:
        """Add the tokens of a request that is not a retry."""
        self._tokens = min(self.burst, self._tokens + self.ratio)

    def try_consume(self, now: float) -> bool:
        """Consume a token for one retry; return whether one was available."""
        elapsed = max(0.0, now - self.refilled_at)
        self._tokens = min(self.burst, self._tokens + elapsed * self.min_retries_per_s)
        self.refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
