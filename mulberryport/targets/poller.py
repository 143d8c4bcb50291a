"""Polling of load reports and of the list of VMs."""

import eventlet

from ..outcomes import Done
from ..routing import TargetView
from ..runtime.clock import boottime
from .directory import TargetDirectory
from .load_client import fetch_load
from .vm_list import fetch_vms

__all__ = ["POLL_PERIOD_S", "poll_loads", "poll_vm_list"]

# Two lost polls still keep the bound of 3 s for leaving targets.
POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 0.8


def poll_loads(directory: TargetDirectory) -> None:
    """Poll all targets once, side by side."""
    pool = eventlet.GreenPool(64)
    for view in directory.all_views():
        pool.spawn_n(_poll_one, directory, view)
    pool.waitall()


def poll_vm_list(directory: TargetDirectory, url: str, timeout: float) -> None:
    """Read the list of VMs once; on failure the last one stays in use."""
    outcome = fetch_vms(url, timeout)
    if isinstance(outcome, Done):
        directory.use_vm_list(outcome.value)


def _poll_one(directory: TargetDirectory, view: TargetView) -> None:
    outcome = fetch_load(view.address, POLL_TIMEOUT_S)
    if isinstance(outcome, Done):
        directory.report(view.id, outcome.value, boottime())
    else:
        directory.mark_unhealthy(view.id)
