"""Usage counters: what was served for which workspace in which window.

Counters are cumulative for each (daemon incarnation, workspace, pool, window), so
that merging two copies by maximum can never count twice.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from ..runtime.clock import wall_time

__all__ = ["CounterKey", "Figures", "UsageCounters", "merge_figures"]


@frozen
class CounterKey:
    """What a counter counts."""

    vm: str
    incarnation: int
    workspace: str
    pool: str
    window: int


@frozen
class Figures:
    """Amounts of service.

    Parameters
    ----------
    requests, tokens, samples : int
        Requests answered, tokens generated and samples finished.
    """

    requests: int = 0
    tokens: int = 0
    samples: int = 0

    def __add__(self, other: "Figures") -> "Figures":
        return Figures(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.samples + other.samples,
        )


def merge_figures(first: Figures, second: Figures) -> Figures:
    """Return the greater of each amount of two copies of one counter.

    Examples
    --------
    >>> merge_figures(Figures(1, 10), Figures(2, 5))
    Figures(requests=2, tokens=10, samples=0)
    """
    return Figures(
        max(first.requests, second.requests),
        max(first.tokens, second.tokens),
        max(first.samples, second.samples),
    )


@define(eq=False)
class UsageCounters:
    """The counters of this daemon and the copies it keeps for others.

    Parameters
    ----------
    vm : str
        Id of this VM.
    incarnation : int
        Number of this start of the daemon.
    window_length : int
        Seconds of a window.
    """

    vm: str
    incarnation: int
    window_length: int
    _figures: dict[CounterKey, Figures] = field(factory=dict)

    def window_at(self, wall: float) -> int:
        """Return the number of the window that contains a wall time."""
        return int(wall // self.window_length)

    def add(
        self,
        workspace: str,
        pool: str,
        *,
        requests: int = 0,
        tokens: int = 0,
        samples: int = 0,
    ) -> CounterKey:
        """Count service in the current window and return the counter's key."""
        window = self.window_at(wall_time())
        key = CounterKey(self.vm, self.incarnation, workspace, pool, window)
        added = Figures(requests, tokens, samples)
        self._figures[key] = self._figures.get(key, Figures()) + added
        return key

    def merge(self, counters: Iterable[tuple[CounterKey, Figures]]) -> None:
        """Merge copies of counters of other daemons."""
        for key, figures in counters:
            known = self._figures.get(key, Figures())
            self._figures[key] = merge_figures(known, figures)

    def items(self, up_to_window: int) -> list[tuple[CounterKey, Figures]]:
        """Return all counters of windows up to one, this one included."""
        return [
            (key, figures)
            for key, figures in self._figures.items()
            if key.window <= up_to_window
        ]

    def forget(self, before_window: int) -> None:
        """Drop the counters of windows before one."""
        self._figures = {
            key: figures
            for key, figures in self._figures.items()
            if key.window >= before_window
        }
