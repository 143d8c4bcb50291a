"""Pool of persistent HTTP connections to targets.

An idle connection may have been closed by the target, or may hold unexpected bytes
that belong to no request. Both are checked before reuse; such a connection is closed.

A faulty target may send without end. What is read and thrown away is bounded in bytes
and in time.
"""

import http.client
import re
import socket
from contextlib import closing

import urllib3
from attrs import define, field
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from ..runtime.clock import boottime
from ..runtime.http import BoundedConnection, read_parts
from ..runtime.sockets import TCP_SOCKET_OPTIONS, end_regularly
from ..runtime.wsgi import split_address

__all__ = ["ConnectionPool", "drain_refusal", "has_peer_ended", "is_peer_gone"]

IDLE_TIMEOUT_FORMAT = re.compile(r"[0-9]{1,9}", re.ASCII)
# Used if the target's response states no keep-alive timeout.
DEFAULT_IDLE_TIMEOUT_S = 15.0
# A connection is discarded this long before its target would close it.
IDLE_MARGIN_S = 0.7
# A daemon rarely has more requests than this in flight at one target.
MAX_IDLE_PER_TARGET = 24
# The body of a refusal is short.
MAX_REFUSAL_BYTES = 16 * 1024
MAX_REFUSAL_READ_S = 0.3
# A target that is up accepts a connection within a round trip.
GONE_CONNECT_TIMEOUT_S = 0.25
# A process that ends closes its listener and its connections one after another, so
# that a connection may still be accepted and is reset directly afterwards.
GONE_SETTLE_TIMEOUT_S = 0.02


def drain_refusal(response: urllib3.BaseHTTPResponse) -> bool:
    """Read the body of a refusal; return whether all of it was read.

    Parameters
    ----------
    response : urllib3 response
        Response whose body is not used.
    """
    deadline, size = boottime() + MAX_REFUSAL_READ_S, 0
    try:
        for part in read_parts(response, MAX_REFUSAL_BYTES):
            size += len(part)
            if size > MAX_REFUSAL_BYTES or boottime() > deadline:
                return False
    except (HTTPError, http.client.HTTPException, OSError):
        return False
    return True


def has_peer_ended(error: BaseException) -> bool:
    """Return whether an error says that the peer closed or reset the connection.

    Parameters
    ----------
    error : BaseException
        Error of a read or write, also as urllib3 wraps it. Timeouts, malformed
        responses and unreachable networks are not an end of the connection.

    Examples
    --------
    >>> has_peer_ended(ConnectionResetError()), has_peer_ended(TimeoutError())
    (True, False)
    """
    ends = (ConnectionResetError, BrokenPipeError, http.client.IncompleteRead)
    causes = (error, error.__cause__, *error.args)
    return any(isinstance(cause, ends) for cause in causes)


def is_peer_gone(address: str) -> bool:
    """Return whether nothing accepts connections at an address any more.

    The connections that this opens are closed at once.

    Parameters
    ----------
    address : str
        IP address and port.

    Raises
    ------
    OSError
        This process could not try, for example without a free file descriptor.
    """
    return not (_stays_open(address) or _stays_open(address, settle_timeout_s=0.0))


def _stays_open(address: str, settle_timeout_s: float = GONE_SETTLE_TIMEOUT_S) -> bool:
    """Return whether a new connection is accepted and not ended directly."""
    try:
        connection = socket.create_connection(
            split_address(address), GONE_CONNECT_TIMEOUT_S
        )
    except (ConnectionRefusedError, ConnectionResetError, TimeoutError):
        return False
    with closing(connection):
        if not settle_timeout_s:
            return True
        connection.settimeout(settle_timeout_s)
        try:
            return bool(connection.recv(1))
        except TimeoutError:
            return True
        except ConnectionResetError:
            return False


@define(eq=False)
class IdleConnection:
    """An idle connection and the boot time at which it expires."""

    connection: HTTPConnection
    expires_at: float


@define(eq=False)
class ConnectionPool:
    """Idle connections by target id and address.

    Parameters
    ----------
    connect_timeout : float
        Timeout in seconds for opening a new connection.
    """

    connect_timeout: float = 1.0
    opened: int = 0
    reused: int = 0
    # The key includes the address, since a restarted target may keep its id but get
    # another address.
    _idle: dict[tuple[str, str], list[IdleConnection]] = field(factory=dict)

    def connected_targets(self) -> set[str]:
        """Return the ids of the targets with an idle connection."""
        return {target for (target, _), idle in self._idle.items() if idle}

    def acquire(
        self, target: str, address: str, *, fresh: bool = False
    ) -> tuple[HTTPConnection, bool]:
        """Return a connection to a target, and whether it is a reused one.

        Parameters
        ----------
        target, address : str
            Id of the target, and its IP address and port.
        fresh : bool
            Whether to open a new connection even if an idle one exists.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            If no connection could be opened.
        """
        idle_connections = [] if fresh else self._idle.get((target, address), [])
        while idle_connections:
            candidate = idle_connections.pop()
            if boottime() < candidate.expires_at and _is_reusable(candidate.connection):
                self.reused += 1
                return candidate.connection, True
            end_regularly(candidate.connection)
        host, port = split_address(address)
        connection = BoundedConnection(
            host,
            port,
            timeout=self.connect_timeout,
            socket_options=TCP_SOCKET_OPTIONS,
        )
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        self.opened += 1
        return connection, False

    def release(
        self,
        target: str,
        address: str,
        connection: HTTPConnection,
        keep_alive: str = "",
    ) -> None:
        """Return a connection to the pool after its last response was read completely.

        Parameters
        ----------
        keep_alive : str
            Value of the response's ``Keep-Alive`` header; empty if it was absent.
        """
        idle = self._idle.setdefault((target, address), [])
        idle_timeout_s = _idle_timeout_s(keep_alive)
        if (
            idle_timeout_s <= 0
            or len(idle) >= MAX_IDLE_PER_TARGET
            or not _is_reusable(connection)
        ):
            end_regularly(connection)
            return
        idle.append(IdleConnection(connection, boottime() + idle_timeout_s))

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now = boottime()
        for target, idle in list(self._idle.items()):
            for expired in [entry for entry in idle if entry.expires_at <= now]:
                idle.remove(expired)
                end_regularly(expired.connection)
            if not idle:
                del self._idle[target]


def _idle_timeout_s(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and IDLE_TIMEOUT_FORMAT.fullmatch(value):
            return float(value) - IDLE_MARGIN_S
    return DEFAULT_IDLE_TIMEOUT_S


def _is_reusable(connection: HTTPConnection) -> bool:
    """Return whether a connection is open and has no unread bytes."""
    sock = connection.sock
    if sock is None:
        return False
    # A green socket would block until data arrives; the underlying socket does not.
    plain = getattr(sock, "fd", sock)
    try:
        plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
