"""Caller port on the platform: requests and responses in the platform's protocol."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from ..gateway import OutcomeUnknownError, RefusalError
from ..gateway.bodies import RequestBody
from ..gateway.calls import CallerRequest
from ..gateway.dialect import Dialect
from ..gateway.headers import header_values, request_headers
from ..gateway.paths import request_path
from ..gateway.target_protocol import OutgoingRequest, TargetProtocol, Verdict
from ..routing import TargetView
from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse, respond
from ..tables import Route
from ..targets import TargetDirectory
from ..targets.connections import ConnectionPool
from . import names
from .caller_headers import forwardable_headers
from .counts import parse_count
from .target_reports import MISDIRECTED_STATUS, belongs_to_request, record_reports

__all__ = ["make_target_protocol", "platform_dialect"]

# Time before the caller's deadline at which the response must be sent.
DEADLINE_MARGIN_S = 0.03
# Share of the latency target after which a request is hedged with a second target, so
# that the second response can still arrive in time.
HEDGE_DELAY_SHARE = 0.55
MIN_HEDGE_DELAY_S = 0.05
SUCCESS_STATUSES = range(200, 300)


def platform_dialect(
    target_protocol: TargetProtocol,
    intercept: Callable[..., Iterable[bytes] | None],
    submit: Callable[[CallerRequest], Iterable[bytes]],
) -> Dialect:
    """Return the dialect of the platform's callers and targets."""
    return Dialect(
        find_key=lambda environ: environ.get("HTTP_X_API_KEY") or None,
        timeout_s=_allowed_time_s,
        make_outgoing_request=_outgoing_request,
        target_protocol=target_protocol,
        refuse=_send_refusal,
        intercept=intercept,
        submit=submit,
        hedge_delay_s=_hedge_delay_s,
        resumed_attempt=_resumed_attempt,
        counts_started_requests=True,
    )


def make_target_protocol(
    directory: TargetDirectory, connections: ConnectionPool
) -> TargetProtocol:
    """Return the protocol for requests to the platform's targets."""

    def classify_response(
        view: TargetView,
        request: OutgoingRequest,
        sent_at: float,
        status: int,
        headers: Any,
    ) -> Verdict:
        request_id = _request_id(request)
        record_reports(directory, view, request_id, sent_at, status, headers)
        return _classify_response(request, status, headers)

    return TargetProtocol(
        attempt_headers=_attempt_headers,
        verdict=classify_response,
        connections=connections,
        allows_unframed=True,
        supports_probes=False,
    )


def _request_id(request: OutgoingRequest) -> str | None:
    values = header_values(request.headers, names.REQUEST_ID.lower())
    return values[0] if values else None


def _classify_response(
    request: OutgoingRequest, status: int, headers: Mapping[str, str]
) -> Verdict:
    # A late copy of an earlier refusal says nothing about this request.
    if not belongs_to_request(headers, _request_id(request)):
        return Verdict.OTHER_REQUEST
    if status == MISDIRECTED_STATUS:
        return Verdict.MISDIRECTED
    if headers.get(names.NOT_RUN):
        return Verdict.NOT_RUN
    if status in SUCCESS_STATUSES and (
        headers.get(names.REQUEST_ID) is None or not headers.get(names.STAMP)
    ):
        return Verdict.OTHER_REQUEST
    return Verdict.RESPONSE


def _resumed_attempt(environ: dict[str, Any]) -> str | None:
    named = environ.get("HTTP_RESUMES", "").strip()
    is_continued = environ.get("HTTP_LAST_EVENT_ID", "").strip() not in ("", "0")
    return named if named or is_continued else None


def _allowed_time_s(environ: dict[str, Any], route: Route) -> float:
    """Return the time in seconds that the route and the caller allow."""
    # A value other than integer milliseconds is ignored.
    wanted_ms = parse_count(environ.get("HTTP_X_DEADLINE_MS", ""))
    if wanted_ms is None:
        return route.timeout
    return max(0.0, min(route.timeout, wanted_ms / 1000 - DEADLINE_MARGIN_S))


def _outgoing_request(call: CallerRequest, body: RequestBody) -> OutgoingRequest:
    """Return the request to forward: unchanged except for replaced headers."""
    environ = call.environ
    target = request_path(environ)
    if environ.get("QUERY_STRING"):
        target = f"{target}?{environ['QUERY_STRING']}"
    headers = forwardable_headers(request_headers(environ), call.is_secret)
    if call.access.workspace:
        headers.append((names.TENANT, call.access.workspace))
    allowed_s = _allowed_time_s(environ, call.access.route)
    return OutgoingRequest(
        call.method,
        target,
        headers,
        body,
        deadline=boottime() + allowed_s,
        may_reuse_connection=call.is_idempotent,
    )


def _attempt_headers(
    request: OutgoingRequest, view: TargetView
) -> list[tuple[str, str]]:
    headers = [(names.EXPECT_INSTANCE, view.id)]
    if request.deadline < math.inf:
        remaining_ms = max(1, int((request.deadline - boottime()) * 1000))
        headers.append((names.DEADLINE, str(remaining_ms)))
    return headers


def _hedge_delay_s(route: Route) -> float | None:
    if not route.latency_target:
        return None
    return max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_SHARE * route.latency_target)


def _send_refusal(
    start_response: StartResponse, error: RefusalError | OutcomeUnknownError
) -> Iterable[bytes]:
    """Send an error response; only requests that did not run get a retry delay."""
    headers = []
    status = error.status
    if isinstance(error, RefusalError) and status in (429, 503):
        headers.append(("Retry-After", f"{error.retry_after:.2f}"))
    return respond(start_response, status, {"error": str(error)}, headers)
