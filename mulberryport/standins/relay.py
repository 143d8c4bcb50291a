"""TCP relay that simulates network failures between peers.

Each connection is forwarded to a target address. ``stall_connections`` stops
forwarding on the open connections without closing them, while new connections work;
``block`` also leaves new connections without forwarding until ``unblock``.
"""

import socket
from contextlib import suppress

import eventlet
from attrs import define, field

from ..runtime.wsgi import listen, split_address

__all__ = ["Relay"]

READ_BYTES = 64 * 1024


@define(eq=False)
class Relay:
    """TCP relay in front of one address.

    Parameters
    ----------
    target : str
        Address to which connections are forwarded.
    """

    target: str
    address: str = ""
    accepted_count: int = 0
    _is_blocked: bool = False
    _generation: int = 0
    _sockets: list[socket.socket] = field(factory=list)
    _listener: socket.socket | None = None

    def start(self) -> "Relay":
        """Listen on a free loopback address and return the relay."""
        self._listener = listen("127.0.0.1:0")
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        eventlet.spawn_n(self._accept)
        return self

    def stall_connections(self) -> None:
        """Stop forwarding on the open connections; new connections work."""
        self._generation += 1

    def block(self) -> None:
        """Stop forwarding on open and on new connections."""
        self._is_blocked = True
        self._generation += 1

    def unblock(self) -> None:
        """Forward new connections again."""
        self._is_blocked = False

    def close(self) -> None:
        """Stop listening and shut down all connections."""
        if self._listener is not None:
            _shut_down_socket(self._listener)
        for open_socket in self._sockets:
            _shut_down_socket(open_socket)

    def _accept(self) -> None:
        while True:
            try:
                client_socket, _ = self._listener.accept()
            except (OSError, EOFError):
                return
            self._sockets.append(client_socket)
            self.accepted_count += 1
            if not self._is_blocked:
                eventlet.spawn_n(self._serve, client_socket)

    def _serve(self, client_socket: socket.socket) -> None:
        try:
            target_socket = eventlet.connect(split_address(self.target))
        except OSError:
            client_socket.close()
            return
        self._sockets.append(target_socket)
        generation = self._generation
        eventlet.spawn_n(self._copy_bytes, client_socket, target_socket, generation)
        eventlet.spawn_n(self._copy_bytes, target_socket, client_socket, generation)

    def _copy_bytes(
        self, source: socket.socket, sink: socket.socket, generation: int
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if generation != self._generation:
                    return
                sink.sendall(data)
        except (OSError, EOFError):
            pass
        if generation == self._generation:
            _shut_down_socket(sink)


def _shut_down_socket(open_socket: socket.socket) -> None:
    """Shut down both directions of a connection, which wakes blocked readers."""
    with suppress(OSError):
        open_socket.shutdown(socket.SHUT_RDWR)
