"""Clocks for intervals and for window numbers."""

import time

__all__ = ["boottime", "wall_time"]


def boottime() -> float:
    """Return seconds since boot, counting time in which the VM was suspended.

    Leases and deadlines use this clock, so that a VM that was paused notices
    on wake-up that time has passed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return seconds since the epoch, for usage windows and logs only."""
    return time.time()
