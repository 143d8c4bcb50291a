"""Room at the targets of a pool: for how long a target that was full stays full.

Functions of run times and reports, and the state of one target, without I/O or clock.
"""

import math

from attrs import define, field

__all__ = ["RunTimes", "TargetRoom", "retry_delay_s"]

SMOOTHING_FACTOR = 0.1
# Assumed run time before the first measurement.
UNKNOWN_RUN_S = 0.3
MAX_RUN_S = 600.0
# Callers honour a delay of up to this part of the time that they have left.
HONOURED_FRACTION = 1 / 3
# Smallest part of a delay that is drawn, so that callers who were refused together do
# not come back together.
MIN_DELAY_FRACTION = 0.5


# A target that reported too many requests is tried again after this time at the latest,
# so that a daemon without a request there gets a slot of a target that stays full.
MAX_DRAIN_S = 0.5


@define(eq=False)
class RunTimes:
    """Mean time for which a request of this daemon holds a slot of a pool's targets.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.mean_s is None
    True
    >>> times.record(0.2)
    >>> times.record(math.nan)
    >>> times.mean_s
    0.2
    """

    mean_s: float | None = None

    def record(self, duration_s: float) -> None:
        """Record for how many seconds a request that succeeded held its slot."""
        if not 0.0 <= duration_s <= MAX_RUN_S:
            return
        if self.mean_s is None:
            self.mean_s = duration_s
        self.mean_s += SMOOTHING_FACTOR * (duration_s - self.mean_s)

    @property
    def assumed_s(self) -> float:
        """Mean run time in seconds, or an assumption before the first measurement."""
        return UNKNOWN_RUN_S if self.mean_s is None else self.mean_s


def retry_delay_s(expected_s: float, left_s: float, draw: float) -> float:
    """Return after how many seconds a caller that is refused should come back.

    Parameters
    ----------
    expected_s : float
        Seconds until room is expected.
    left_s : float
        Seconds until the caller's deadline.
    draw : float
        Random number from 0 to 1 that spreads the callers.

    Examples
    --------
    >>> retry_delay_s(5.0, 1.5, 1.0), retry_delay_s(5.0, 1.5, 0.0)
    (0.5, 0.25)
    """
    longest_s = max(0.0, min(expected_s, HONOURED_FRACTION * left_s))
    return longest_s * (MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * draw)


@define(eq=False)
class TargetRoom:
    """Until when a target that refused requests of this daemon is avoided.

    The first refusal avoids it for the time in which one of its slots becomes free,
    each further one for twice as long, up to the time of a whole run.
    """

    full_until: float = -math.inf
    refused_at: float = -math.inf
    _refusals: int = 0
    _run_times: RunTimes = field(factory=RunTimes)

    def record_refusal(
        self, capacity: int, pool_run_s: float, draw: float, now: float
    ) -> None:
        """Record that the target was full.

        Parameters
        ----------
        capacity : int
            Requests that the target runs at the same time.
        pool_run_s : float
            Mean run time of the pool in seconds, for a target without measurements.
        draw : float
            Random number from 0 to 1 that spreads the daemons that were refused.
        now : float
            Boot time.
        """
        self._refusals += 1
        run_s = self.run_s(pool_run_s)
        share = min(1.0, 2.0 ** min(10, self._refusals - 1) / max(1, capacity))
        self.refused_at, self.full_until = now, now + run_s * share * (0.5 + draw)

    def record_run(self, duration_s: float) -> None:
        """Record a request that ran to its end at the target."""
        self._run_times.record(duration_s)
        self._refusals, self.full_until = 0, -math.inf

    def run_s(self, pool_run_s: float) -> float:
        """Return the mean run time at the target in seconds."""
        return pool_run_s if self._run_times.mean_s is None else self._run_times.mean_s

    def is_full(
        self,
        surplus: float,
        capacity: int,
        pool_run_s: float,
        *,
        reported_at: float,
        now: float,
    ) -> bool:
        """Return whether a request would be refused, or wait for long, at the target.

        A target that reported more requests than fit has room again after the time in
        which these end. A refusal counts until then or until a newer report of room.

        Parameters
        ----------
        surplus : float
            Requests beyond those that fit, by the newest report and with this one; 0
            or less if it fits.
        capacity : int
            Requests that the target runs at the same time.
        pool_run_s : float
            Mean run time of the pool in seconds.
        reported_at, now : float
            Boot time of the newest report, and now.
        """
        if surplus <= 0.0:
            return now < self.full_until and reported_at <= self.refused_at
        drain_s = min(MAX_DRAIN_S, surplus * self.run_s(pool_run_s) / max(1, capacity))
        return now < max(self.full_until, reported_at + drain_s)
