"""Client of the platform's interface that accepts usage reports."""

from urllib.parse import quote

from ..outcomes import Done, NotDone, Outcome
from ..runtime.http import call_json

__all__ = ["send_report"]


def send_report(
    url: str, report_id: str, report: dict[str, object], timeout: float
) -> Outcome[bool]:
    """Send a usage report.

    Parameters
    ----------
    url : str
        Base URL of the interface.
    report_id : str
        Always the same for the same window.
    report : dict
        Its figures, exactly as they were frozen.
    timeout : float
        Seconds.
    """
    outcome = call_json(
        "PUT", f"{url}/usage/{quote(report_id)}", report, timeout=timeout
    )
    if not isinstance(outcome, Done):
        return outcome
    if outcome.value.status != 200:
        return NotDone(f"report {report_id} refused: status {outcome.value.status}")
    return Done(True)
