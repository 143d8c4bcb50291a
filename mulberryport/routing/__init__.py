"""Routing policy: target selection, queueing and load limits of each pool."""

from .candidates import Candidate, CandidateSet
from .ejection import Ejector
from .limits import ConcurrencyLimit
from .model import LoadReport, NoRoomError, ShedError, TargetView, WorkRequest
from .permits import (
    COLD_RATE_FRACTION,
    MAX_PERMIT_WAIT_S,
    PermitSchedule,
    Reservation,
)
from .queue import FairQueue, QueuedRequest
from .rate_limits import RateLimitReport, latest_report
from .retries import RetryBudget
from .scheduler import Grant, PoolScheduler, Result
from .selection import choose_target
from .sharing import Shares, max_min_fair_shares
from .speeds import SpeedEstimate, TargetSpeeds

__all__ = [
    "COLD_RATE_FRACTION",
    "MAX_PERMIT_WAIT_S",
    "PermitSchedule",
    "Reservation",
    "Candidate",
    "CandidateSet",
    "ConcurrencyLimit",
    "Ejector",
    "FairQueue",
    "Grant",
    "LoadReport",
    "NoRoomError",
    "PoolScheduler",
    "Result",
    "RetryBudget",
    "Shares",
    "ShedError",
    "SpeedEstimate",
    "TargetSpeeds",
    "TargetView",
    "QueuedRequest",
    "RateLimitReport",
    "WorkRequest",
    "choose_target",
    "latest_report",
    "max_min_fair_shares",
]
