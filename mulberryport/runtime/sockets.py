"""Socket options of TCP connections to external systems.

A peer can become unreachable without a reset. Keepalive probes detect this on idle
connections, and the TCP user timeout on connections with unacknowledged data.
"""

import socket

__all__ = ["TCP_SOCKET_OPTIONS"]

# The kernel sends one probe per second and closes the connection one interval after
# the second unanswered probe, 3 s after the peer was last heard.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
USER_TIMEOUT_MS = 3000

TCP_SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
