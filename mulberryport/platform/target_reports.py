"""What the heads of responses say about the targets that sent them."""

import re
from collections.abc import Mapping

from ..gateway.headers import header_values
from ..routing import LoadReport, RateLimitReport, TargetView
from ..runtime.clock import boottime
from ..targets import TargetDirectory
from ..telemetry import define as define_event
from ..telemetry import log
from . import names
from .counts import parse_count

__all__ = ["MISDIRECTED_STATUS", "belongs_to_request", "parse_load", "record_reports"]

RATE_LIMIT_MALFORMED = define_event(
    1460,
    "rate_limit_malformed",
    "warning",
    "A response names a rate limit that is no sensible number; it was ignored.",
)

LOAD_MALFORMED = define_event(
    1461,
    "load_malformed",
    "warning",
    "A response tells a load that is no sensible list of numbers; it was ignored. "
    "Logged once a target.",
)

MISDIRECTED_STATUS = 421
# The header's figure for work that takes as long as usual.
USUAL_SLOWDOWN = 100
MAX_SLOWDOWN = 1000.0
MAX_HEADER_CHARS = 100
MAX_LOGGED_CHARS = 80
LEAVING_VALUE = "1"
RATE_LIMIT_FORMAT = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?", re.ASCII)


def belongs_to_request(headers: Mapping[str, str], request_id: str | None) -> bool:
    """Return whether a response may belong to a request.

    A response that names another request is a late copy of an earlier one.

    Parameters
    ----------
    headers : mapping of str to str
        Headers of the response.
    request_id : str or None
        Id of the request; None if it has none.
    """
    response_id = headers.get(names.REQUEST_ID)
    return response_id is None or request_id is None or response_id == request_id


def record_reports(
    directory: TargetDirectory,
    view: TargetView,
    request_id: str | None,
    sent_at: float,
    status: int,
    headers: Mapping[str, str],
) -> None:
    """Record what the head of a response says about its target.

    Late copies of earlier responses and responses of another target at the same address
    say nothing about it.

    Parameters
    ----------
    directory : TargetDirectory
        Keeps what targets report.
    view : TargetView
        Target that the request was sent to.
    request_id : str or None
        Id of the request; None if it has none.
    sent_at : float
        Boot time at which the request was sent.
    status, headers
        Status and headers of the response.
    """
    if status == MISDIRECTED_STATUS or not belongs_to_request(headers, request_id):
        return
    _record_load(directory, view, headers)
    _record_rate_limit(directory, view, sent_at, headers)
    cold_ms = parse_count((headers.get(names.COLD) or "").strip())
    if cold_ms:
        cold = directory.rate_limits.cold
        cold.record_report(view.id, view.pool, cold_ms / 1000)
    if (headers.get(names.LEAVING) or "").strip() == LEAVING_VALUE:
        directory.mark_leaving(view.id, view.born)


def _record_load(
    directory: TargetDirectory, view: TargetView, headers: Mapping[str, str]
) -> None:
    text = headers.get(names.LOAD)
    if text is None:
        return
    report = parse_load(text)
    if report is not None:
        directory.record_load(view.id, report, boottime())
    elif directory.note_malformed_report(view.id):
        log(LOAD_MALFORMED, target=view.id, value=text[:MAX_LOGGED_CHARS])


def parse_load(text: str) -> LoadReport | None:
    """Return the load that a response's header tells; None if it is malformed.

    Examples
    --------
    >>> parse_load("3,1,8") == LoadReport(running=3, waiting=1, capacity=8)
    True
    >>> parse_load("3,1,8,250").slowdown
    2.5
    >>> parse_load("3,1")
    """
    numbers = [parse_count(part) for part in text[:MAX_HEADER_CHARS].split(",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    running, waiting, capacity, *rest = numbers
    if not rest:
        return LoadReport(running, waiting, capacity)
    slowdown = rest[0] / USUAL_SLOWDOWN
    if not 0.0 < slowdown <= MAX_SLOWDOWN:
        return None
    return LoadReport(running, waiting, capacity, slowdown=slowdown)


def _record_rate_limit(
    directory: TargetDirectory,
    view: TargetView,
    sent_at: float,
    headers: Mapping[str, str],
) -> None:
    values = header_values(headers.items(), names.RATE_LIMIT.lower())
    requests_per_s = None
    if values:
        if len(values) > 1 or not RATE_LIMIT_FORMAT.fullmatch(values[0].strip()):
            log(RATE_LIMIT_MALFORMED, target=view.id, values=values[:3])
            return
        requests_per_s = float(values[0])
    elif headers.get(names.REQUEST_ID) is None:
        # Without its request's id, the response may be one of an earlier request.
        return
    report = RateLimitReport(requests_per_s, sent_at, boottime())
    directory.rate_limits.record(view.id, report)
