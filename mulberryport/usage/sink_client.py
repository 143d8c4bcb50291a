"""Client of the platform's API for usage reports."""

from collections.abc import Callable
from urllib.parse import quote

from ..outcomes import Done, NotDone, Outcome
from ..runtime.guarded import call_json_guarded

__all__ = ["send_report"]


def send_report(
    url: str,
    report_id: str,
    report: bytes,
    *,
    guard: Callable[[], None],
    sender: str,
    fencing: int,
    timeout: float,
) -> Outcome[bool]:
    """Send a usage report to the platform.

    Parameters
    ----------
    url : str
        Base URL of the API.
    report_id : str
        Id of the report, constant for a window.
    report : bytes
        Report as JSON, exactly as it was frozen.
    guard : callable
        Raises if this daemon no longer holds the duty of reporting.
    sender : str
        Identity of this daemon, for the receiver's log.
    fencing : int
        Fencing number of the duty, for the receiver's log.
    timeout : float
        Timeout of the whole call in seconds.
    """
    outcome = call_json_guarded(
        "PUT",
        f"{url}/usage/{quote(report_id)}",
        report,
        guard=guard,
        timeout=timeout,
        headers={
            "X-Mulberryport-Reporter": sender,
            "X-Mulberryport-Fencing": str(fencing),
        },
    )
    if not isinstance(outcome, Done):
        return outcome
    if outcome.value.status != 200:
        return NotDone(
            f"platform rejected report {report_id}: status {outcome.value.status}"
        )
    return Done(True)
