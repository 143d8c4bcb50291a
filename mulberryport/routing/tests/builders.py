"""Test data for the routing policy."""

from ..model import WorkRequest


def work(workspace: str = "w", **values) -> WorkRequest:
    """Return a request of pool p."""
    return WorkRequest("p", workspace, **values)
