"""Clocks for intervals and for usage windows."""

import time

__all__ = ["boottime", "wall_time"]


def boottime() -> float:
    """Return the seconds since boot, including time for which the VM was suspended.

    Leases and deadlines use this clock, so that they also expire while the VM is
    suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_time() -> float:
    """Return the seconds since the epoch; only for usage windows and logs."""
    return time.time()
