"""Usage: counters, their replication, and one report for each window."""

from .answers import before_last_byte
from .archive import WindowArchive
from .counters import CounterKey, Figures, UsageCounters, merge_figures
from .replicator import UsageReplicator
from .reporter import UsageReporter

__all__ = [
    "CounterKey",
    "Figures",
    "UsageCounters",
    "UsageReplicator",
    "UsageReporter",
    "WindowArchive",
    "before_last_byte",
    "merge_figures",
]
