"""Stand-ins for model servers and plain services."""

import itertools
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from typing import Any

from .http import free_address, reply_json, serve
from .store import Store

__all__ = ["Engine", "Service", "Target"]

HEARTBEAT_S = 1.2
_stamps = itertools.count(1)


class Target:
    """Server that registers in the store and serves one request a connection.

    Parameters
    ----------
    store : Store
        Store in which the server registers.
    server : str
        Id of the server.
    service, zone : str
        Its service and zone.
    record : callable
        Called with each event that the record shows.
    slots : int
        Number of requests that it processes at once.
    """

    def __init__(
        self,
        store: Store,
        server: str,
        service: str,
        zone: str,
        record: Callable[..., None],
        slots: int,
    ) -> None:
        self.store, self.id, self.service, self.zone = store, server, service, zone
        self.record, self.slots = record, slots
        self.slowdown = 1.0
        self.running = 0
        self.is_registered = True
        self.lock = threading.Lock()
        self.address = serve(free_address(), self._handle)
        self.register()
        threading.Thread(target=self._beat, daemon=True).start()

    def entry(self) -> dict[str, Any]:
        """Return the registration."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        }

    def register(self) -> None:
        """Write the registration."""
        self.store.put(f"servers/{self.id}", self.entry())

    def unregister(self) -> None:
        """Remove the registration; the server goes on to serve."""
        self.is_registered = False
        self.store.remove(f"servers/{self.id}")

    def run(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Run one request."""
        raise NotImplementedError

    def _beat(self) -> None:
        while True:
            time.sleep(HEARTBEAT_S)
            if self.is_registered:
                self.register()

    def _handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        expected = handler.headers.get("X-Expect-Instance")
        if expected not in (None, self.id):
            reply_json(handler, 421, headers={"X-Instance-Id": self.id})
            return
        if handler.path == "/health":
            reply_json(handler, 200, headers={"X-Instance-Id": self.id})
            return
        with self.lock:
            self.running += 1
        try:
            self.run(handler, body)
        finally:
            with self.lock:
                self.running -= 1

    def answer_headers(self, handler: BaseHTTPRequestHandler) -> dict[str, str]:
        """Return the headers that each answer has."""
        return {
            "X-Request-Id": handler.headers.get("X-Request-Id", ""),
            "X-Server-Load": f"{self.running},0,{self.slots}",
        }

    def make_stamp(self) -> str:
        """Return a signature that no other answer has."""
        return f"{self.id}.{next(_stamps)}"


class Service(Target):
    """Plain service whose requests take some time.

    A request whose deadline passes while it runs is answered with 504.

    Parameters
    ----------
    work_s : callable
        Returns the seconds of work of a request, given its id.
    fails : callable
        Returns whether a request, given its id, always fails with 500.
    """

    def __init__(
        self,
        *arguments: Any,
        slots: int = 6,
        work_s: Callable[[str], float] = lambda request: 0.03,
        fails: Callable[[str], bool] = lambda request: False,
    ) -> None:
        self.work_s, self.fails = work_s, fails
        super().__init__(*arguments, slots=slots)

    def run(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Run one request."""
        request = handler.headers.get("X-Request-Id", "")
        deadline_s = int(handler.headers.get("X-Deadline-Ms") or 60_000) / 1000
        work_s = self.work_s(request) * self.slowdown
        self.record("run", server=self.id, request=request, work_s=round(work_s, 3))
        headers = self.answer_headers(handler)
        if work_s > deadline_s:
            time.sleep(deadline_s)
            self.record("answer", server=self.id, request=request, status=504)
            reply_json(handler, 504, {}, headers)
            return
        time.sleep(work_s)
        if self.fails(request):
            self.record("answer", server=self.id, request=request, status=500)
            reply_json(handler, 500, {}, headers)
            return
        headers["X-Server-Stamp"] = stamp = self.make_stamp()
        self.record("answer", server=self.id, request=request, status=200, stamp=stamp)
        reply_json(handler, 200, {"body": len(body)}, headers)


class Engine(Target):
    """Model server that streams events.

    Parameters
    ----------
    model : str
        Name of its model.
    events : int
        Number of events of a text.
    event_s : float
        Seconds from one event to the next.
    """

    def __init__(
        self,
        *arguments: Any,
        slots: int = 12,
        model: str = "m",
        events: int = 21,
        event_s: float = 0.02,
    ) -> None:
        self.model, self.version = model, 1
        self.events, self.event_s = events, event_s
        self.orders = 0
        super().__init__(*arguments, slots=slots)

    def entry(self) -> dict[str, Any]:
        """Return the registration."""
        return {
            **super().entry(),
            "stage": "both",
            "models": [self._describe_model()],
            "seq": self.orders,
        }

    def _describe_model(self) -> dict[str, Any]:
        return {"name": self.model, "version": self.version, "adapters": []}

    def make_event(self, item: str, number: int) -> bytes:
        """Return one event of a stream."""
        return f"id: {number}\ndata: {item}.{number}\n\n".encode()

    def run(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Run one request, or serve a report or an order."""
        if handler.path == "/mulberryport/report":
            reply_json(
                handler,
                200,
                {
                    "stage": "both",
                    "models": [self._describe_model()],
                    "busy": False,
                    "seq": self.orders,
                    "num-waiting": 0,
                    "num-running": self.running,
                    "kv-used": 0,
                    "kv-total": 45902,
                    "handles": 0,
                },
            )
            return
        if handler.path == "/mulberryport/order":
            self.orders += 1
            reply_json(handler, 202, {})
            return
        self._stream(handler)

    def _stream(self, handler: BaseHTTPRequestHandler) -> None:
        item = handler.headers.get("X-Request-Id", "")
        after = int(handler.headers.get("Last-Event-Id") or 0)
        self.record("run", server=self.id, request=item, after=after)
        handler.send_response(200)
        for name, value in self.answer_headers(handler).items():
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.send_header("X-Server-Stamp", self.make_stamp())
        handler.send_header("X-Weight-Versions", str(self.version))
        handler.end_headers()
        try:
            for number in range(after + 1, self.events + 1):
                time.sleep(self.event_s * self.slowdown)
                event = self.make_event(item, number)
                handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True
