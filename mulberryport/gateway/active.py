"""Registry of the requests running in this daemon, which can abort them.

A request may be blocked in a queue, in a read from a target or in a write to its
caller. Whatever ends it early (a withdrawn key, its deadline, a disconnected caller,
a silent connection) is therefore raised as an exception in its green thread.
"""

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.hubs
from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.waits import Wait, interruptible_wait
from ..tables import SnapshotHolder, Tables
from ..telemetry import define as define_event
from ..telemetry import log
from .access import Access, is_still_authorized

__all__ = [
    "CHECK_PERIOD_S",
    "ActiveRequest",
    "ActiveRequests",
    "RequestAbortedError",
    "SilentConnectionError",
]

REQUEST_ENDED = define_event(
    603, "request_ended_early", "warning", "A running request was aborted."
)
CONNECTION_SILENT = define_event(
    604,
    "connection_silent",
    "warning",
    "A target has sent nothing on a connection for too long.",
)

# A tenth of the 5 s within which requests with a withdrawn key must be aborted.
CHECK_PERIOD_S = 0.5


class RequestAbortedError(BaseException):
    """The request is being aborted.

    This is a ``BaseException`` so that handlers of ``Exception`` do not catch it.

    Parameters
    ----------
    status : int
        HTTP status for the caller if the response has not started.
    message : str
        Reason, for the caller.
    """

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class SilentConnectionError(Exception):
    """The target has sent nothing on this connection for too long."""


@define(eq=False)
class PendingRead:
    """A read from a target that has not returned yet."""

    address: str
    max_silence_s: float
    may_be_queued: bool
    wait: Wait
    silent_since: float = field(factory=boottime)
    is_probing: bool = False


@define(eq=False)
class ActiveRequest:
    """A request, from its arrival to the end of its response.

    Parameters
    ----------
    connection : socket or None
        The caller's connection; its end aborts the request. None to ignore it.
    id : str
        Request id from the caller, for logs.
    key_digest : str
        Digest of the key that came with the request; empty without a key.
    access : Access or None
        Route and workspace that the request is authorized for.
    sent_attempts : int
        Number of attempts that may have run at a target, at least in part.
    changes_state : bool
        Whether this daemon itself may have executed a part of the request.
    started_at : float
        Boot time at which the request arrived.
    """

    connection: socket.socket | None = None
    id: str = ""
    key_digest: str = ""
    access: Access | None = None
    sent_attempts: int = 0
    changes_state: bool = False
    started_at: float = field(factory=boottime)
    _greenlet: Any = field(factory=eventlet.getcurrent)
    _pending_read: PendingRead | None = None
    _timer: Any = None
    _is_aborted: bool = False
    _is_finished: bool = False

    @property
    def pending_read(self) -> PendingRead | None:
        """Current read from a target, if any."""
        return self._pending_read

    def set_access(self, access: Access) -> None:
        """Set the route and workspace that the request is authorized for."""
        self.access, self.key_digest = access, access.key_digest

    def set_deadline(self, seconds: float) -> None:
        """Abort the request unless it finishes within some seconds."""
        error = RequestAbortedError(504, f"no complete answer within {seconds:g} s")
        self._cancel_timer()
        self._timer = eventlet.hubs.get_hub().schedule_call_global(
            seconds, self.abort, error
        )

    def detach_caller(self) -> None:
        """Let the request finish even if its caller disconnects."""
        self.connection = None

    def finish(self) -> None:
        """Mark the response as complete or failed; the request is not aborted then."""
        self._is_finished = True
        self._cancel_timer()

    def abort(self, error: RequestAbortedError) -> None:
        """Abort the request, wherever it is blocked; only the first call counts."""
        if self._is_aborted or self._is_finished:
            return
        self._is_aborted = True
        log(REQUEST_ENDED, request=self.id, status=error.status, reason=str(error))
        self._throw(error)

    @contextmanager
    def watch_read(
        self, address: str, max_silence_s: float, may_be_queued: bool = False
    ) -> Iterator[None]:
        """Supervise a read from a target while the context lasts.

        Parameters
        ----------
        address : str
            Address of the target, for probes.
        max_silence_s : float
            Seconds without data after which the target is probed.
        may_be_queued : bool
            Whether the request may still be in the target's own queue.
        """
        try:
            with interruptible_wait() as wait:
                self._pending_read = PendingRead(
                    address, max_silence_s, may_be_queued, wait
                )
                yield
        finally:
            self._pending_read = None

    def abort_read(self, read: PendingRead) -> None:
        """Interrupt a silent read, if it is still pending."""
        if not self._is_aborted:
            read.wait.end(SilentConnectionError(f"target {read.address} is silent"))

    def is_caller_disconnected(self) -> bool:
        """Return whether the caller has closed its connection."""
        if self.connection is None:
            return False
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.connection.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _throw(self, error: BaseException) -> None:
        # The hub calls this while all green threads are blocked, so the condition
        # still holds when the exception is raised in the request's thread.
        def throw() -> None:
            if not self._is_finished and not self._greenlet.dead:
                self._greenlet.throw(error)

        eventlet.hubs.get_hub().schedule_call_global(0, throw)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


