"""Usage counters: service delivered by workspace, pool and time window.

Counters are cumulative for each (daemon incarnation, workspace, pool, window), so
merging copies by maximum never counts usage twice.
"""

from collections.abc import Callable, Iterable, MutableMapping

import xxhash
from attrs import define, field, frozen

from ..runtime.clock import wall_time
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = [
    "CounterKey",
    "UsageAmounts",
    "UsageCounters",
    "merge_counters",
    "merge_amounts",
    "shard_of",
]

USAGE_DROPPED = define_event(
    1103,
    "usage_dropped",
    "error",
    "Usage arrived too late to be reported and was dropped.",
)

# Windows retained during a store outage; 1500 windows of 60 s cover 25 hours. The
# counters of eight workspaces for that time take about 10 MB.
MAX_RETAINED_WINDOWS = 1500


@frozen
class CounterKey:
    """Identity of a counter."""

    vm: str
    incarnation: int
    workspace: str
    pool: str
    window: int


@frozen
class UsageAmounts:
    """Usage totals of one counter.

    Parameters
    ----------
    requests, tokens, samples : int
        Number of requests answered, tokens generated and samples finished.
    """

    requests: int = 0
    tokens: int = 0
    samples: int = 0

    def __add__(self, other: "UsageAmounts") -> "UsageAmounts":
        return UsageAmounts(
            self.requests + other.requests,
            self.tokens + other.tokens,
            self.samples + other.samples,
        )


def merge_amounts(first: UsageAmounts, second: UsageAmounts) -> UsageAmounts:
    """Merge two copies of one counter by the maximum of each amount.

    Examples
    --------
    >>> merge_amounts(UsageAmounts(1, 10), UsageAmounts(2, 5))
    UsageAmounts(requests=2, tokens=10, samples=0)
    """
    return UsageAmounts(
        max(first.requests, second.requests),
        max(first.tokens, second.tokens),
        max(first.samples, second.samples),
    )


def merge_counters(
    merged: MutableMapping[CounterKey, UsageAmounts],
    counters: Iterable[tuple[CounterKey, UsageAmounts]],
) -> None:
    """Merge copies of counters into a mapping that may already hold some of them."""
    for key, amounts in counters:
        known = merged.get(key)
        merged[key] = amounts if known is None else merge_amounts(known, amounts)


def shard_of(workspace: str, shards: int) -> int:
    """Return the shard whose reporter covers a workspace.

    Examples
    --------
    >>> shard_of("roads", 1)
    0
    """
    return xxhash.xxh64_intdigest(workspace.encode()) % shards


@define(eq=False)
class UsageCounters:
    """The counters of this daemon and the copies of other daemons' counters.

    Parameters
    ----------
    vm : str
        Id of this VM.
    incarnation : int
        Incarnation number of this daemon process.
    window_length_s : int
        Length of a window in seconds.
    shards : int
        Number of shards, each with its own reporter.
    replicate : callable
        Sends a counter to other daemons and waits briefly for acknowledgement.
    now : callable
        Returns the Unix time that determines the window in which usage is counted.
    """

    vm: str
    incarnation: int
    window_length_s: int
    shards: int = 1
    replicate: Callable[[CounterKey], None] = lambda key: None
    now: Callable[[], float] = wall_time
    _counters: dict[CounterKey, UsageAmounts] = field(factory=dict)
    _first_open_windows: dict[int, int] = field(factory=dict)
    _last_requested_windows: dict[int, int] = field(factory=dict)

    def window_at(self, wall: float) -> int:
        """Return the number of the window that contains a wall clock time."""
        return int(wall // self.window_length_s)

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
        """Count usage in the window of a time and return the counter's key.

        Parameters
        ----------
        at : float or None
            Unix time; the current time by default.
        """
        # If the clock is far behind, its current window may already be frozen.
        first_open = self._first_open_windows.get(shard_of(workspace, self.shards), 0)
        window = max(self.window_at(self.now() if at is None else at), first_open)
        key = CounterKey(self.vm, self.incarnation, workspace, pool, window)
        added = UsageAmounts(requests, tokens, samples)
        self._counters[key] = self._counters.get(key, UsageAmounts()) + added
        return key

    def make_durable(self, key: CounterKey) -> None:
        """Replicate a counter; call this before the last byte of the response."""
        self.replicate(key)

    def merge(self, counters: Iterable[tuple[CounterKey, UsageAmounts]]) -> None:
        """Merge copies of the counters of other daemons."""
        merge_counters(
            self._counters,
            (
                (key, amounts)
                for key, amounts in counters
                if key.window >= self._first_open_window(key)
            ),
        )

    def get(self, key: CounterKey) -> UsageAmounts | None:
        """Return the amounts of a counter, or None if it is not held."""
        return self._counters.get(key)

    def collect_counters(
        self, shard: int, from_window: int, up_to_window: int
    ) -> list[tuple[CounterKey, UsageAmounts]]:
        """Return the counters that a reporter requests and drop obsolete ones.

        Parameters
        ----------
        shard : int
            Shard of the reporter.
        from_window : int
            First window that the reporter can still report.
        up_to_window : int
            Last window that the reporter requests.
        """
        last_requested = self._last_requested_windows.get(shard, from_window - 1)
        missed = [
            key
            for key in self._counters
            if self._is_own(key)
            and shard_of(key.workspace, self.shards) == shard
            and last_requested < key.window < from_window
        ]
        if missed:
            log(USAGE_DROPPED, counters=len(missed), before=from_window)
        self._last_requested_windows[shard] = max(last_requested, up_to_window)
        self._first_open_windows[shard] = max(
            from_window, self._first_open_windows.get(shard, 0)
        )
        self._drop(lambda key: key.window < self._first_open_window(key))
        return [
            (key, amounts)
            for key, amounts in self._counters.items()
            if key.window <= up_to_window
            and shard_of(key.workspace, self.shards) == shard
        ]

    def own_keys(self) -> set[CounterKey]:
        """Return the keys of the counters that this daemon increments."""
        return {key for key in self._counters if self._is_own(key)}

    def expire(self) -> None:
        """Drop counters older than ``MAX_RETAINED_WINDOWS`` windows."""
        oldest = self.window_at(self.now()) - MAX_RETAINED_WINDOWS
        expired = [key for key in self._counters if key.window < oldest]
        if expired:
            log(USAGE_DROPPED, counters=len(expired), before=oldest)
            self._drop(lambda key: key.window < oldest)

    def _first_open_window(self, key: CounterKey) -> int:
        return self._first_open_windows.get(shard_of(key.workspace, self.shards), 0)

    def _is_own(self, key: CounterKey) -> bool:
        return (key.vm, key.incarnation) == (self.vm, self.incarnation)

    def _drop(self, obsolete: Callable[[CounterKey], bool]) -> None:
        self._counters = {
            key: amounts for key, amounts in self._counters.items() if not obsolete(key)
        }
