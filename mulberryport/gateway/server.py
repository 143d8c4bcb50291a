"""The caller port's listener, which can stop accepting without closing connections."""

import re
import socket
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.wsgi
from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.wsgi import Application
from ..tables import CallerLimits
from ..telemetry import define as define_event
from ..telemetry import log
from .active import RequestEndedError
from .heads import HeadReader, MalformedHeadError

__all__ = ["PROTOCOL_KEY", "CallerServer"]

HEAD_REFUSED = define_event(
    606, "head_refused", "warning", "The head of a request was malformed or slow."
)

MAX_CONNECTIONS = 4096
# A method, a target without spaces or control characters, and the version.
REQUEST_LINE = re.compile(rb"[A-Z]+ [\x21-\x7e\x80-\xff]+ HTTP/1\.[01]\r\n")
IDLE_CHECK_S = 0.05
# Entry of the WSGI environment with the connection's protocol object.
PROTOCOL_KEY = "mulberryport.protocol"


class CallerProtocol(eventlet.wsgi.HttpProtocol):
    """Reads heads strictly and passes itself to the application.

    The application may close the connection after its answer.
    """

    # Nagle's algorithm would delay the last small line of a stream.
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Prepare the connection."""
        self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, True)
        super().setup()

    def parse_request(self) -> bool:
        """Read a head; answer and close the connection if it is malformed."""
        limits = self.server.caller_limits()
        self.rfile = HeadReader(self.rfile, limits.header_bytes)
        try:
            if not REQUEST_LINE.fullmatch(self.raw_requestline):
                raise MalformedHeadError(400, "the request line is malformed")
            with eventlet.Timeout(limits.header_time, _too_slow()):
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
        """Return the WSGI environment of the request that was read."""
        environ = super().get_environ()
        environ[PROTOCOL_KEY] = self
        # Otherwise the server collects small parts of a stream before it sends them.
        environ["eventlet.minimum_write_chunk_size"] = 1
        return environ


def _too_slow() -> MalformedHeadError:
    return MalformedHeadError(408, "the head took too long")


@define(eq=False)
class CallerServer:
    """Accepts connections of callers.

    Parameters
    ----------
    listener : socket
        Where they arrive.
    application : callable
        A WSGI application.
    limits : callable
        Returns what callers may send now.
    """

    listener: Any
    application: Application
    limits: Callable[[], CallerLimits] = CallerLimits
    _server: Any = None
    _pool: Any = field(factory=lambda: eventlet.GreenPool(MAX_CONNECTIONS))
    _acceptor: Any = None

    def start(self) -> None:
        """Accept connections from now on."""
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
        self._acceptor = eventlet.spawn(self._accept)

    @property
    def busy(self) -> int:
        """Requests that were read and whose answers are not written yet."""
        return self._server.outstanding_requests

    def wait_idle(self, timeout: float) -> bool:
        """Wait until no request runs; return whether that was so in time."""
        deadline = boottime() + timeout
        while self.busy and boottime() < deadline:
            eventlet.sleep(IDLE_CHECK_S)
        return not self.busy

    def stop_accepting(self) -> None:
        """Close the listener; open connections stay open."""
        if self._acceptor is not None:
            self._acceptor.kill()
            self._acceptor = None
        # Connections that the kernel accepted already would be reset otherwise.
        self.listener.settimeout(0)
        while True:
            try:
                self._serve_connection(*self.listener.accept())
            except OSError:
                break
        self.listener.close()

    def _accept(self) -> None:
        while True:
            try:
                accepted = self.listener.accept()
            except OSError:
                # Too many open files, or a connection that was reset already.
                eventlet.sleep(0.01)
                continue
            self._serve_connection(*accepted)

    def _serve_connection(self, connection: Any, address: Any) -> None:
        connection.settimeout(self.limits().idle_time)
        self._pool.spawn_n(self._serve, connection, address)

    def _serve(self, connection: Any, address: Any) -> None:
        state = [address, connection, eventlet.wsgi.STATE_IDLE]
        try:
            self._server.process_request(state)
        except (OSError, RequestEndedError):
            # The connection broke, or a request was ended while its answer was
            # being written; both leave an answer that is visibly incomplete.
            pass
        finally:
            eventlet.greenio.shutdown_safe(connection)
            connection.close()
