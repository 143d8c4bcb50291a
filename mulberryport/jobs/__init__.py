"""Batch jobs: accepted once, kept in the store, owned by one daemon at a time.

``model`` and ``codec`` say what a job is, ``archive`` keeps it in the store,
``owned`` generates its results and ``service`` finds the owner, takes over the jobs of
lost daemons and answers readers.
"""

from .archive import JobArchive, JobHead
from .generation import (
    EngineStaleError,
    GenerationBrokenError,
    ItemFailedError,
    ItemImpossibleError,
    NotStartedError,
    Ports,
    Transcript,
)
from .model import Job, JobItem, JobResult, ScoringCall
from .service import JobService, Page

__all__ = [
    "EngineStaleError",
    "GenerationBrokenError",
    "ItemFailedError",
    "ItemImpossibleError",
    "Job",
    "JobArchive",
    "JobHead",
    "JobItem",
    "JobResult",
    "JobService",
    "NotStartedError",
    "Page",
    "Ports",
    "ScoringCall",
    "Transcript",
]
