"""Test data for the routing policy."""

from ..model import LoadReport, WorkRequest


def work(workspace: str = "w", **values) -> WorkRequest:
    """Return a request of pool p."""
    return WorkRequest("p", workspace, **values)


def report(running: int = 0, waiting: int = 0, capacity: int = 8) -> LoadReport:
    """Return a load report."""
    return LoadReport(running, waiting, capacity)
