"""Copies of accepted jobs on small disks, for the time in which the store is away.

A job that cannot be written to the store is kept on several disks before it is
accepted. ``JobFolder`` keeps files, ``JournalKeeper`` brings what a disk holds into the
store as soon as that answers, and ``JournalClient`` is what entry daemons use. Nothing
is decided here: whose job it is and what is listed goes through the store alone.
"""

from .client import JOURNAL_PREFIX, JournalClient, JournalNode
from .folder import JobFolder
from .keeper import JournalKeeper

__all__ = [
    "JOURNAL_PREFIX",
    "JobFolder",
    "JournalClient",
    "JournalKeeper",
    "JournalNode",
]
