"""Protocol between the gateway and targets: request headers and response checks."""

import enum
from collections.abc import Callable, Mapping

from attrs import frozen

from ..targets import TargetView
from ..targets.connections import ConnectionPool
from ..telemetry import process_clock
from .bodies import RequestBody

__all__ = ["NATIVE_PROTOCOL", "OutgoingRequest", "TargetProtocol", "Verdict"]

CLOCK_HEADER = "X-Mulberryport-Clock"


class Verdict(enum.Enum):
    """Classification of a target's response by its status and headers."""

    RESPONSE = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "another target"
    OTHER_REQUEST = "another request"


@frozen
class OutgoingRequest:
    """A request as it is forwarded to a target.

    Parameters
    ----------
    method, target : str
        Method and request target; the latter is the path with the query.
    headers : list of (str, str)
        Headers, without keys and hop-by-hop headers.
    body : RequestBody
        Body, which is streamed to the target.
    deadline : float
        Boot time at which the caller stops waiting.
    may_reuse_connection : bool
        Whether the request may be sent over a connection that was used before.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: RequestBody
    deadline: float = float("inf")
    may_reuse_connection: bool = False


def _clock_header(request: OutgoingRequest, view: TargetView) -> list[tuple[str, str]]:
    return [(CLOCK_HEADER, str(process_clock.now()))]


@frozen
class TargetProtocol:
    """Protocol of the targets of one API.

    Parameters
    ----------
    attempt_headers : callable
        Returns the headers to add when a request is sent to a target.
    verdict : callable
        Classifies a response, given the target, the request, the boot time at which it
        was sent, and the status and headers of the response.
    connections : ConnectionPool or None
        Pool of connections for reuse; None to open a new one for each request.
    allows_unframed : bool
        Whether the end of the connection may mark the end of a response that has no
        declared length.
    supports_probes : bool
        Whether targets respond to queries for their queues on another connection
        while one is silent.
    """

    attempt_headers: Callable[[OutgoingRequest, TargetView], list[tuple[str, str]]] = (
        _clock_header
    )
    verdict: Callable[
        [TargetView, OutgoingRequest, float, int, Mapping[str, str]], Verdict
    ] = lambda view, request, sent_at, status, headers: Verdict.RESPONSE
    connections: ConnectionPool | None = None
    allows_unframed: bool = False
    supports_probes: bool = True


NATIVE_PROTOCOL = TargetProtocol()
