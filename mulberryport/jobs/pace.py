"""How fast engines make events, as the owner of jobs sees it.

A text can go on at another engine at the cost of reading it in again, which is small
beside what a slow engine costs a step that waits for its last samples.
"""

import statistics

from attrs import define, field

__all__ = ["PaceBoard"]

# An engine is slow if its events take this many times as long as usual. Engines that
# are full make events half as fast as idle ones.
SLOW_FACTOR = 2.0
# Events before an engine is judged.
FEWEST_EVENTS = 6
SMOOTHING = 0.2
# A judgement without news ends after this time, so that work shows whether it holds.
LIFETIME_S = 4.0


@define
class Pace:
    """Seconds between two events of one engine, smoothed."""

    interval: float
    events: int = 1
    noted_at: float = 0.0


@define(eq=False)
class PaceBoard:
    """Paces of the engines that this daemon uses.

    Examples
    --------
    >>> board = PaceBoard()
    >>> for second in range(10):
    ...     for engine, interval in (("a", 0.04), ("b", 0.05), ("c", 0.15)):
    ...         board.note(engine, interval, float(second))
    >>> sorted(board.slow(10.0))
    ['c']
    """

    _paces: dict[str, Pace] = field(factory=dict)

    def note(self, engine: str, interval: float, now: float) -> None:
        """Note the seconds between two events of an engine."""
        pace = self._paces.get(engine)
        if pace is None or now - pace.noted_at > LIFETIME_S:
            self._paces[engine] = Pace(interval, noted_at=now)
            return
        pace.interval += SMOOTHING * (interval - pace.interval)
        pace.events += 1
        pace.noted_at = now

    def is_slow(self, engine: str, now: float) -> bool:
        """Whether work should leave an engine."""
        pace = self._paces.get(engine)
        if pace is None or pace.events < FEWEST_EVENTS:
            return False
        others = [
            other.interval
            for name, other in self._paces.items()
            if name != engine
            and other.events >= FEWEST_EVENTS
            and now - other.noted_at <= LIFETIME_S
        ]
        if not others or now - pace.noted_at > LIFETIME_S:
            return False
        return pace.interval > SLOW_FACTOR * statistics.median(others)

    def slow(self, now: float) -> frozenset[str]:
        """Return the engines that new work should avoid."""
        return frozenset(name for name in self._paces if self.is_slow(name, now))
