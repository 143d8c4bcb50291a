"""Test data for the routing pool_scheduler."""

import random

from ..candidates import CandidateSet
from ..model import LoadReport, TargetView, WorkRequest
from ..queue import FairQueue
from ..scheduler import PoolScheduler
from ..sharing import Shares


def view(name: str, **values) -> TargetView:
    """Return a healthy model engine in zone a."""
    defaults = {"zone": "a", "pool": "p", "kind": "model-engine", "limit": 4}
    return TargetView(id=name, address="127.0.0.1:1", **{**defaults, **values})


def work(workspace: str = "w", **values) -> WorkRequest:
    """Return a request of pool p."""
    return WorkRequest("p", workspace, **values)


def report(
    running: int = 0,
    waiting: int = 0,
    capacity: int = 8,
    slowdown: float | None = None,
) -> LoadReport:
    """Return a load report."""
    return LoadReport(running, waiting, capacity, slowdown=slowdown)


def scheduler(views, queue: int = 8, seed: int = 1, **values) -> PoolScheduler:
    """Return the scheduler of a pool in zone a at time 0."""
    shares = Shares(lambda _: 1.0)
    pool_scheduler = PoolScheduler(
        CandidateSet("a"),
        FairQueue(shares.weight, queue),
        shares,
        random.Random(seed),
        **values,
    )
    pool_scheduler.update(views, 0.0)
    return pool_scheduler
