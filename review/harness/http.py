"""HTTP/1.1 server of the stand-ins, a client call, and a TCP proxy."""

import contextlib
import http.client
import json
import random
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

__all__ = ["Proxy", "Reply", "call", "free_address", "serve"]

HOST = "127.0.0.1"
READ_BYTES = 64 * 1024

PORTS = (12_000, 32_000)

_given: set[int] = set()
_lock = threading.Lock()


class Reply:
    """Response of a client call."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body

    def json(self) -> dict:
        """Return the decoded body."""
        return json.loads(self.body)


def free_address() -> str:
    """Return a loopback address with a free port that no other call returns.

    The ports are below the range from which the system chooses those of clients.
    """
    while True:
        port = random.randrange(*PORTS)
        with _lock, socket.socket() as probe:
            if port in _given:
                continue
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            _given.add(port)
            return f"{HOST}:{port}"


def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 15.0,
) -> Reply:
    """Send a request on a new connection; the status is 0 without a whole answer.

    The client leaves after ``timeout`` seconds, also within an answer.
    """
    deadline = time.monotonic() + timeout
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        parts: list[bytes] = []
        while part := response.read1(READ_BYTES):
            parts.append(part)
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return Reply(0, {}, b"the client left within the answer")
            if connection.sock is not None:
                connection.sock.settimeout(remaining_s)
        if response.length:
            return Reply(0, {}, b"the answer ended early")
        return Reply(response.status, dict(response.headers), b"".join(parts))
    except (OSError, http.client.HTTPException) as error:
        return Reply(0, {}, repr(error).encode())
    finally:
        connection.close()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that clients broke off."""


def serve(address: str, handle: Callable[[BaseHTTPRequestHandler, bytes], None]) -> str:
    """Serve requests in threads; ``handle`` gets the handler and the body."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def log_message(self, *args: object) -> None:
            """Write no log."""

        def _handle(self) -> None:
            length = int(self.headers.get("Content-Length") or 0)
            handle(self, self.rfile.read(length) if length else b"")

        do_GET = do_POST = do_PUT = do_DELETE = _handle  # noqa: N815

    host, _, port = address.rpartition(":")
    server = _Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return address


def reply_json(
    handler: BaseHTTPRequestHandler,
    status: int,
    value: object = None,
    headers: dict[str, str] | None = None,
) -> None:
    """Send a JSON response."""
    body = b"" if value is None else json.dumps(value).encode()
    handler.send_response(status)
    for name, text in (headers or {}).items():
        handler.send_header(name, text)
    handler.send_header("Content-Type", "application/json")
    handler.send_header("Content-Length", str(len(body)))
    handler.end_headers()
    handler.wfile.write(body)


class Proxy:
    """TCP proxy whose connections can be silenced or reset.

    Parameters
    ----------
    target : str
        Address to which connections are forwarded.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.is_silent = False
        self.refuses = False
        # When the last renewal of a lease passed, on the monotonic clock.
        self.renewed_at = float("-inf")
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server((HOST, 0), backlog=256)
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_connections(self) -> None:
        """Close all open connections."""
        with self._lock:
            sockets = list(self._open)
        for entry in sockets:
            _close(entry)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        if self.refuses:
            _close(client)
            return
        host, _, port = self.target.rpartition(":")
        try:
            server = socket.create_connection((host, int(port)), timeout=5)
        except OSError:
            _close(client)
            return
        server.settimeout(None)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open |= {client, server}
        threading.Thread(
            target=self._copy, args=(client, server, True), daemon=True
        ).start()
        self._copy(server, client)
        with self._lock:
            self._open -= {client, server}

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_request: bool = False
    ) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if is_request and b"/mulberryport/kv-keep/" in data:
                    self.renewed_at = time.monotonic()
                while self.is_silent:
                    # Bytes of a partition arrive once it has healed.
                    time.sleep(0.01)
                sink.sendall(data)
        except OSError:
            pass
        while self.is_silent:
            time.sleep(0.01)
        _close(sink)
        _close(source)


def _close(entry: socket.socket) -> None:
    with contextlib.suppress(OSError):
        entry.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        entry.close()
