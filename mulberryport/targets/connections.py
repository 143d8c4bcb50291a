"""Connections to targets that are kept for further requests.

A kept connection may have been closed by the target, or may hold bytes that belong to
no request. Both are looked for before it is used again; such a connection is closed.
"""

import socket

from attrs import define, field
from urllib3.connection import HTTPConnection

from ..runtime.clock import boottime
from ..runtime.sockets import TCP_SOCKET_OPTIONS
from ..runtime.wsgi import split_address

__all__ = ["ConnectionPool"]

# Used if the target does not say how long it keeps idle connections.
IDLE_LIMIT_S = 15.0
# A connection is not used any more this long before its target would close it.
IDLE_MARGIN_S = 0.7
# Idle connections per target; a daemon rarely has more requests in flight there.
MOST_IDLE = 24


@define(eq=False)
class Kept:
    """An idle connection and the boot time until which it may be used."""

    connection: HTTPConnection
    until: float


@define(eq=False)
class ConnectionPool:
    """Idle connections by the id of their target.

    Parameters
    ----------
    connect_timeout : float
        Seconds to open a new connection.
    """

    connect_timeout: float = 1.0
    opened: int = 0
    reused: int = 0
    # A target that starts again under its id may have another address.
    _idle: dict[tuple[str, str], list[Kept]] = field(factory=dict)

    def connected(self) -> set[str]:
        """Return the targets to which there is an idle connection."""
        return {target for (target, _), idle in self._idle.items() if idle}

    def take(
        self, target: str, address: str, *, fresh: bool = False
    ) -> tuple[HTTPConnection, bool]:
        """Return a connection, and whether it was used before.

        Parameters
        ----------
        target, address : str
            Id of the target, and its IP number and port.
        fresh : bool
            Whether a new connection is needed.

        Raises
        ------
        OSError, urllib3.exceptions.HTTPError
            No connection could be opened.
        """
        kept = [] if fresh else self._idle.get((target, address), [])
        while kept:
            candidate = kept.pop()
            if boottime() < candidate.until and _is_quiet(candidate.connection):
                self.reused += 1
                return candidate.connection, True
            candidate.connection.close()
        host, port = split_address(address)
        connection = HTTPConnection(
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

    def give_back(
        self,
        target: str,
        address: str,
        connection: HTTPConnection,
        keep_alive: str = "",
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        Parameters
        ----------
        keep_alive : str
            The answer's header of this name; empty if there was none.
        """
        idle = self._idle.setdefault((target, address), [])
        limit = _idle_limit(keep_alive)
        if limit <= 0 or len(idle) >= MOST_IDLE or not _is_quiet(connection):
            connection.close()
            return
        idle.append(Kept(connection, boottime() + limit))

    def expire(self) -> None:
        """Close the connections that were idle for too long."""
        now = boottime()
        for target, idle in list(self._idle.items()):
            for kept in [kept for kept in idle if kept.until <= now]:
                idle.remove(kept)
                kept.connection.close()
            if not idle:
                del self._idle[target]


def _idle_limit(keep_alive: str) -> float:
    for part in keep_alive.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value) - IDLE_MARGIN_S
    return IDLE_LIMIT_S


def _is_quiet(connection: HTTPConnection) -> bool:
    """Whether a connection is open and nothing has arrived on it."""
    sock = connection.sock
    if sock is None:
        return False
    # A green socket would wait for data; the one below it does not.
    plain = getattr(sock, "fd", sock)
    try:
        plain.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False
