"""Long requests in chunks, some of which a server rejects before they are in."""

import hashlib
import os
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab_3"))

from http_tools import Request, Server, send_request  # noqa: E402
from lab import HOST, KEY, ZONES, Lab, free_ports, run_case  # noqa: E402

SERVERS, FAULTY = 4, 2
# One in fifty answers of half of the servers, for 5 s: the doses of `garble`.
REJECTED_SHARE = 50
TROUBLE_FROM_S, TROUBLE_S, LENGTH_S = 1.0, 5.0, 8.0
BODY_BYTES = 200_000
WORK_S = 0.025
CLIENTS = 8
# A body with a stated length gets status 400 instead.
IN_CHUNKS = os.environ.get("IN_CHUNKS", "1") != "0"


class Service:
    """The servers of the service, and what they ran."""

    def __init__(self, lab: Lab, trouble: bool) -> None:
        self.lab, self.trouble = lab, trouble
        self.started_at = float("inf")
        self.ran: list[tuple[str, str, int, str]] = []
        self.rejected: list[str] = []
        self._counts = [0] * SERVERS
        self._lock = threading.Lock()
        for number, port in enumerate(free_ports(SERVERS)):
            Server(f"s{number}", lambda r, n=number: self._handle(r, n), port)
            lab.register(f"s{number}", "desk", port, zone=ZONES[number % 3])

    def _rejects(self, number: int) -> bool:
        """Return whether a server rejects its present request."""
        age_s = time.monotonic() - self.started_at
        is_due = TROUBLE_FROM_S <= age_s < TROUBLE_FROM_S + TROUBLE_S
        if not self.trouble or number >= FAULTY or not is_due:
            return False
        with self._lock:
            self._counts[number] += 1
            return self._counts[number] % REJECTED_SHARE == 1

    def _handle(self, request: Request, number: int) -> bool:
        if request.path == "/health":
            request.answer("200 OK", headers={"X-Instance-Id": f"s{number}"})
            return True
        load = {"X-Server-Load": "1,0,4"}
        if self._rejects(number):
            self.lab.record.add(f"s{number} rejects {request.id} before it is in")
            self.rejected.append(request.id)
            request.answer("503 Service Unavailable", headers={"X-Not-Run": "1"} | load)
            # The connection is kept, and the rest of the body is read.
            request.read()
            return True
        body = request.read()
        digest = hashlib.sha256(body).hexdigest()
        self.ran.append((request.id, f"s{number}", len(body), digest))
        time.sleep(WORK_S)
        stamp = {"X-Server-Stamp": f"stamp.{number}.{request.id}"}
        request.answer("200 OK", b"done", stamp | load)
        return True


def send_requests(lab: Lab, client: int, until: float, sent: dict[str, str]) -> None:
    """Send requests one after another, each with another body."""
    ports = [entry["caller"] for entry in lab.entries.values()]
    number = 0
    while time.monotonic() < until:
        number += 1
        request_id = f"c{client}-{number}"
        line = hashlib.sha256(request_id.encode()).hexdigest().encode()
        lines = (b"%d %s\n" % (n, line) for n in range(4000))
        body = b"".join(lines)[:BODY_BYTES]
        sent[request_id] = hashlib.sha256(body).hexdigest()
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "2000",
            "X-Api-Key": KEY,
        }
        status, _, _ = send_request(
            ports[client % len(ports)],
            "POST",
            "/desk/file",
            headers,
            body,
            in_chunks=IN_CHUNKS,
        )
        if status != 200:
            lab.record.add(f"{request_id} was answered {status}")


def play(lab: Lab, trouble: bool) -> bool:
    """Return whether each request that ran had the body that its client sent."""
    lab.start_platform()
    service = Service(lab, trouble)
    route = {
        "name": "filing",
        "host": HOST,
        "prefix": "/desk/",
        "kind": "idempotent",
        "timeout-ms": 2000,
        "latency-target-ms": 150,
        "priority": 2,
        "service": "desk",
        "max-attempts": 3,
    }
    desk = {"name": "desk", "health-path": "/health", "max-conns": 100}
    lab.configure([route], [desk], 1)
    for number in range(2):
        lab.add_entry(f"front-{number}", ZONES[number])
    lab.start_entries()
    time.sleep(2.0)
    service.started_at = time.monotonic()
    sent: dict[str, str] = {}
    until = service.started_at + LENGTH_S
    threads = [
        threading.Thread(target=send_requests, args=(lab, n, until, sent))
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    changed = [entry for entry in service.ran if entry[3] != sent[entry[0]]]
    lab.record.add(
        f"{len(sent)} requests of {BODY_BYTES} bytes sent, {len(service.ran)} run, "
        f"{len(service.rejected)} rejected by a server"
    )
    for request_id, server, size, _ in changed:
        lab.record.add(f"{server} ran {request_id} with a body of {size} other bytes")
    if len(service.ran) < 100:
        raise RuntimeError("too few requests ran")
    return not changed


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
