"""Targets: directory, request dispatch, clients, and provisioning orders."""

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
