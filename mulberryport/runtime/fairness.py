"""Sharing the processor among green threads.

A green thread hands the processor over only when it waits. One whose socket always has
data never waits, so that a peer that sends without end would stop the whole process.
Reads from sockets (``green_sockets``) therefore let others run after ``MAX_RUN_S``, and
loops over buffered data call ``yield_if_due``.

Writes never do: a permission may be checked right before one.
"""

import math
import time

import eventlet
import eventlet.hubs
import greenlet

__all__ = ["MAX_RUN_S", "yield_if_due"]

# Longest time for which a green thread with data to read keeps others from running.
MAX_RUN_S = 0.002


def yield_if_due() -> None:
    """Let other green threads run if this one has run for ``MAX_RUN_S``."""
    hub = eventlet.hubs.get_hub()
    # Programs that do not call ``install_eventlet`` have another hub.
    resumed_at = getattr(hub, "resumed_at", math.inf)
    is_due = time.monotonic() - resumed_at > MAX_RUN_S
    if is_due and greenlet.getcurrent() is not hub.greenlet:
        eventlet.sleep(0)
