"""Usage counters: what was served for which workspace in which window.

Counters are cumulative for each (daemon incarnation, workspace, pool, window), so
that merging two copies by maximum can never count twice.
"""

from collections.abc import Callable, Iterable, MutableMapping

import xxhash
from attrs import define, field, frozen

from ..runtime.clock import wall_time
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = [
    "CounterKey",
    "Figures",
    "UsageCounters",
    "merge_counters",
    "merge_figures",
    "shard_of",
]

USAGE_DROPPED = define_event(
    1103,
    "usage_dropped",
    "error",
    "Usage of a window came too late to be reported and was dropped.",
)

# Windows that wait for a store outage to end; 1500 of 60 s are 25 hours. The
# counters of eight workspaces for that time take about 10 MB.
MAX_WINDOWS = 1500


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


def merge_counters(
    into: MutableMapping[CounterKey, Figures],
    counters: Iterable[tuple[CounterKey, Figures]],
) -> None:
    """Merge copies of counters into a mapping, which may know some of them."""
    for key, figures in counters:
        known = into.get(key)
        into[key] = figures if known is None else merge_figures(known, figures)


def shard_of(workspace: str, shards: int) -> int:
    """Return the shard whose reporter reports a workspace.

    Examples
    --------
    >>> shard_of("roads", 1)
    0
    """
    return xxhash.xxh64_intdigest(workspace.encode()) % shards


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
    shards : int
        Number of shards, each with its own reporter.
    replicate : callable
        Brings a counter to other daemons and waits for that for a short time.
    now : callable
        Returns the seconds since 1970 that decide in which window usage is counted.
    """

    vm: str
    incarnation: int
    window_length: int
    shards: int = 1
    replicate: Callable[[CounterKey], None] = lambda key: None
    now: Callable[[], float] = wall_time
    _figures: dict[CounterKey, Figures] = field(factory=dict)
    _first_open: dict[int, int] = field(factory=dict)
    _asked: dict[int, int] = field(factory=dict)

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
        at: float | None = None,
    ) -> CounterKey:
        """Count service in the window of a time and return the counter's key.

        Parameters
        ----------
        at : float or None
            Seconds since 1970; the present time by default.
        """
        # With a clock far behind, the current window can be settled already.
        first_open = self._first_open.get(shard_of(workspace, self.shards), 0)
        window = max(self.window_at(self.now() if at is None else at), first_open)
        key = CounterKey(self.vm, self.incarnation, workspace, pool, window)
        added = Figures(requests, tokens, samples)
        self._figures[key] = self._figures.get(key, Figures()) + added
        return key

    def settle(self, key: CounterKey) -> None:
        """Replicate a counter; call this before the last byte of the answer."""
        self.replicate(key)

    def merge(self, counters: Iterable[tuple[CounterKey, Figures]]) -> None:
        """Merge copies of counters of other daemons."""
        merge_counters(
            self._figures,
            (
                (key, figures)
                for key, figures in counters
                if key.window >= self._floor(key)
            ),
        )

    def get(self, key: CounterKey) -> Figures | None:
        """Return a counter."""
        return self._figures.get(key)

    def hand_over(
        self, shard: int, from_window: int, up_to_window: int
    ) -> list[tuple[CounterKey, Figures]]:
        """Return the counters that a reporter asks for and drop settled ones.

        Parameters
        ----------
        shard : int
            The reporter's shard.
        from_window : int
            The reporter will not report usage of windows before this one.
        up_to_window : int
            The last window that it asks for.
        """
        asked = self._asked.get(shard, from_window - 1)
        missed = [
            key
            for key in self._figures
            if self._is_own(key)
            and shard_of(key.workspace, self.shards) == shard
            and asked < key.window < from_window
        ]
        if missed:
            log(USAGE_DROPPED, counters=len(missed), before=from_window)
        self._asked[shard] = max(asked, up_to_window)
        self._first_open[shard] = max(from_window, self._first_open.get(shard, 0))
        self._drop(lambda key: key.window < self._floor(key))
        return [
            (key, figures)
            for key, figures in self._figures.items()
            if key.window <= up_to_window
            and shard_of(key.workspace, self.shards) == shard
        ]

    def own_keys(self) -> set[CounterKey]:
        """Return the keys of the counters that this daemon counts itself."""
        return {key for key in self._figures if self._is_own(key)}

    def expire(self) -> None:
        """Drop counters that no reporter asked for over ``MAX_WINDOWS`` windows."""
        oldest = self.window_at(self.now()) - MAX_WINDOWS
        expired = [key for key in self._figures if key.window < oldest]
        if expired:
            log(USAGE_DROPPED, counters=len(expired), before=oldest)
            self._drop(lambda key: key.window < oldest)

    def _floor(self, key: CounterKey) -> int:
        return self._first_open.get(shard_of(key.workspace, self.shards), 0)

    def _is_own(self, key: CounterKey) -> bool:
        return (key.vm, key.incarnation) == (self.vm, self.incarnation)

    def _drop(self, obsolete: Callable[[CounterKey], bool]) -> None:
        self._figures = {
            key: figures for key, figures in self._figures.items() if not obsolete(key)
        }
