"""How targets are spoken to: what is sent with a request, how answers are judged."""

import enum
from collections.abc import Callable, Mapping

from attrs import frozen

from ..targets import TargetView
from ..targets.connections import ConnectionPool
from ..telemetry import process_clock
from .bodies import RequestBody

__all__ = ["OWN_WIRE", "OutgoingRequest", "TargetWire", "Verdict"]

CLOCK_HEADER = "X-Mulberryport-Clock"


class Verdict(enum.Enum):
    """What the head of a target's answer says."""

    ANSWER = "answer"
    NOT_RUN = "not run"
    MISDIRECTED = "another target"
    FOREIGN = "another request"


@frozen
class OutgoingRequest:
    """A request as a target may see it.

    Parameters
    ----------
    method, target : str
        Request line; the target is the path with the query.
    headers : list of (str, str)
        Without keys and without headers of the caller's connection.
    body : RequestBody
        Streamed to the target.
    deadline : float
        Boot time at which its caller stops to wait.
    reusable : bool
        Whether it may be sent on a connection that was used before.
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: RequestBody
    deadline: float = float("inf")
    reusable: bool = False


def _clock_header(request: OutgoingRequest, view: TargetView) -> list[tuple[str, str]]:
    return [(CLOCK_HEADER, str(process_clock.now()))]


@frozen
class TargetWire:
    """How targets of one interface are spoken to.

    Parameters
    ----------
    attempt_headers : callable
        Returns headers that are added when a request is sent to a target.
    verdict : callable
        Judges the head of a target's answer from the target, the request, and the
        status and headers of the answer.
    connections : ConnectionPool or None
        Connections that are kept for further requests; None for none.
    unframed : bool
        Whether an answer may end with its connection instead of a stated length.
    probes : bool
        Whether targets can be asked, beside a silent connection, for their queues.
    """

    attempt_headers: Callable[[OutgoingRequest, TargetView], list[tuple[str, str]]] = (
        _clock_header
    )
    verdict: Callable[
        [TargetView, OutgoingRequest, int, Mapping[str, str]], Verdict
    ] = lambda view, request, status, headers: Verdict.ANSWER
    connections: ConnectionPool | None = None
    unframed: bool = False
    probes: bool = True


OWN_WIRE = TargetWire()
