"""Events, logs, the hybrid clock, metrics and the time line."""

from .clock import HybridClock, process_clock
from .events import Event, define
from .logs import configure, log, recent

__all__ = [
    "Event",
    "HybridClock",
    "configure",
    "define",
    "log",
    "process_clock",
    "recent",
]
