"""The caller port on the platform: requests and answers as the platform writes them."""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from ..gateway import OutcomeUnknownError, RefusalError
from ..gateway.bodies import RequestBody
from ..gateway.calls import CallerRequest
from ..gateway.dialect import Dialect
from ..gateway.headers import end_to_end, header_values, request_headers
from ..gateway.target_protocol import OutgoingRequest, TargetProtocol, Verdict
from ..routing import LoadReport, TargetView
from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse, respond
from ..tables import Route
from ..targets import TargetDirectory
from ..targets.connections import ConnectionPool
from . import names

__all__ = ["make_wire", "platform_dialect", "report_load"]

# Headers that this system sets itself or that only this hop may see.
REPLACED = frozenset(
    name.lower()
    for name in (
        names.KEY,
        names.TENANT,
        names.DEADLINE,
        names.EXPECT_INSTANCE,
        names.EXPECT_VERSION,
        names.URGENCY,
        "Content-Length",
        "Expect",
    )
)
# An answer must leave this long before its caller gives up.
DEADLINE_MARGIN_S = 0.03
# Part of the latency target after which a second target is asked as well, so that its
# answer can still come in time.
PATIENCE_PART = 0.55
SHORTEST_PATIENCE_S = 0.05
MISDIRECTED_STATUS = 421
SUCCESS = range(200, 300)


def platform_dialect(
    wire: TargetProtocol,
    intercept: Callable[..., Iterable[bytes] | None],
    submit: Callable[[CallerRequest], Iterable[bytes]],
) -> Dialect:
    """Return the dialect of the platform's callers and targets."""
    return Dialect(
        find_key=lambda environ: environ.get("HTTP_X_API_KEY") or None,
        timeout_s=_allowed_time,
        make_outgoing_request=_outgoing,
        target_protocol=wire,
        refuse=_refuse,
        intercept=intercept,
        submit=submit,
        hedge_delay_s=_patience,
        counts_started_requests=True,
    )


def make_wire(
    directory: TargetDirectory, connections: ConnectionPool
) -> TargetProtocol:
    """Return how targets of the platform are spoken to."""

    def verdict(
        view: TargetView, request: OutgoingRequest, status: int, headers: Any
    ) -> Verdict:
        report_load(directory, view, headers)
        return _verdict(request, status, headers)

    return TargetProtocol(
        attempt_headers=_attempt_headers,
        verdict=verdict,
        connections=connections,
        allows_unframed=True,
        supports_probes=False,
    )


def report_load(
    directory: TargetDirectory, view: TargetView, headers: Mapping[str, str]
) -> None:
    """Note the load that a target tells with its answer."""
    numbers = (headers.get(names.LOAD) or "").split(",")
    if len(numbers) == 3 and all(number.strip().isdigit() for number in numbers):
        running, waiting, slots = map(int, numbers)
        directory.record_load(view.id, LoadReport(running, waiting, slots), boottime())


def _verdict(
    request: OutgoingRequest, status: int, headers: Mapping[str, str]
) -> Verdict:
    if status == MISDIRECTED_STATUS:
        return Verdict.MISDIRECTED
    sent = header_values(request.headers, names.REQUEST_ID.lower())
    answered = headers.get(names.REQUEST_ID)
    if answered is not None and sent and answered != sent[0]:
        return Verdict.OTHER_REQUEST
    if headers.get(names.NOT_RUN):
        return Verdict.NOT_RUN
    if status in SUCCESS and (answered is None or not headers.get(names.STAMP)):
        return Verdict.OTHER_REQUEST
    return Verdict.ANSWER


def _allowed_time(environ: dict[str, Any], route: Route) -> float:
    """Return the seconds that the route and the caller allow."""
    value = environ.get("HTTP_X_DEADLINE_MS", "")
    # Other forms than whole milliseconds say nothing.
    if not (value.isascii() and value.isdigit()):
        return route.timeout
    wanted = int(value) / 1000
    return max(0.0, min(route.timeout, wanted - DEADLINE_MARGIN_S))


def _outgoing(call: CallerRequest, body: RequestBody) -> OutgoingRequest:
    """Return an admitted request as targets see it: unchanged but for its key."""
    environ = call.environ
    target = environ.get("RAW_PATH_INFO") or environ["PATH_INFO"]
    if environ.get("QUERY_STRING"):
        target = f"{target}?{environ['QUERY_STRING']}"
    headers = [
        (name, value)
        for name, value in end_to_end(request_headers(environ))
        if name.lower() not in REPLACED and not call.is_secret(value)
    ]
    if call.access.workspace:
        headers.append((names.TENANT, call.access.workspace))
    allowed = _allowed_time(environ, call.access.route)
    return OutgoingRequest(
        call.method,
        target,
        headers,
        body,
        deadline=boottime() + allowed,
        may_reuse_connection=call.is_idempotent,
    )


def _attempt_headers(
    request: OutgoingRequest, view: TargetView
) -> list[tuple[str, str]]:
    headers = [(names.EXPECT_INSTANCE, view.id)]
    if request.deadline < math.inf:
        left = max(1, int((request.deadline - boottime()) * 1000))
        headers.append((names.DEADLINE, str(left)))
    return headers


def _patience(route: Route) -> float | None:
    if not route.latency_target:
        return None
    return max(SHORTEST_PATIENCE_S, PATIENCE_PART * route.latency_target)


def _refuse(
    start_response: StartResponse, error: RefusalError | OutcomeUnknownError
) -> Iterable[bytes]:
    """Answer with a failure; only one that certainly did not run may say so."""
    headers = []
    status = error.status
    if isinstance(error, RefusalError) and status in (429, 503):
        headers.append(("Retry-After", f"{error.retry_after:.2f}"))
    return respond(start_response, status, {"error": str(error)}, headers)
