"""Client library for trainers."""

from .trainer import Group, ReceivedSample, StepFailedError, TrainerClient

__all__ = ["Group", "ReceivedSample", "StepFailedError", "TrainerClient"]
