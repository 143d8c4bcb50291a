"""HTTP client for the load reports of targets."""

from ..outcomes import Done, Outcome, Unknown
from ..routing import LoadReport
from ..runtime.http import call_json

__all__ = ["fetch_load"]


def fetch_load(address: str, timeout: float) -> Outcome[LoadReport]:
    """Read the load report of a target.

    Parameters
    ----------
    address : str
        IP address and port of the target.
    timeout : float
        Timeout in seconds.
    """
    outcome = call_json("GET", f"http://{address}/load", timeout=timeout)
    if not isinstance(outcome, Done):
        return outcome
    body = outcome.value.body
    try:
        report = LoadReport(
            running=int(body["running"]),
            waiting=int(body["waiting"]),
            capacity=int(body["capacity"]),
            version=int(body.get("version", 0)),
            leaving=bool(body.get("leaving", False)),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Unknown(f"malformed load report from {address}: {error!r}")
    return Done(report)