@define(eq=False)
class ActiveRequests:
    """Registry of the requests running in this daemon.

    Parameters
    ----------
    snapshot_holder : SnapshotHolder
        Current tables.
    keys_usable : callable
        Returns whether this daemon is up to date on withdrawn keys.
    probe : callable
        Asks a target, by its address and on a new connection, whether requests wait
        in its queue; returns None if the target does not respond.
    """

    snapshot_holder: SnapshotHolder
    keys_usable: Callable[[], bool]
    probe: Callable[[str], bool | None]
    _requests: set[ActiveRequest] = field(factory=set)

    def __len__(self) -> int:
        """Return the number of running requests."""
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
        """Abort requests without access or caller, and probe silent targets.

        Call it every ``CHECK_PERIOD_S`` seconds.
        """
        self.abort_unauthorized(self.snapshot_holder.snapshot.tables)
        now = boottime()
        for request in list(self._requests):
            if request.is_caller_disconnected():
                request.abort(RequestAbortedError(499, "the caller went away"))
            read = request.pending_read
            if (
                read
                and not read.is_probing
                and now - read.silent_since > read.max_silence_s
            ):
                read.is_probing = True
                eventlet.spawn_n(self._probe, request, read)

    def abort_unauthorized(self, tables: Tables) -> None:
        """Abort the requests whose key or workspace has lost its access."""
        keys_usable = self.keys_usable()
        for request in list(self._requests):
            error = _access_error(request, tables, keys_usable)
            if error is not None:
                request.abort(error)

    def abort_all(self, error: RequestAbortedError) -> None:
        """Abort all requests."""
        for request in list(self._requests):
            request.abort(error)

    def _probe(self, request: ActiveRequest, read: PendingRead) -> None:
        """Abort a silent read, unless the request may be in the target's queue."""
        has_queue = self.probe(read.address)
        if has_queue and read.may_be_queued:
            read.silent_since, read.is_probing = boottime(), False
            return
        if request.pending_read is read:
            log(CONNECTION_SILENT, address=read.address, answered=has_queue is not None)
        request.abort_read(read)


def _access_error(
    request: ActiveRequest, tables: Tables, keys_usable: bool
) -> RequestAbortedError | None:
    """Return the error to abort a request with, or None if it may continue."""
    if not request.key_digest:
        return None
    if request.key_digest not in tables.keys:
        return RequestAbortedError(401, "the key was withdrawn")
    if request.access is None:
        return None
    if not is_still_authorized(tables, request.access):
        return RequestAbortedError(403, "the key's workspace lost its access")
    if not keys_usable and not request.access.route.open:
        return RequestAbortedError(503, "keys cannot be checked at the moment")
    return None
