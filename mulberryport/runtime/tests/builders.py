"""Measurements for tests of green threads."""

import time
from contextlib import contextmanager

import eventlet

__all__ = ["longest_gap"]

HEARTBEAT_PERIOD_S = 0.002


@contextmanager
def longest_gap():
    """Measure for how long no other green thread runs.

    Yields a function that returns the longest time in seconds between two runs of a
    green thread that only sleeps.
    """
    gaps = [0.0]

    def beat():
        while True:
            started_at = time.monotonic()
            eventlet.sleep(HEARTBEAT_PERIOD_S)
            gaps.append(time.monotonic() - started_at)

    thread = eventlet.spawn(beat)
    eventlet.sleep(0)
    try:
        yield lambda: max(gaps)
    finally:
        thread.kill()
