"""Latency between events of engines, as measured by the owners of jobs.

Generation can move to another engine at the cost of a new prefill, which is small
compared with the delay that a slow engine adds to a step waiting for its last samples.
"""

import statistics

from attrs import define, field

__all__ = ["EngineLatencyTracker"]

# An engine is slow if its latency exceeds the median of the others by this factor. The
# factor allows for load: a full engine generates half as fast as an idle one.
SLOW_FACTOR = 2.0
# Number of events measured before an engine can be classified as slow.
MIN_EVENTS = 6
SMOOTHING_FACTOR = 0.2
# Measurements expire after this time, so that a slow engine is given work again, which
# shows whether it is still slow.
MAX_AGE_S = 4.0


@define
class EngineLatency:
    """Exponentially smoothed time between two events of one engine."""

    interval_s: float
    events: int = 1
    updated_at: float = 0.0


@define(eq=False)
class EngineLatencyTracker:
    """Event latencies of the engines that this daemon uses.

    Examples
    --------
    >>> tracker = EngineLatencyTracker()
    >>> for second in range(10):
    ...     for engine, interval_s in (("a", 0.04), ("b", 0.05), ("c", 0.15)):
    ...         tracker.record(engine, interval_s, float(second))
    >>> sorted(tracker.slow_engines(10.0))
    ['c']
    """

    _latencies: dict[str, EngineLatency] = field(factory=dict)

    def record(self, engine: str, interval_s: float, now: float) -> None:
        """Record the time between two consecutive events of an engine."""
        latency = self._latencies.get(engine)
        if latency is None or now - latency.updated_at > MAX_AGE_S:
            self._latencies[engine] = EngineLatency(interval_s, updated_at=now)
            return
        latency.interval_s += SMOOTHING_FACTOR * (interval_s - latency.interval_s)
        latency.events += 1
        latency.updated_at = now

    def is_slow(self, engine: str, now: float) -> bool:
        """Whether running work should move away from an engine."""
        latency = self._latencies.get(engine)
        if latency is None or latency.events < MIN_EVENTS:
            return False
        others = [
            other.interval_s
            for name, other in self._latencies.items()
            if name != engine
            and other.events >= MIN_EVENTS
            and now - other.updated_at <= MAX_AGE_S
        ]
        if not others or now - latency.updated_at > MAX_AGE_S:
            return False
        return latency.interval_s > SLOW_FACTOR * statistics.median(others)

    def slow_engines(self, now: float) -> frozenset[str]:
        """Return the engines that new work should avoid."""
        return frozenset(name for name in self._latencies if self.is_slow(name, now))
