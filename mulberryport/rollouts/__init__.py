"""Rollouts: generation and delivery of the samples of training steps."""

from .model import GroupSpec, Sample, StepId, StepSpec, VersionSpan
from .service import OpenResult, PullResult, RolloutService
from .step import InvalidPullError, StepState

__all__ = [
    "GroupSpec",
    "InvalidPullError",
    "OpenResult",
    "PullResult",
    "RolloutService",
    "Sample",
    "StepId",
    "StepSpec",
    "StepState",
    "VersionSpan",
]
