"""Requests that run in this daemon, and their early end from outside.

A request may be blocked in a queue, in a read from a target or in a write to its
caller. Whatever must end it (a withdrawn key, its deadline, a caller that went
away, a silent connection) is therefore thrown into its green thread.
"""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.hubs
from attrs import define, field

from ..runtime.clock import boottime
from ..tables import SnapshotHolder, Tables
from ..telemetry import define as define_event
from ..telemetry import log
from .access import Access, still_admitted

__all__ = [
    "CHECK_PERIOD_S",
    "ActiveRequest",
    "ActiveRequests",
    "RequestEndedError",
    "SilentConnectionError",
]

REQUEST_ENDED = define_event(
    603, "request_ended_early", "warning", "A running request was ended from outside."
)
CONNECTION_SILENT = define_event(
    604, "connection_silent", "warning", "A target's connection is silent for too long."
)

# A tenth of the bound of 5 s for withdrawn keys.
CHECK_PERIOD_S = 0.5


class RequestEndedError(BaseException):
    """A request must end now; no handler of ordinary errors may swallow this.

    Parameters
    ----------
    status : int
        HTTP status if the answer has not started.
    message : str
        Why, for the caller.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class SilentConnectionError(Exception):
    """The target sends nothing on this connection."""


@define(eq=False)
class Wait:
    """A read from a target that has not returned yet."""

    address: str
    limit: float
    queueing: bool
    since: float = field(factory=boottime)
    probing: bool = False


@define(eq=False)
class ActiveRequest:
    """A request from its arrival to the end of its answer.

    Parameters
    ----------
    connection : socket or None
        The caller's connection, watched for its end.
    id : str
        Id that the caller gave the request, for logs.
    sent : int
        Attempts of which a part may have run at a target; 0 if none did.
    changes_state : bool
        Whether this daemon itself may have carried it out in part.
    """

    connection: socket.socket | None = None
    id: str = ""
    key_digest: str = ""
    access: Access | None = None
    sent: int = 0
    changes_state: bool = False
    _greenlet: Any = field(factory=eventlet.getcurrent)
    _wait: Wait | None = None
    _timer: Any = None
    _ended: bool = False
    _finished: bool = False

    @property
    def wait(self) -> Wait | None:
        """The read from a target that runs now, if any."""
        return self._wait

    def admit(self, access: Access) -> None:
        """Note under which access the request runs."""
        self.access, self.key_digest = access, access.key_digest

    def set_deadline(self, seconds: float) -> None:
        """End the request unless it is finished within some seconds."""
        error = RequestEndedError(504, f"no complete answer within {seconds:g} s")
        self._cancel_timer()
        self._timer = eventlet.hubs.get_hub().schedule_call_global(
            seconds, self.end, error
        )

    def detach_caller(self) -> None:
        """Let the request run to its end even if its caller goes away."""
        self.connection = None

    def finish(self) -> None:
        """Note that the answer is complete or broken."""
        self._finished = True
        self._cancel_timer()

    def end(self, error: RequestEndedError) -> None:
        """End the request, wherever it is blocked; only the first end counts."""
        if self._ended or self._finished:
            return
        self._ended = True
        log(REQUEST_ENDED, request=self.id, status=error.status, reason=str(error))
        self._throw(error, lambda: not self._finished)

    @contextmanager
    def waiting_for(
        self, address: str, limit: float, queueing: bool = False
    ) -> Iterator[None]:
        """Watch a read from a target.

        Parameters
        ----------
        address : str
            The target's address, for the probe.
        limit : float
            Seconds after which a read counts as silent.
        queueing : bool
            Whether the target may keep the request in its own queue.
        """
        self._wait = Wait(address, limit, queueing)
        try:
            yield
        finally:
            self._wait = None

    def give_up(self, wait: Wait) -> None:
        """Break a silent read, if it still lasts."""
        error = SilentConnectionError(f"target {wait.address} is silent")
        self._throw(error, lambda: self._wait is wait and not self._ended)

    def caller_is_gone(self) -> bool:
        """Return whether the caller closed its connection."""
        if self.connection is None:
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.connection.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _throw(self, error: BaseException, wanted: Callable[[], bool]) -> None:
        # The hub runs this while every green thread is blocked.
        def throw() -> None:
            if wanted() and not self._greenlet.dead:
                self._greenlet.throw(error)

        eventlet.hubs.get_hub().schedule_call_global(0, throw)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


@define(eq=False)
class ActiveRequests:
    """All requests that run in this daemon.

    Parameters
    ----------
    holder : SnapshotHolder
        The tables in force.
    keys_usable : callable
        Whether withdrawn keys would be known here.
    probe : callable
        Asks a target, by its address and on a fresh connection, whether requests
        wait in its queue; returns None without an answer.
    """

    holder: SnapshotHolder
    keys_usable: Callable[[], bool]
    probe: Callable[[str], bool | None]
    _requests: set[ActiveRequest] = field(factory=set)

    def __len__(self) -> int:
        """Return how many requests run."""
        return len(self._requests)

    @contextmanager
    def register(
        self, connection: socket.socket | None, request_id: str = ""
    ) -> Iterator[ActiveRequest]:
        """Register a request while the context lasts."""
        request = ActiveRequest(connection, request_id)
        self._requests.add(request)
        try:
            yield request
        finally:
            request.finish()
            self._requests.discard(request)

    def check(self) -> None:
        """End the requests that must not go on; called periodically."""
        self.check_access(self.holder.snapshot.tables)
        now = boottime()
        for request in list(self._requests):
            if request.caller_is_gone():
                request.end(RequestEndedError(499, "the caller went away"))
            wait = request.wait
            if wait and not wait.probing and now - wait.since > wait.limit:
                wait.probing = True
                eventlet.spawn_n(self._probe, request, wait)

    def check_access(self, tables: Tables) -> None:
        """End the requests whose key or workspace has lost its access."""
        usable = self.keys_usable()
        for request in list(self._requests):
            reason = _lost_access(request, tables, usable)
            if reason is not None:
                request.end(reason)

    def end_all(self, error: RequestEndedError) -> None:
        """End all requests."""
        for request in list(self._requests):
            request.end(error)

    def _probe(self, request: ActiveRequest, wait: Wait) -> None:
        """Give a silent read up, unless the target says that requests queue."""
        queued = self.probe(wait.address)
        if queued and wait.queueing:
            wait.since, wait.probing = boottime(), False
            return
        if request.wait is wait:
            log(CONNECTION_SILENT, address=wait.address, answered=queued is not None)
        request.give_up(wait)


def _lost_access(
    request: ActiveRequest, tables: Tables, usable: bool
) -> RequestEndedError | None:
    if not request.key_digest:
        return None
    if request.key_digest not in tables.keys:
        return RequestEndedError(401, "the key was withdrawn")
    if request.access is None:
        return None
    if not still_admitted(tables, request.access):
        return RequestEndedError(403, "the key's workspace lost its access")
    if not usable and not request.access.route.open:
        return RequestEndedError(503, "keys cannot be checked at the moment")
    return None
