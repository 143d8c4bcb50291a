"""How long the latest requests of each route took, for planned stops."""

from collections import deque

from attrs import define, field

__all__ = ["RouteDurations"]

# Requests of a route that are remembered.
REMEMBERED_REQUESTS = 32


@define(eq=False)
class RouteDurations:
    """Durations of the requests of each route that were served last.

    Examples
    --------
    >>> durations = RouteDurations()
    >>> durations.longest_s("notes")
    0.0
    >>> for duration_s in (0.1, 2.5, 0.2):
    ...     durations.record("notes", duration_s)
    >>> durations.longest_s("notes")
    2.5
    """

    _by_route: dict[str, deque[float]] = field(factory=dict)

    def record(self, route: str, duration_s: float) -> None:
        """Record a request that was served."""
        durations = self._by_route.get(route)
        if durations is None:
            durations = self._by_route[route] = deque(maxlen=REMEMBERED_REQUESTS)
        durations.append(duration_s)

    def longest_s(self, route: str) -> float:
        """Return the longest of the latest durations; 0 if none is known."""
        return max(self._by_route.get(route, ()), default=0.0)
