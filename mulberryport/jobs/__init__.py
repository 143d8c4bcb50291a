"""Batch jobs: accepted once, stored durably and owned by one daemon at a time.

``model`` and ``codec`` define jobs and their encoding, and ``repository`` persists them
in the store. ``items`` executes one item and ``owned`` commits the results of a job.
``service`` is the public interface: it accepts jobs (``submission``), maintains and
takes over ownerships (``takeover``) and serves reads (``reading``), based on the shared
``registry``.
"""

from .generation import (
    DeadlinePassedError,
    EngineClient,
    EngineSwitchError,
    ItemFailedError,
    ItemRejectedError,
    NotStartedError,
    StaleWeightsError,
    StreamInterruptedError,
    Transcript,
)
from .model import Job, JobItem, JobResult, ScoringCall
from .reading import ResultPage
from .repository import JobHead, JobRepository, RecordTooLargeError, check_record
from .service import JobService

__all__ = [
    "EngineSwitchError",
    "StaleWeightsError",
    "StreamInterruptedError",
    "ItemFailedError",
    "ItemRejectedError",
    "Job",
    "JobRepository",
    "JobHead",
    "JobItem",
    "JobResult",
    "JobService",
    "NotStartedError",
    "RecordTooLargeError",
    "ResultPage",
    "DeadlinePassedError",
    "EngineClient",
    "ScoringCall",
    "Transcript",
    "check_record",
]
