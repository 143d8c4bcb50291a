"""Adaptive concurrency limit of a target, controlled by its latency."""

import math

from attrs import define

from .model import LoadReport

__all__ = ["ConcurrencyLimit"]

DECREASE_FACTOR = 0.85
# Ratio of recent to baseline latency that indicates congestion. Single samples do not,
# since a cached prefix alone changes the latency by a factor of several.
CONGESTION_RATIO = 6.0
RECENT_SMOOTHING = 0.1
# The baseline falls quickly and rises slowly, so that a long overload does not become
# the baseline.
BASELINE_FALL_SMOOTHING = 0.05
BASELINE_RISE_SMOOTHING = 0.005
# Fraction of the capacity that may wait in the target, so that it always has a next
# request. It is above the capacity slack of the candidates, which is not congestion.
MAX_WAITING_FRACTION = 0.4
# Shortest time between two decreases; a load report arrives once a second.
MIN_DECREASE_INTERVAL_S = 1.0


@define(eq=False)
class ConcurrencyLimit:
    """Limit on the requests of this daemon that run at one target.

    Uses additive increase and multiplicative decrease (Chiu and Jain, "Analysis of the
    increase and decrease algorithms for congestion avoidance in computer
    networks", Computer Networks and ISDN Systems 17, 1989), on the ratio of recent
    to baseline latency (like TCP Vegas, Brakmo and Peterson, 1995). Daemons that see
    the same congestion converge to equal shares without communication. Congestion is
    detected from the latency, which every sender measures, and from the number of
    requests that wait in the target according to its load report, whoever sent them.

    Parameters
    ----------
    ceiling : int
        Largest and initial limit, from the pool's settings.

    Examples
    --------
    >>> limit = ConcurrencyLimit(16)
    >>> report = LoadReport(running=16, waiting=9, capacity=16)
    >>> limit.record_load_report(report, now=1.0)
    >>> limit.value
    13
    """

    ceiling: int
    _value: float = math.inf
    _recent_latency_s: float = 0.0
    _baseline_latency_s: float = 0.0
    _last_decrease_at: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Start with the limit at the ceiling."""
        self._value = min(self._value, float(self.ceiling))

    @property
    def value(self) -> int:
        """Current limit, from 1 to the ceiling."""
        return int(self._value)

    def set_ceiling(self, ceiling: int) -> None:
        """Apply a changed setting of the pool."""
        if ceiling != self.ceiling:
            follows_ceiling = self._value >= self.ceiling and ceiling > self.ceiling
            self.ceiling = ceiling
            self._value = (
                float(ceiling) if follows_ceiling else min(self._value, ceiling)
            )

    def record_success(self, latency: float | None, in_flight: int, now: float) -> None:
        """Adapt the limit to a successful request.

        Parameters
        ----------
        latency : float or None
            Seconds until the first byte, None if not measured.
        in_flight : int
            Requests of this daemon that ran at the target, including this one.
        now : float
            Boot time.
        """
        if latency is not None and self._is_congested(latency):
            self._decrease(now)
        elif in_flight * 2 > self._value:
            # A limit that is not used gives no evidence of what the target can handle.
            self._value = min(self.ceiling, self._value + 1.0 / self._value)

    def record_failure(self, now: float) -> None:
        """Adapt the limit to a failure, which may be caused by overload."""
        self._decrease(now)

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Adapt the limit to a new load report."""
        if report.waiting > max(1.0, MAX_WAITING_FRACTION * report.capacity):
            self._decrease(now)

    def _is_congested(self, latency: float) -> bool:
        if not self._baseline_latency_s:
            self._baseline_latency_s = self._recent_latency_s = latency
        self._recent_latency_s += RECENT_SMOOTHING * (latency - self._recent_latency_s)
        smoothing = (
            BASELINE_FALL_SMOOTHING
            if self._recent_latency_s < self._baseline_latency_s
            else BASELINE_RISE_SMOOTHING
        )
        self._baseline_latency_s += smoothing * (
            self._recent_latency_s - self._baseline_latency_s
        )
        return self._recent_latency_s > CONGESTION_RATIO * self._baseline_latency_s

    def _decrease(self, now: float) -> None:
        if now - self._last_decrease_at >= MIN_DECREASE_INTERVAL_S:
            self._value = max(1.0, self._value * DECREASE_FACTOR)
            self._last_decrease_at = now
