"""Signals that stop a process."""

import os
import signal
from collections.abc import Callable

__all__ = ["exit_process", "on_stop_signal"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def on_stop_signal(handler: Callable[..., object]) -> None:
    """Call a function when the process is to stop."""
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, handler)


def exit_process() -> None:
    """End the process with success when its graceful stop has finished.

    The interpreter removes signal handlers while it shuts down, so that a signal that
    is repeated at that time would end the process with a status of failure. Nothing is
    left to do then: logs are not buffered.
    """
    os._exit(0)
