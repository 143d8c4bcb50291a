"""A hybrid logical clock, which orders the events of several processes.

A timestamp combines milliseconds of the wall clock with a counter, so that the event
caused by a message from another process has a greater timestamp than the event that
sent the message, even if the wall clocks of the two VMs differ. Source: Kulkarni et
al., "Logical Physical Clocks", 2014.
"""

import time

from attrs import define

__all__ = ["HybridClock", "process_clock"]

COUNTER_BITS = 16
# Timestamps further ahead of the local wall clock are ignored. Otherwise one VM with
# a wrong clock would advance the timestamps of all processes.
MAX_CLOCK_LEAD_MS = 60_000


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

    _last_timestamp: int = 0

    def now(self) -> int:
        """Return a timestamp greater than all previous and observed ones."""
        wall_timestamp = int(time.time() * 1000) << COUNTER_BITS
        self._last_timestamp = max(self._last_timestamp + 1, wall_timestamp)
        return self._last_timestamp

    def observe(self, timestamp: int) -> None:
        """Advance the clock to the timestamp of a received message."""
        limit = (int(time.time() * 1000) + MAX_CLOCK_LEAD_MS) << COUNTER_BITS
        if self._last_timestamp < timestamp <= limit:
            self._last_timestamp = timestamp


process_clock = HybridClock()
