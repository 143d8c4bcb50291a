"""Scheduling of training steps: which samples a trainer still needs, and how soon."""

from .carried import CarriedText, CarriedTexts
from .lengths import expected_remaining_events
from .priorities import USUAL_URGENCY, ItemRank, ItemState, StepSchedule

__all__ = [
    "USUAL_URGENCY",
    "CarriedText",
    "CarriedTexts",
    "ItemRank",
    "ItemState",
    "StepSchedule",
    "expected_remaining_events",
]
