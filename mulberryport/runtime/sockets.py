"""Options of TCP connections to other systems.

An open connection can go silent for good, without a reset. Probes of the kernel
notice that on idle connections, and the user time-out on those with unsent data.
"""

import socket

__all__ = ["KEEP_ALIVE_OPTIONS"]

# One probe a second, and the third missing answer ends the connection.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES = 2
UNACKNOWLEDGED_MS = 3000

KEEP_ALIVE_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
]
