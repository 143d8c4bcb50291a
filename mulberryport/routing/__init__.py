"""Routing policy: which target serves a request, and when it must wait."""

from .model import LoadReport, TargetView
from .selection import choose_target, expected_load

__all__ = ["LoadReport", "TargetView", "choose_target", "expected_load"]
