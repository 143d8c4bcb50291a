"""Model engines, scoring servers and calls about batch jobs."""

import base64
import json
import threading
import time
from collections.abc import Callable
from typing import Any

from http_tools import Request, Server, send_request
from lab import HOST, KEY, ZONES, Lab, free_ports

MODEL = "model1"


class Engines:
    """Engines of one model; each item has some events, and its text is known.

    Parameters
    ----------
    lab : Lab
        The deployment.
    count : int
        Number of engines.
    event_count, interval_s : int, float
        Events of each item, and the seconds before each.
    on_item : callable
        Called with the name of an engine and a request before the answer begins; if it
        returns a status, the answer is that.
    """

    def __init__(
        self,
        lab: Lab,
        count: int = 2,
        event_count: int = 10,
        interval_s: float = 0.03,
        on_item: Callable[[str, Request], str | None] = lambda name, request: None,
    ) -> None:
        self.lab, self.on_item = lab, on_item
        self.event_count, self.interval_s = event_count, interval_s
        # Time, engine, item and the event after which a run began.
        self.runs: list[tuple[float, str, str, int]] = []
        self._lock = threading.Lock()
        self.servers = {}
        for number, port in enumerate(free_ports(count)):
            name = f"e{number}"
            self.servers[name] = Server(
                name, lambda r, n=name: self._handle(r, n), port
            )
            models = [{"name": MODEL, "version": 1, "adapters": []}]
            lab.register(
                name, "drafts", port, zone=ZONES[number % 3], slots=16, models=models
            )

    def text(self, item: str) -> str:
        """Return the whole text of an item."""
        return "\n".join(f"{item}.{n}" for n in range(1, self.event_count + 1))

    def _handle(self, request: Request, name: str) -> bool:
        request.read()
        if request.path == "/mulberryport/report":
            report = {"busy": False, "seq": 0, "models": []}
            request.answer("200 OK", json.dumps(report).encode())
            return True
        if request.path == "/mulberryport/order":
            request.answer("200 OK", b"{}")
            return True
        after = int(request.headers.get("last-event-id") or 0)
        with self._lock:
            self.runs.append((time.monotonic(), name, request.id, after))
        status = self.on_item(name, request)
        if status is not None:
            request.answer(status, b"", {"X-Server-Stamp": f"stamp.{name}"})
            return True
        send = request.connection.sendall
        send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Request-Id: %s\r\n"
            b"X-Server-Stamp: stamp.%s\r\nX-Server-Load: 1,0,16\r\n"
            b"X-Weight-Versions: 1\r\n\r\n" % (request.id.encode(), name.encode())
        )
        for number in range(after + 1, self.event_count + 1):
            time.sleep(self.interval_s)
            event = f"id: {number}\ndata: {request.id}.{number}\n\n".encode()
            send(b"%x\r\n%s\r\n" % (len(event), event))
        send(b"0\r\n\r\n")
        return True


class Scorers:
    """Servers that score texts."""

    def __init__(self, lab: Lab, count: int = 2) -> None:
        self.calls: list[tuple[float, str]] = []
        for number, port in enumerate(free_ports(count)):
            name = f"d{number}"
            Server(name, lambda r, n=name: self._handle(r, n), port)
            lab.register(name, "desk", port, zone=ZONES[number % 3], slots=16)

    def _handle(self, request: Request, name: str) -> bool:
        request.read()
        self.calls.append((time.monotonic(), request.id))
        time.sleep(0.02)
        stamp = {"X-Server-Stamp": f"score.{request.id}", "X-Server-Load": "1,0,16"}
        request.answer("200 OK", b"scored", stamp)
        return True


def batch_route(**fields: Any) -> dict[str, Any]:
    """Return the route of batch jobs."""
    return {
        "name": "rollouts",
        "host": HOST,
        "prefix": "/jobs/",
        "kind": "rollout",
        "timeout-ms": 10_000,
        "latency-target-ms": 500,
        "run-target-ms": 7500,
        "queue-ttl-s": 40,
        "priority": 1,
        "service": "drafts",
        "max-attempts": 3,
    } | fields


def scorer_route(**fields: Any) -> dict[str, Any]:
    """Return the route of scoring calls."""
    return {
        "name": "scoring",
        "host": HOST,
        "prefix": "/score/",
        "kind": "idempotent",
        "timeout-ms": 1500,
        "latency-target-ms": 150,
        "priority": 2,
        "service": "desk",
        "max-attempts": 4,
        "public": True,
    } | fields


def services() -> list[dict[str, Any]]:
    """Return the services of engines and scoring servers."""
    engine = {
        "slots": 16,
        "kv-capacity": 40_000,
        "stride": 56,
        "models": [{"name": MODEL}],
    }
    drafts = {"name": "drafts", "health-path": "/health", "engine": engine}
    return [drafts, {"name": "desk", "health-path": "/health"}]


def make_job(items: list[str], *, scored: bool = True) -> bytes:
    """Return the body of a submission."""
    body = base64.b64encode(b"prompt").decode()
    entries = []
    for item in items:
        entry: dict[str, Any] = {
            "id": item,
            "path": f"/jobs/{item}",
            "headers": {"X-Model": MODEL, "X-Token-Counts": "270,500"},
            "body": body,
            "tokens": 770,
            "group": item.rpartition("-")[0],
        }
        if scored:
            entry["scorer"] = {
                "id": f"score-{item}",
                "host": HOST,
                "path": f"/score/{item}",
                "body": body,
            }
        entries.append(entry)
    job = {"step": 1, "model": MODEL, "min-version": 1, "items": entries}
    return json.dumps(job).encode()


def call(
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    timeout: float = 6.0,
    **headers: str,
) -> tuple[int, Any]:
    """Make a call of a client; return the status and the decoded body."""
    fields = {"Host": HOST, "X-Api-Key": KEY} | {
        name.replace("_", "-"): value for name, value in headers.items()
    }
    status, _, content = send_request(port, method, path, fields, body, timeout=timeout)
    try:
        return status, json.loads(content) if content else None
    except ValueError:
        return status, content


def submit(port: int, job_id: str, content: bytes) -> int:
    """Submit a job; return the status."""
    return call(
        port,
        "POST",
        f"/jobs/{job_id}",
        content,
        X_Request_Id=job_id,
        X_Deadline_Ms="5000",
        Content_Type="application/json",
    )[0]


def read_results(port: int, job_id: str, after: int = 0) -> tuple[int, Any]:
    """Read the results of a job from a position on."""
    return call(
        port, "GET", f"/mulberryport/lots/{job_id}?after={after}", X_Wait_Ms="500"
    )


def end_job(port: int, job_id: str) -> int:
    """End a job; return the status."""
    return call(port, "DELETE", f"/mulberryport/lots/{job_id}")[0]
