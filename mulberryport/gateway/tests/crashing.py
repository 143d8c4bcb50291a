"""Targets that crash while they run requests, for tests."""

import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
from attrs import define, evolve, field

from ...runtime.wsgi import listen
from .builders import Harness, read_head

__all__ = ["CrashingTarget", "crashing_targets", "is_deadly", "renew_ids"]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def is_deadly(head: bytes) -> bool:
    """Whether a request has the word "deadly" in its path."""
    return b"deadly" in head.partition(b" HTTP/")[0]


@define(eq=False)
class CrashingTarget:
    """A target that ends when a deadly request begins to run, and starts again later.

    Parameters
    ----------
    deadly : callable
        Returns whether a request, given its head, ends the target.
    service_time_s : float
        Time that other requests take.
    crash_delay_s : float
        Time from the begin of a deadly request to the end of the target.
    restart_s : float
        Time from the end of the target to its next start.
    partial_response : bytes
        Sent before the target ends.
    on_restart : callable
        Called after the target has started again.
    """

    deadly: Callable[[bytes], bool] = is_deadly
    service_time_s: float = 0.02
    crash_delay_s: float = 0.01
    restart_s: float = 0.4
    partial_response: bytes = b""
    on_restart: Callable[[], None] = lambda: None
    crash_count: int = 0
    heads: list[bytes] = field(factory=list)
    address: str = ""
    is_up: bool = False
    _listener: Any = None
    _acceptor: Any = None
    _connections: dict[Any, Any] = field(factory=dict)
    _is_ended: bool = False

    def start(self) -> None:
        """Listen, at the same address after a crash."""
        if self._is_ended:
            return
        self._listener = listen(self.address or "127.0.0.1:0")
        self.address = "{}:{}".format(*self._listener.getsockname())
        self._acceptor = eventlet.spawn(self._accept, self._listener)
        self.is_up = True

    def stop(self) -> None:
        """Close the listener and reset all connections, as the end of a process."""
        if not self.is_up:
            return
        self.is_up = False
        self._acceptor.kill()
        self._listener.close()
        connections, self._connections = self._connections, {}
        for connection in connections:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        for connection, thread in connections.items():
            connection.close()
            if thread is not eventlet.getcurrent():
                thread.kill()

    def end(self) -> None:
        """Stop for good."""
        self._is_ended = True
        self.stop()

    def crash(self) -> None:
        """End the target, and start it again after ``restart_s``."""
        if self.is_up:
            self.crash_count += 1
            self.stop()
            eventlet.spawn_after(self.restart_s, self._restart)

    def _restart(self) -> None:
        self.start()
        self.on_restart()

    def _accept(self, listener: Any) -> None:
        while True:
            connection = listener.accept()[0]
            self._connections[connection] = eventlet.spawn(self._serve, connection)

    def _serve(self, connection: Any) -> None:
        try:
            head = read_head(connection)
            if not head:
                return
            self.heads.append(head)
            if self.deadly(head):
                connection.sendall(self.partial_response)
                eventlet.sleep(self.crash_delay_s)
                eventlet.spawn(self.crash).wait()
            eventlet.sleep(self.service_time_s)
            connection.sendall(OK)
        finally:
            self._connections.pop(connection, None)
            connection.close()


@contextmanager
def crashing_targets(count: int, **options: Any) -> Iterator[list[CrashingTarget]]:
    """Run some targets."""
    targets = [CrashingTarget(**options) for _ in range(count)]
    for target in targets:
        target.start()
    try:
        yield targets
    finally:
        for target in targets:
            target.end()


def renew_ids(harness: Harness, targets: list[CrashingTarget]) -> None:
    """List each target of the pool ``desk`` under a new id after it has restarted."""

    def list_targets() -> None:
        pools = dict(harness.snapshot_holder.snapshot.tables.pools)
        listed = {target.address: target for target in pools["desk"].targets}
        pools["desk"] = evolve(
            pools["desk"],
            targets=tuple(
                evolve(listed[target.address], id=f"t{number}-{target.crash_count}")
                for number, target in enumerate(targets)
            ),
        )
        harness.change(pools=pools)

    for target in targets:
        target.on_restart = list_targets
