"""Targets: what is known of them, how to call them, and orders for more of them."""

from ..routing import LoadReport, TargetView
from .directory import TargetDirectory
from .dispatcher import Assignment, Dispatcher, ShedError, WorkRequest

__all__ = [
    "Assignment",
    "Dispatcher",
    "LoadReport",
    "ShedError",
    "TargetDirectory",
    "TargetView",
    "WorkRequest",
]
