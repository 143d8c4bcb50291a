"""Clients and servers of the protocol on plain sockets."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any


def read_line(stream: Any) -> bytes:
    """Read a line; raise ``EOFError`` if the connection ended."""
    line = stream.readline(65536)
    if not line.endswith(b"\n"):
        raise EOFError
    return line.rstrip(b"\r\n")


def read_head(stream: Any) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    first = read_line(stream).decode("latin-1")
    headers = {}
    while line := read_line(stream):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


def read_parts(stream: Any, headers: dict[str, str]) -> Iterator[bytes]:
    """Yield the parts of a body; raise ``EOFError`` if it is not complete."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(read_line(stream), 16):
            part = stream.read(size)
            if len(part) < size:
                raise EOFError
            yield part
            read_line(stream)
        while read_line(stream):
            pass
        return
    left = int(headers.get("content-length") or 0)
    while left:
        part = stream.read(min(left, 16384))
        if not part:
            raise EOFError
        left -= len(part)
        yield part


def chunked(body: bytes, size: int = 8192) -> bytes:
    """Return a body in chunks."""
    parts = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts) + b"0\r\n\r\n"


def send_request(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    in_chunks: bool = False,
    timeout: float = 10.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send a request on a new connection; status 0 means no complete answer."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if in_chunks:
        lines.append("Transfer-Encoding: chunked")
    elif body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""]).encode()
    try:
        with socket.create_connection(("127.0.0.1", port), timeout) as connection:
            connection.settimeout(timeout)
            with contextlib.suppress(BrokenPipeError, ConnectionResetError):
                connection.sendall(head + (chunked(body) if in_chunks else body))
            stream = connection.makefile("rb")
            first, answer_headers = read_head(stream)
            content = b"".join(read_parts(stream, answer_headers))
            return int(first.split()[1]), answer_headers, content
    except (OSError, EOFError, ValueError):
        return 0, {}, b""


class Request:
    """A request at a server, whose body the handler reads."""

    def __init__(self, stream: Any, connection: socket.socket) -> None:
        first, self.headers = read_head(stream)
        self.method, self.path, _ = first.split(" ", 2)
        self.id = self.headers.get("x-request-id", "")
        self.connection, self._stream = connection, stream

    def read(self) -> bytes:
        """Read the whole body."""
        return b"".join(read_parts(self._stream, self.headers))

    def answer(
        self, status: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        fields = {"X-Request-Id": self.id, "Content-Length": str(len(body))}
        fields |= headers or {}
        lines = [f"HTTP/1.1 {status}"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        self.connection.sendall(head + body)


class Server:
    """A server of the protocol, one thread a connection.

    Parameters
    ----------
    id : str
        Its id; a request that expects another gets 421.
    handle : callable
        Handles a request; returns whether the connection stays open.
    port : int
        Port to listen at.
    """

    def __init__(self, id: str, handle: Callable[[Request], bool], port: int) -> None:
        self.id, self.handle, self.port = id, handle, port
        self._connections: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        self.start()

    def start(self) -> None:
        """Start to listen."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self.port))
        listener.listen(128)
        self._listener = listener
        threading.Thread(target=self._accept, args=(listener,), daemon=True).start()

    def crash(self) -> None:
        """Close the listener and all connections at once, as a crash does."""
        listener, self._listener = self._listener, None
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for connection in list(self._connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self._connections.clear()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        stream = connection.makefile("rb")
        try:
            while True:
                request = Request(stream, connection)
                expected = request.headers.get("x-expect-instance", self.id)
                if expected != self.id:
                    request.read()
                    request.answer("421 Misdirected Request")
                    continue
                if not self.handle(request):
                    return
        except (EOFError, OSError, ValueError):
            return
        finally:
            self._connections.discard(connection)
            stream.close()
            connection.close()
