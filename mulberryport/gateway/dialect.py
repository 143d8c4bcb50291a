"""How the caller port reads requests and writes answers.

The gateway decides what happens to a request; a dialect says how callers and targets
of one interface write what it has to know.
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
from .wire import OWN_WIRE, OutgoingRequest, TargetWire

__all__ = ["Dialect", "own_dialect"]


@frozen(kw_only=True)
class Dialect:
    """The differences between the interfaces that the gateway serves.

    Parameters
    ----------
    find_key : callable
        Returns the key in a WSGI environment, or None.
    allowed_time : callable
        Returns the seconds within which a request of a route must be answered.
    outgoing : callable
        Returns what a target may see of an admitted request.
    wire : TargetWire
        How targets are spoken to.
    refuse : callable
        Answers with a refusal or failure.
    intercept : callable
        Answers the calls that are not forwarded; returns None for all others.
    submit : callable or None
        Answers the submission of a batch job on a route that takes such.
    patience : callable
        Returns the seconds after which an idempotent request that has no answer is
        sent to a second target as well; None for never.
    counts_starts : bool
        Whether usage counts the requests that targets started, instead of those that
        were answered.
    """

    find_key: Callable[[dict[str, Any]], str | None]
    allowed_time: Callable[[dict[str, Any], Route], float]
    outgoing: Callable[[CallerRequest, RequestBody], OutgoingRequest]
    wire: TargetWire = OWN_WIRE
    refuse: Callable[[StartResponse, Any], Iterable[bytes]] = refuse
    intercept: Callable[..., Iterable[bytes] | None] = lambda *_: None
    submit: Callable[[CallerRequest], Iterable[bytes]] | None = None
    patience: Callable[[Route], float | None] = lambda route: None
    counts_starts: bool = False


def own_dialect(intercept: Callable[..., Iterable[bytes] | None]) -> Dialect:
    """Return the dialect of the project's own interface.

    Parameters
    ----------
    intercept : callable
        Answers the calls that are not forwarded; returns None for all others.
    """
    return Dialect(
        find_key=lambda environ: find_credential(
            request_headers(environ), environ.get("QUERY_STRING", "")
        ),
        allowed_time=lambda environ, route: route.timeout,
        outgoing=outgoing_request,
        intercept=intercept,
    )
