"""Scheduling of training steps: which samples a trainer still needs, and how soon."""

from .lengths import expected_remaining_events

__all__ = ["expected_remaining_events"]
