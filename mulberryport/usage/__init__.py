"""Usage: counters, their replication, and one report for each window."""

from .counters import CounterKey, Figures, UsageCounters, merge_figures
from .reporter import UsageReporter

__all__ = [
    "CounterKey",
    "Figures",
    "UsageCounters",
    "UsageReporter",
    "merge_figures",
]
