"""Sharing the processor among green threads.

A green thread hands the processor over only when it waits. One whose socket always has
data never waits, so that a peer that sends without end would stop the whole process.
Reads from sockets therefore let others run after ``MAX_RUN_S``, and loops over buffered
data call ``yield_if_due``.

Writes never do: a permission may be checked right before one.
"""

import functools
import math
import time
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs
import greenlet
from eventlet.greenio import GreenSocket

__all__ = ["MAX_RUN_S", "share_processor", "yield_if_due"]

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


def share_processor() -> None:
    """Make reads from green sockets call ``yield_if_due`` first."""
    if not hasattr(GreenSocket._recv_loop, "__wrapped__"):
        GreenSocket._recv_loop = _sharing(GreenSocket._recv_loop)


def _sharing(receive: Callable[..., Any]) -> Callable[..., Any]:
    @functools.wraps(receive)
    def receive_and_share(green_socket: Any, *args: Any) -> Any:
        if not green_socket.act_non_blocking:
            yield_if_due()
        return receive(green_socket, *args)

    return receive_and_share
