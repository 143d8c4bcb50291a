"""Targets: directory, request dispatch, clients, and provisioning orders."""

from ..routing import LoadReport, TargetView
from .directory import TargetDirectory
from .dispatcher import Assignment, Dispatcher, NoRoomError, ShedError, WorkRequest

__all__ = [
    "Assignment",
    "Dispatcher",
    "LoadReport",
    "NoRoomError",
    "ShedError",
    "TargetDirectory",
    "TargetView",
    "WorkRequest",
]
