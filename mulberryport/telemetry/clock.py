"""A hybrid logical clock, which orders events of many processes.

Physical milliseconds are joined with a counter, so that an event caused by a
message from another process has a greater time stamp than the event that sent
it, even if the wall clocks of the two VMs differ. Source: Kulkarni et al.,
"Logical Physical Clocks", 2014.
"""

import time

from attrs import define

__all__ = ["HybridClock", "process_clock"]

COUNTER_BITS = 16
# A peer whose wall clock is further ahead than this is not followed: one VM with
# a broken clock would otherwise move the time stamps of all.
MAX_LEAD_MS = 60_000


@define(eq=False)
class HybridClock:
    """The clock of one process.

    Examples
    --------
    >>> clock = HybridClock()
    >>> first = clock.now()
    >>> clock.now() > first
    True
    >>> clock.observe(first + 1000)
    >>> clock.now() > first + 1000
    True
    """

    _last: int = 0

    def now(self) -> int:
        """Return a time stamp greater than all seen before."""
        physical = int(time.time() * 1000) << COUNTER_BITS
        self._last = max(self._last + 1, physical)
        return self._last

    def observe(self, stamp: int) -> None:
        """Take account of a time stamp that came with a message."""
        limit = (int(time.time() * 1000) + MAX_LEAD_MS) << COUNTER_BITS
        if self._last < stamp <= limit:
            self._last = stamp


process_clock = HybridClock()
