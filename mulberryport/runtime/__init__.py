"""What every process needs: event loop, clocks, timers, invariants, HTTP calls."""

from .clock import boottime, wall_time
from .hub import await_green, install, run_coroutine
from .invariants import InvariantError, require
from .timers import Subscription, TimerService

__all__ = [
    "InvariantError",
    "Subscription",
    "TimerService",
    "await_green",
    "boottime",
    "install",
    "require",
    "run_coroutine",
    "wall_time",
]
