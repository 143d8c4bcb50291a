"""Gateways, scripted targets and callers for tests."""

import socket
from collections.abc import Callable, Iterator
from contextlib import closing, contextmanager
from http.client import HTTPConnection
from typing import Any

import eventlet
from attrs import evolve, frozen

from ...runtime import TimerService
from ...runtime.clock import boottime
from ...runtime.wsgi import listen
from ...tables import KeyRecord, Snapshot, SnapshotHolder, key_digest, parse_tables
from ...targets import Dispatcher, TargetDirectory
from ...usage import UsageCounters
from .. import CHECK_PERIOD_S, CallerServer, Gateway

__all__ = [
    "KEY",
    "OTHER_KEY",
    "Harness",
    "call",
    "read_head",
    "running_gateway",
    "scripted_target",
    "wait_until",
]

QUEUES_PERIOD_S = 0.2
KEY = "mbp_" + "k" * 43
OTHER_KEY = "mbp_" + "o" * 43
TABLES = """
[workspace roads]
[workspace hauliers]
[route filing]
path = /filing/
pool = desk
workspaces = roads
timeout = {timeout}
[route shared]
path = /shared/
pool = desk
workspaces = roads, hauliers
timeout = {timeout}
[route public]
path = /public/
pool = desk
open = yes
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
[pool desk]
kind = plain-service
concurrency = {concurrency}
targets = {targets}
[pool drafting]
kind = model-engine
targets = {targets}
"""


@frozen
class Harness:
    """A listening gateway, with the state that tests change."""

    address: tuple[str, int]
    gateway: Gateway
    server: CallerServer
    snapshot_holder: SnapshotHolder
    directory: TargetDirectory
    keys_usable: list[bool]
    is_behind: list[bool]

    def change(self, **changes: Any) -> None:
        """Adopt a new revision of the tables with changed fields."""
        current = self.snapshot_holder.snapshot
        tables = evolve(current.tables, **changes)
        number = current.revision + 1
        self.snapshot_holder.adopt(Snapshot(number, f"change {number}", tables), {})

    @property
    def in_flight(self) -> int:
        """Number of slots of targets that are in use."""
        return sum(view.in_flight for view in self.directory.all_views())


@contextmanager
def running_gateway(
    *targets: str,
    timeout: float = 20.0,
    concurrency: int = 16,
    idempotency: Any = None,
) -> Iterator[Harness]:
    """Run a gateway for targets at the given addresses, with two issued keys."""
    lines = "".join(f"\n    target{n} {a} rosario" for n, a in enumerate(targets))
    text = TABLES.format(targets=lines, timeout=timeout, concurrency=concurrency)
    keys = {
        key_digest(KEY): KeyRecord(key_digest(KEY), "roads"),
        key_digest(OTHER_KEY): KeyRecord(key_digest(OTHER_KEY), "hauliers"),
    }
    holder, directory = SnapshotHolder(), TargetDirectory()
    keys_usable, is_behind = [True], [False]
    holder.subscribe(directory.apply_snapshot)
    tables = evolve(parse_tables(text, "tables"), keys=keys)
    holder.adopt(Snapshot(1, "first", tables), {})
    gateway = Gateway(
        holder,
        Dispatcher(directory, "rosario"),
        UsageCounters("vm1", 1, 60),
        lambda: keys_usable[0],
        lambda environ, start_response: [],
        is_behind=lambda: is_behind[0],
        **({"idempotency": idempotency} if idempotency else {}),
    )
    listener = listen("127.0.0.1:0")
    server = CallerServer(listener, gateway)
    server.start()
    timers = TimerService()
    timers.subscribe("requests", CHECK_PERIOD_S, gateway.active.check)
    timers.subscribe("queues", QUEUES_PERIOD_S, gateway.dispatcher.dispatch_waiting)
    try:
        yield Harness(
            listener.getsockname(),
            gateway,
            server,
            holder,
            directory,
            keys_usable,
            is_behind,
        )
    finally:
        timers.stop()
        server.stop_accepting()


@contextmanager
def scripted_target(
    script: Callable[[Any, bytes], None],
) -> Iterator[tuple[str, list[bytes]]]:
    """Run a target whose connections are handled by a script.

    The script is called with the connection and the head of the request, and the
    connection is closed when it returns. ``GET /load`` is served without it.

    Yields
    ------
    tuple of str and list of bytes
        The address, and the heads of the requests that were received.
    """
    listener = listen("127.0.0.1:0")
    heads: list[bytes] = []

    def serve(connection: Any) -> None:
        with closing(connection):
            head = read_head(connection)
            if head.startswith(b"GET /load"):
                body = b'{"running": 0, "waiting": 0, "capacity": 9}'
                connection.sendall(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                )
            elif head:
                heads.append(head)
                script(connection, head)

    def accept() -> None:
        while True:
            eventlet.spawn_n(serve, listener.accept()[0])

    acceptor = eventlet.spawn(accept)
    try:
        host, port = listener.getsockname()
        yield f"{host}:{port}", heads
    finally:
        acceptor.kill()
        listener.close()


def read_head(connection: socket.socket) -> bytes:
    """Return the head of a request, and any part of the body received with it."""
    content = b""
    while b"\r\n\r\n" not in content:
        part = connection.recv(65536)
        if not part:
            return b""
        content += part
    return content


def call(
    harness: Harness, method: str, path: str, body: Any = None, **headers: str
) -> tuple[int, dict[str, str], bytes]:
    """Send a request with ``KEY``; return the status, headers and body."""
    connection = HTTPConnection(*harness.address, timeout=15)
    with closing(connection):
        all_headers = {"Authorization": f"Bearer {KEY}"}
        all_headers.update({n.replace("_", "-"): v for n, v in headers.items()})
        connection.request(method, path, body, all_headers)
        reply = connection.getresponse()
        return reply.status, dict(reply.headers), reply.read()


def wait_until(condition: Callable[[], Any], seconds: float) -> bool:
    """Wait for a condition; return False on a timeout."""
    deadline = boottime() + seconds
    while not condition():
        if boottime() > deadline:
            return False
        eventlet.sleep(0.02)
    return True
