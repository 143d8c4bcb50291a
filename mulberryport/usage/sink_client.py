"""Client of the platform's interface that accepts usage reports."""

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
    """Send a usage report.

    Parameters
    ----------
    url : str
        Base URL of the interface.
    report_id : str
        Always the same for the same window.
    report : bytes
        Its figures as JSON, exactly as they were frozen.
    guard : callable
        Raises if this daemon may not send reports any more.
    sender : str
        This daemon, for the receiver's records.
    fencing : int
        Fencing number of the duty, for the receiver's records.
    timeout : float
        Seconds for the whole call.
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
        return NotDone(f"report {report_id} refused: status {outcome.value.status}")
    return Done(True)
