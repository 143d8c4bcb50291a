"""Usage accounting: counters, their replication and one report per window."""

from .archive import WindowArchive
from .counters import CounterKey, UsageAmounts, UsageCounters, merge_amounts
from .replicator import UsageReplicator
from .reporter import UsageReporter
from .response import call_before_last_byte

__all__ = [
    "CounterKey",
    "UsageAmounts",
    "UsageCounters",
    "UsageReplicator",
    "UsageReporter",
    "WindowArchive",
    "call_before_last_byte",
    "merge_amounts",
]
