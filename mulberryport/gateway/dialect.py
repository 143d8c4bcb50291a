"""API dialects: the formats in which the gateway exchanges requests and responses.

The gateway decides how a request is processed. A dialect defines how the callers and
targets of one API encode the information that this requires.
"""

from collections.abc import Callable, Iterable
from typing import Any

from attrs import frozen

from ..runtime.wsgi import StartResponse
from ..tables import Route
from .bodies import RequestBody
from .calls import CallerRequest, outgoing_request
from .credentials import find_credential
from .headers import request_headers
from .refusals import refuse
from .target_protocol import NATIVE_PROTOCOL, OutgoingRequest, TargetProtocol

__all__ = ["Dialect", "native_dialect"]


@frozen(kw_only=True)
class Dialect:
    """API-specific behaviour of the gateway.

    Parameters
    ----------
    find_key : callable
        Returns the key in a WSGI environment, or None.
    timeout_s : callable
        Returns the seconds within which a request of a route must be completed.
    make_outgoing_request : callable
        Returns an authorized request as it is forwarded to targets.
    target_protocol : TargetProtocol
        Protocol of the targets.
    refuse : callable
        Responds with an error.
    intercept : callable
        Serves the calls that are not forwarded; returns None for all others.
    submit : callable or None
        Serves the submission of a batch job on a route that accepts batch jobs.
    hedge_delay_s : callable
        Returns the seconds without a response after which an idempotent request is
        also sent to a second target; None to never do so.
    resumed_attempt : callable
        Returns the id of the attempt that brought the first event of the stream that a
        request takes up; empty if it is not named, None if no stream is taken up.
    counts_started_requests : bool
        Whether usage counts the requests that targets started, instead of those that
        were served.
    """

    find_key: Callable[[dict[str, Any]], str | None]
    timeout_s: Callable[[dict[str, Any], Route], float]
    make_outgoing_request: Callable[[CallerRequest, RequestBody], OutgoingRequest]
    target_protocol: TargetProtocol = NATIVE_PROTOCOL
    refuse: Callable[[StartResponse, Any], Iterable[bytes]] = refuse
    intercept: Callable[..., Iterable[bytes] | None] = lambda *_: None
    submit: Callable[[CallerRequest], Iterable[bytes]] | None = None
    hedge_delay_s: Callable[[Route], float | None] = lambda route: None
    resumed_attempt: Callable[[dict[str, Any]], str | None] = lambda environ: None
    counts_started_requests: bool = False


def native_dialect(intercept: Callable[..., Iterable[bytes] | None]) -> Dialect:
    """Return the dialect of the project's native API.

    Parameters
    ----------
    intercept : callable
        Serves the calls that are not forwarded; returns None for all others.
    """
    return Dialect(
        find_key=lambda environ: find_credential(
            request_headers(environ), environ.get("QUERY_STRING", "")
        ),
        timeout_s=lambda environ, route: route.timeout,
        make_outgoing_request=outgoing_request,
        intercept=intercept,
    )
