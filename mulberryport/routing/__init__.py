"""Routing policy: target selection, queueing and load limits of each pool."""

from .candidates import Candidate, CandidateSet
from .ejection import Ejector
from .limits import ConcurrencyLimit
from .model import LoadReport, NoRoomError, ShedError, TargetView, WorkRequest
from .moving import (
    MoveBudget,
    expected_gain_s,
    longest_interval_s,
    may_move_again,
)
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
from .speeds import RemoteSpeed, SpeedEstimate, TargetSpeeds

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
    "MoveBudget",
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
    "RemoteSpeed",
    "WorkRequest",
    "choose_target",
    "expected_gain_s",
    "latest_report",
    "longest_interval_s",
    "max_min_fair_shares",
    "may_move_again",
]
