"""Replicated on-disk journal of jobs that are accepted while the store is unreachable.

A job that cannot be written to the store is written to several journal nodes before it
is accepted. ``JobFileStore`` persists jobs as files, ``JournalService`` uploads them to
the store once it is reachable, and ``JournalClient`` is used by entry daemons. The
journal makes no decisions: ownership and results are determined by the store alone.
"""

from .client import JOURNAL_PREFIX, JournalClient, JournalNode
from .file_store import JobFileStore
from .service import JournalService

__all__ = [
    "JOURNAL_PREFIX",
    "JobFileStore",
    "JournalClient",
    "JournalService",
    "JournalNode",
]
