"""A long request that crashes each server that begins to run it comes again."""

import os
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab_3"))

from http_tools import Request, Server, send_request  # noqa: E402
from lab import HOST, KEY, ZONES, Lab, free_ports, run_case  # noqa: E402

SERVERS = 4
BODY_BYTES = int(os.environ.get("BODY_BYTES", "100000"))
DOWN_S = 2.0
CONTACT_S = 3.0
# Retries that may reach servers after the third crash, and the time without trouble.
RETRIES = 3
PAUSE_S, LENGTH_S = 1.0, 35.0
PATH = "/desk/plan"


class Service:
    """The servers of the service, which crash under one request."""

    def __init__(self, lab: Lab, trouble: bool) -> None:
        self.lab, self.trouble = lab, trouble
        self.crashes: list[float] = []
        self.reached: list[tuple[float, str]] = []
        self._servers: dict[str, Server] = {}
        for number, port in enumerate(free_ports(SERVERS)):
            name = f"s{number}"
            self._servers[name] = Server(
                name, lambda r, n=name: self._handle(r, n), port
            )
            self._register(name)

    def _register(self, name: str) -> None:
        zone = ZONES[int(name[1:]) % 3]
        self.lab.register(name, "desk", self._servers[name].port, zone=zone)

    def _restart(self, name: str) -> None:
        time.sleep(DOWN_S)
        self._servers[name].start()
        self._register(name)

    def _handle(self, request: Request, name: str) -> bool:
        request.read()
        load = {"X-Server-Load": "1,0,4"}
        if request.path == PATH:
            self.reached.append((time.monotonic(), request.id))
            self.lab.record.add(f"{request.id} reaches {name}")
            if self.trouble:
                time.sleep(0.02)
                self.crashes.append(time.monotonic())
                self.lab.record.add(f"{name} crashes")
                self._servers[name].crash()
                threading.Thread(
                    target=self._restart, args=(name,), daemon=True
                ).start()
                return False
        request.answer(
            "200 OK", b"done", {"X-Server-Stamp": f"stamp.{name}.{request.id}"} | load
        )
        return True


def play(lab: Lab, trouble: bool) -> bool:
    """Return whether the request is kept from the servers after its third crash."""
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
        "max-attempts": 2,
    }
    desk = {"name": "desk", "health-path": "/health", "max-conns": 100}
    lab.configure([route], [desk], 1)
    for number in range(2):
        lab.add_entry(f"front-{number}", ZONES[number])
    lab.start_entries()
    time.sleep(CONTACT_S)
    ports = [entry["caller"] for entry in lab.entries.values()]
    body = b"p" * BODY_BYTES
    until, number = time.monotonic() + LENGTH_S, 0
    while time.monotonic() < until:
        number += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"plan-{number}",
            "X-Deadline-Ms": "2000",
            "X-Api-Key": KEY,
        }
        port = ports[number % len(ports)]
        status, _, _ = send_request(port, "POST", PATH, headers, body)
        lab.record.add(f"plan-{number} was answered {status}")
        time.sleep(PAUSE_S)
    if not service.reached or (trouble and not service.crashes):
        raise RuntimeError("the request did not run")
    if len(service.crashes) < 3:
        return True
    late_from = service.crashes[2] + CONTACT_S
    late = {request for at, request in service.reached if at > late_from}
    lab.record.add(
        f"{len(service.crashes)} crashes; {len(late)} retries reached servers later "
        f"than {CONTACT_S} s after the third"
    )
    return len(late) <= RETRIES


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
