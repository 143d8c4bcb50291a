"""Rollouts: steps, groups and samples, from generation to delivery."""

from .model import GroupSpec, Sample, StepId, StepSpec, VersionSpan
from .service import PullResult, RolloutService
from .step import StepState

__all__ = [
    "GroupSpec",
    "PullResult",
    "RolloutService",
    "Sample",
    "StepId",
    "StepSpec",
    "StepState",
    "VersionSpan",
]
