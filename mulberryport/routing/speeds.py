"""Estimate of the speed of each target, from the events of its streams.

Each measurement counts less with its age: a target that was slow shares its machine
with others and may be fast again. What is not known of a target is taken from the
others of its pool.
"""

import math
import statistics

from attrs import define, field, frozen

__all__ = ["SpeedEstimate", "TargetSpeeds"]

# Time constant with which a measurement loses its weight against the pool's median.
MEASUREMENT_DECAY_S = 4.0
SMOOTHING_FACTOR = 0.2
# Relative spread of the interval of a target about which nothing is known.
UNKNOWN_SPREAD = 0.3
# Measurements of targets that were not used for this time are removed.
RETENTION_S = 60.0
MAX_INTERVAL_S = 60.0


@frozen
class SpeedEstimate:
    """Expected time between two events of a stream at a target.

    Parameters
    ----------
    event_interval_s : float
        Expected time in seconds, above 0.
    spread_s : float
        Standard deviation of the expectation in seconds.
    """

    event_interval_s: float
    spread_s: float


@define
class _Measurement:
    interval_s: float
    deviation_s: float
    updated_at: float
    events: int = 1


@define(eq=False)
class TargetSpeeds:
    """Speeds of the targets that this daemon has measured.

    Examples
    --------
    >>> speeds = TargetSpeeds()
    >>> for _ in range(20):
    ...     speeds.record_interval("fast", 0.05, now=10.0)
    ...     speeds.record_interval("slow", 0.15, now=10.0)
    >>> round(speeds.estimate("slow", ["fast", "slow"], now=10.0).event_interval_s, 2)
    0.15
    >>> round(speeds.estimate("new", ["fast", "slow"], now=10.0).event_interval_s, 2)
    0.1
    """

    _measurements: dict[str, _Measurement] = field(factory=dict)

    def record_interval(self, target: str, interval_s: float, now: float) -> None:
        """Record the time between two consecutive events of a stream of a target.

        Parameters
        ----------
        target : str
            Id of the target.
        interval_s : float
            Seconds between the two events.
        now : float
            Boot time.
        """
        if not 0.0 < interval_s <= MAX_INTERVAL_S:
            return
        known = self._measurements.get(target)
        if known is None:
            self._measurements[target] = _Measurement(interval_s, 0.0, now)
            return
        # After a pause, the new value replaces the old one in part at least.
        weight = 1.0 - math.exp(-(now - known.updated_at) / MEASUREMENT_DECAY_S)
        factor = max(SMOOTHING_FACTOR, weight)
        error_s = interval_s - known.interval_s
        known.interval_s += factor * error_s
        known.deviation_s += factor * (abs(error_s) - known.deviation_s)
        known.updated_at, known.events = now, known.events + 1

    def estimate(
        self, target: str, others: list[str], now: float
    ) -> SpeedEstimate | None:
        """Return the expected speed of a target.

        Parameters
        ----------
        target : str
            Id of the target.
        others : list of str
            Ids of the targets of its pool.
        now : float
            Boot time.

        Returns
        -------
        SpeedEstimate or None
            None if nothing is known of any target of the pool.
        """
        known = [
            m.interval_s
            for m in map(self._measurements.get, others)
            if m is not None and now - m.updated_at < RETENTION_S
        ]
        own = self._measurements.get(target)
        if not known:
            return None
        median_s = statistics.median(known)
        if own is None:
            return SpeedEstimate(median_s, UNKNOWN_SPREAD * median_s)
        weight = math.exp(-max(0.0, now - own.updated_at) / MEASUREMENT_DECAY_S)
        interval_s = weight * own.interval_s + (1.0 - weight) * median_s
        spread_s = weight * own.deviation_s + (1.0 - weight) * UNKNOWN_SPREAD * median_s
        return SpeedEstimate(interval_s, spread_s)

    def forget(self, target: str) -> None:
        """Remove what is known of a target, for example after it was replaced."""
        self._measurements.pop(target, None)
