"""Events, logs, the hybrid logical clock, metrics and timelines."""

from .clock import HybridClock, process_clock
from .events import Event, define
from .logs import configure_logging, log, recent_entries
from .metrics import LONG_TURN_SECONDS

__all__ = [
    "Event",
    "LONG_TURN_SECONDS",
    "HybridClock",
    "configure_logging",
    "define",
    "log",
    "process_clock",
    "recent_entries",
]
