"""Scheduling of training steps: which samples a trainer still needs, and how soon."""

from .carried import CarriedText, CarriedTexts
from .lengths import expected_remaining_events

__all__ = ["CarriedText", "CarriedTexts", "expected_remaining_events"]
