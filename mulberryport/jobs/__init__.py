"""Batch jobs: accepted once, kept in the store, owned by one daemon at a time.

``model`` and ``codec`` say what a job is, and ``archive`` keeps it in the store.
``items`` does the work on one item and ``owned`` lists the results of a job.
``service`` is what callers use: it accepts jobs (``submission``), keeps and takes over
ownerships (``takeover``) and answers readers (``reading``) by what ``board`` knows.
"""

from .archive import JobArchive, JobHead
from .generation import (
    EngineLeftError,
    EngineStaleError,
    GenerationBrokenError,
    ItemFailedError,
    ItemImpossibleError,
    NotStartedError,
    Ports,
    Transcript,
)
from .model import Job, JobItem, JobResult, ScoringCall
from .reading import Page
from .service import JobService

__all__ = [
    "EngineLeftError",
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
