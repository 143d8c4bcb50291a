"""Socket options of TCP connections to external systems.

A peer can become unreachable without a reset. Keepalive probes detect this on idle
connections, and the TCP user timeout on connections with unacknowledged data.

The kernel goes on to send what was written to a connection that is closed, or whose
process has ended. A connection with a linger time of zero is reset instead, so that a
call that was given up does not arrive later.
"""

import socket
import struct
from typing import Any

__all__ = ["RESET_ON_CLOSE", "TCP_SOCKET_OPTIONS", "end_regularly", "user_timeout"]

# The kernel sends one probe per second and closes the connection one interval after
# the second unanswered probe, 3 s after the peer was last heard.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
USER_TIMEOUT_S = 3.0

# Values of ``struct linger``: whether it is in force, and seconds.
LINGER_ZERO = struct.pack("ii", 1, 0)
NO_LINGER = struct.pack("ii", 0, 0)

RESET_ON_CLOSE = (socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)


def user_timeout(seconds: float) -> tuple[int, int, int]:
    """Return the socket option that bounds how long the kernel sends bytes again.

    Parameters
    ----------
    seconds : float
        Time after which the kernel drops a connection whose bytes are not received.

    Examples
    --------
    >>> user_timeout(1.5)[2]
    1500
    """
    return socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000)


TCP_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    RESET_ON_CLOSE,
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    user_timeout(USER_TIMEOUT_S),
]


def end_regularly(connection: Any) -> None:
    """Close an HTTP connection whose last response was whole, without a reset.

    Parameters
    ----------
    connection : http.client.HTTPConnection
        Connection, which may be closed already.
    """
    if connection.sock is not None:
        connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    connection.close()
