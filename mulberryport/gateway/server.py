"""HTTP server of the caller port, which can drain its connections."""

import re
import socket
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.wsgi
from attrs import define, field
from eventlet.greenio import GreenSocket

from ..runtime.clock import boottime
from ..runtime.waits import supervise
from ..runtime.wsgi import Application, bound_body_lines
from ..tables import CallerLimits
from ..telemetry import define as define_event
from ..telemetry import log
from .active import RequestAbortedError
from .heads import HeadReader, MalformedHeadError

__all__ = ["PROTOCOL_KEY", "CallerServer"]

HEAD_REFUSED = define_event(
    606,
    "head_refused",
    "warning",
    "The head of a request was malformed, too large or too slow.",
)

MAX_CONNECTIONS = 4096
# Method, target without spaces or control characters, and version.
REQUEST_LINE = re.compile(rb"[A-Z]+ [\x21-\x7e\x80-\xff]+ HTTP/1\.[01]\r\n")
IDLE_CHECK_PERIOD_S = 0.05
# Key of the WSGI environment that holds the connection's ``CallerProtocol``.
PROTOCOL_KEY = "mulberryport.protocol"


class CallerProtocol(eventlet.wsgi.HttpProtocol):
    """HTTP protocol handler that validates request heads strictly.

    It puts itself into the WSGI environment, so that the application can close the
    connection after a response.
    """

    # Nagle's algorithm would delay the last short line of a stream.
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Disable Nagle's algorithm on the connection."""
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        super().setup()

    def parse_request(self) -> bool:
        """Read a request's head; respond with an error and close if it is malformed."""
        limits = self.server.caller_limits()
        self.rfile = HeadReader(self.rfile, limits.header_bytes)
        try:
            if not REQUEST_LINE.fullmatch(self.raw_requestline):
                raise MalformedHeadError(400, "the request line is malformed")
            with eventlet.Timeout(limits.header_time, _head_timeout_error()):
                return super().parse_request()
        except MalformedHeadError as error:
            log(HEAD_REFUSED, status=error.status, reason=str(error))
            body = str(error).encode()
            self.wfile.write(
                b"HTTP/1.1 %d Refused\r\nConnection: close\r\n"
                b"Content-Length: %d\r\n\r\n%s" % (error.status, len(body), body)
            )
            self.close_connection = 1
            return False

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the current request."""
        environ = bound_body_lines(super().get_environ())
        environ[PROTOCOL_KEY] = self
        # By default the server buffers small parts of a stream before it sends them.
        environ["eventlet.minimum_write_chunk_size"] = 1
        return environ


def _head_timeout_error() -> MalformedHeadError:
    return MalformedHeadError(408, "the head took too long")


@define(eq=False)
class CallerServer:
    """HTTP server for callers' connections.

    Parameters
    ----------
    listener : socket
        Listening socket.
    application : callable
        WSGI application that serves the requests.
    limits : callable
        Returns the current limits for callers.
    """

    listener: Any
    application: Application
    limits: Callable[[], CallerLimits] = CallerLimits
    _server: Any = None
    _pool: Any = field(factory=lambda: eventlet.GreenPool(MAX_CONNECTIONS))
    _accept_thread: Any = None

    def start(self) -> None:
        """Start to accept connections."""
        self._server = eventlet.wsgi.Server(
            self.listener,
            self.listener.getsockname(),
            self.application,
            protocol=CallerProtocol,
            log_output=False,
            debug=False,
            socket_timeout=self.limits().idle_time,
        )
        self._server.caller_limits = self.limits
        self._accept_thread = supervise("accept callers", self._accept_connections)

    @property
    def busy(self) -> int:
        """Number of requests that were read and whose responses are not sent yet."""
        return self._server.outstanding_requests

    def wait_idle(self, timeout: float) -> bool:
        """Wait until no request is running; return False on a timeout."""
        deadline = boottime() + timeout
        while self.busy and boottime() < deadline:
            eventlet.sleep(IDLE_CHECK_PERIOD_S)
        return not self.busy

    def stop_accepting(self) -> None:
        """Close the listening socket; accepted connections stay open."""
        if self._accept_thread is not None:
            self._accept_thread.kill()
            self._accept_thread = None
        # Connections in the kernel's backlog would be reset by closing the socket.
        self.listener.settimeout(0)
        while True:
            try:
                connection, address = self.listener.accept()
            except OSError:
                break
            # A green listener without a timeout accepts plain sockets.
            self._spawn_connection(GreenSocket(connection), address)
        self.listener.close()

    def _accept_connections(self) -> None:
        while True:
            try:
                accepted = self.listener.accept()
            except OSError:
                # Too many open files, or a connection that was reset before it was
                # accepted.
                eventlet.sleep(0.01)
                continue
            self._spawn_connection(*accepted)

    def _spawn_connection(self, connection: Any, address: Any) -> None:
        connection.settimeout(self.limits().idle_time)
        self._pool.spawn_n(self._serve_connection, connection, address)

    def _serve_connection(self, connection: Any, address: Any) -> None:
        state = [address, connection, eventlet.wsgi.STATE_IDLE]
        try:
            self._server.process_request(state)
        except (OSError, RequestAbortedError):
            # The connection broke, or a request was aborted while its response was
            # being sent; both leave a response that is detectably incomplete.
            pass
        finally:
            eventlet.greenio.shutdown_safe(connection)
            connection.close()
