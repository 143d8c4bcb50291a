"""A proxy on loopback whose link can be cut, as a network does it to TCP.

While the link is cut, nothing passes. Bytes of connections that were open when it was
cut are kept, as the kernel of their sender keeps them: they pass after the link has
healed, at the next retransmission, unless their sender has reset the connection. A
sender that merely closes its connection does not take them back. Connections that are
opened meanwhile never get through.
"""

import contextlib
import socket
import struct
import threading
import time
from collections.abc import Callable

# The first retransmission; each further interval is twice as long (RFC 6298).
FIRST_RETRANSMISSION_S = 0.2
RESET = struct.pack("ii", 1, 0)


def retransmission_after(sent_at: float, healed_at: float) -> float:
    """Return when bytes that were sent during a cut are sent again after it."""
    interval_s, at = FIRST_RETRANSMISSION_S, sent_at + FIRST_RETRANSMISSION_S
    while at < healed_at:
        interval_s *= 2
        at += interval_s
    return at


class Proxy:
    """Forwards connections to a port of the loopback interface.

    Parameters
    ----------
    port : int
        Port to listen at.
    target_port : int
        Port to forward to.
    on_data : callable
        Called with the bytes that a client has sent, before they are forwarded.
    """

    def __init__(
        self,
        port: int,
        target_port: int,
        on_data: Callable[[bytes], object] = lambda data: None,
    ) -> None:
        self.port, self.target_port, self.on_data = port, target_port, on_data
        self._healed = threading.Event()
        self._healed.set()
        self._healed_at = 0.0
        self.delivered_late: list[bytes] = []
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Cut the link."""
        self._healed.clear()

    def heal(self) -> None:
        """Heal the link."""
        self._healed_at = time.monotonic()
        self._healed.set()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        if not self._healed.is_set():
            # Its handshake would not have got through.
            self._healed.wait()
            _reset(client)
            return
        try:
            server = socket.create_connection(("127.0.0.1", self.target_port), 5)
            server.settimeout(None)
        except OSError:
            _reset(client)
            return
        args = (server, client, lambda data: None)
        threading.Thread(target=self._pump, args=args, daemon=True).start()
        self._pump(client, server, self.on_data)

    def _pump(
        self,
        source: socket.socket,
        sink: socket.socket,
        on_data: Callable[[bytes], object],
    ) -> None:
        try:
            while data := source.recv(65536):
                on_data(data)
                if not self._healed.is_set():
                    data += self._hold(source, time.monotonic())
                sink.sendall(data)
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)
            _reset(source)

    def _hold(self, source: socket.socket, sent_at: float) -> bytes:
        """Keep bytes until they are sent again; raise ``OSError`` after a reset."""
        self._healed.wait()
        due = retransmission_after(sent_at, self._healed_at)
        time.sleep(max(0.0, due - time.monotonic()))
        more = b""
        source.setblocking(False)
        try:
            while part := source.recv(65536):
                more += part
        except BlockingIOError:
            pass
        finally:
            source.setblocking(True)
        self.delivered_late.append(more)
        return more


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    connection.close()
