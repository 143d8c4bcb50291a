"""Infrastructure of all processes: event loop, clocks, timers, invariants, HTTP."""

from .clock import boottime, wall_time
from .hub import install_eventlet, run_coroutine, run_in_green_thread
from .invariants import InvariantError, require
from .timers import Subscription, TimerService

__all__ = [
    "InvariantError",
    "Subscription",
    "TimerService",
    "boottime",
    "install_eventlet",
    "require",
    "run_coroutine",
    "run_in_green_thread",
    "wall_time",
]
