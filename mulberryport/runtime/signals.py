"""Signals that stop a process."""

import signal
from collections.abc import Callable

__all__ = ["ignore_stop_signals", "on_stop_signal"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def on_stop_signal(handler: Callable[..., object]) -> None:
    """Call a function when the process is to stop."""
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, handler)


def ignore_stop_signals() -> None:
    """Ignore further stop signals; call it when the graceful stop has finished.

    The interpreter removes handlers while it shuts down. A signal that is repeated at
    that time would end the process with a status of failure.
    """
    for stop_signal in STOP_SIGNALS:
        signal.signal(stop_signal, signal.SIG_IGN)
