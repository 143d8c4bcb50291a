"""Routing policy: which target serves a request, and when it must wait."""

from .candidates import Candidate, CandidateSet
from .ejection import Ejector
from .limits import ConcurrencyLimit
from .model import LoadReport, ShedError, TargetView, WorkRequest
from .queue import FairQueue, Ticket
from .retries import RetryBudget
from .scheduler import Grant, PoolScheduler, Result
from .selection import choose_target
from .sharing import Shares, due_places

__all__ = [
    "Candidate",
    "CandidateSet",
    "ConcurrencyLimit",
    "Ejector",
    "FairQueue",
    "Grant",
    "LoadReport",
    "PoolScheduler",
    "Result",
    "RetryBudget",
    "Shares",
    "ShedError",
    "TargetView",
    "Ticket",
    "WorkRequest",
    "choose_target",
    "due_places",
]
