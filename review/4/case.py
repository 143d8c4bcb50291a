"""Bytes without end from a plain service, and daemons that hang on them."""

import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.fleet import HOST_NAME, Fleet, Record, has_trouble, main
from harness.targets import Service

ZONES = {
    "front-cartagena-1": "cartagena",
    "front-cartagena-2": "cartagena",
    "front-barranquilla-1": "barranquilla",
    "front-barranquilla-2": "barranquilla",
    "front-santa-marta-1": "santa-marta",
    "front-santa-marta-2": "santa-marta",
}
ENGINE_ZONES = ["cartagena", "cartagena", "barranquilla", "santa-marta"]
SERVICE_ZONES = [*ENGINE_ZONES, "barranquilla", "santa-marta"]
TENANTS = {f"tenant{number}": f"key{number}" * 4 for number in range(3)}
PREFIX, LOOKUP_PREFIX = "/pule252/", "/lohu930/"
SCORE_PREFIX, SCORE_PATH = "/pufi791/", "/pufi791/5e07"
# Seconds for which one server is in trouble.
TROUBLE_S, WATCH_S = 5.5, 30.0
JOB_PERIOD_S = 4.0
ENDLESS = b"1\r\nx\r\n" * 4096
# The timeout of the route is shorter than the time that clients wait.
TIMEOUT_S, SLACK_S, DEADLINE_S = 1.0, 0.5, 2.0
MIN_UNANSWERED = 8
LOOKUP_PERIOD_S = 0.5


class FaultyService(Service):
    """Plain service whose bodies do not end while it is in trouble."""

    is_in_trouble = False

    def run(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Run one request."""
        if not self.is_in_trouble:
            super().run(handler, body)
            return
        request = handler.headers.get("X-Request-Id", "")
        self.record("endless", server=self.id, request=request)
        handler.close_connection = True
        handler.send_response(200)
        for name, value in self.answer_headers(handler).items():
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.send_header("X-Server-Stamp", self.make_stamp())
        handler.end_headers()
        sent = 0
        try:
            while True:
                handler.wfile.write(ENDLESS)
                sent += len(ENDLESS)
        except OSError:
            self.record(
                "closed-by-caller", server=self.id, request=request, sent_bytes=sent
            )


def make_configuration() -> dict:
    """Return the operator's configuration."""
    route = {
        "host": HOST_NAME,
        "timeout-ms": 10_000,
        "latency-target-ms": 400,
        "priority": 1,
        "public": False,
    }
    return {
        "version": 1,
        "routes": [
            {
                **route,
                "name": "drafts",
                "prefix": PREFIX,
                "kind": "rollout",
                "service": "engines",
                "max-attempts": 3,
                "run-target-ms": 7500,
                "queue-ttl-s": 40,
            },
            {
                **route,
                "name": "score",
                "prefix": SCORE_PREFIX,
                "kind": "idempotent",
                "service": "booking",
                "max-attempts": 4,
                "public": True,
                "timeout-ms": 3000,
            },
            {
                **route,
                "name": "lookup",
                "prefix": LOOKUP_PREFIX,
                "kind": "idempotent",
                "service": "booking",
                "max-attempts": 2,
                "timeout-ms": int(TIMEOUT_S * 1000),
                "latency-target-ms": 150,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 180,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 16, "models": [{"name": "m"}]},
            },
            {"name": "booking", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": name, "api-keys": [key], "priority": 1}
            for name, key in TENANTS.items()
        ],
    }


class Lookups:
    """Requests of clients at each daemon, and when they were answered."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.fleet, self.record = fleet, record
        self.unanswered_at_timeout = 0
        self.unanswered_after = 0
        self.count = 0
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_all, args=(vm,)) for vm in ZONES
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Send no further requests and wait for the answers."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_all(self, vm: str) -> None:
        calls = []
        number = 0
        while not self._stop.is_set():
            request = f"q{vm}x{number}"
            calls.append(threading.Thread(target=self._send, args=(vm, request)))
            calls[-1].start()
            number += 1
            self._stop.wait(LOOKUP_PERIOD_S)
        for call in calls:
            call.join()

    def _send(self, vm: str, request: str) -> None:
        sent_at = self.record.now
        reply = self.fleet.call(
            vm,
            "POST",
            f"{LOOKUP_PREFIX}2f",
            TENANTS["tenant0"],
            request,
            b"lookup",
            timeout=DEADLINE_S,
            X_Deadline_Ms=str(int(DEADLINE_S * 1000)),
        )
        took_s = self.record.now - sent_at
        with self._lock:
            self.count += 1
            if took_s > TIMEOUT_S:
                self.unanswered_at_timeout += 1
            if took_s > TIMEOUT_S + SLACK_S:
                self.unanswered_after += 1
                self.record(
                    "UNANSWERED",
                    vm=vm,
                    request=request,
                    took_s=round(took_s, 3),
                    status=reply.status,
                )


def run(fleet: Fleet, record: Record) -> bool:
    """Play the case."""
    fleet.store.put("op/config", make_configuration())
    services = [
        FaultyService(fleet.store, f"b{n}", "booking", zone, record)
        for n, zone in enumerate(SERVICE_ZONES)
    ]
    fleet.add_entries(ZONES)
    fleet.start_all()
    time.sleep(4.0)
    lookups = Lookups(fleet, record)
    time.sleep(3.0)
    services[0].is_in_trouble = has_trouble()
    record("trouble", begins=has_trouble(), server=services[0].id)
    time.sleep(TROUBLE_S)
    services[0].is_in_trouble = False
    record("trouble-ends")
    time.sleep(WATCH_S - TROUBLE_S)
    lookups.stop()
    record(
        "lookups",
        count=lookups.count,
        unanswered_at_timeout=lookups.unanswered_at_timeout,
        unanswered_half_a_second_later=lookups.unanswered_after,
    )
    is_most = 2 * lookups.unanswered_after > lookups.unanswered_at_timeout
    return is_most and lookups.unanswered_after >= MIN_UNANSWERED


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
