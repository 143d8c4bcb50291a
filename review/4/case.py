"""Streams joined from two software versions after an outage and a kill."""

import http.client
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness.fleet import HOST_NAME, Fleet, Record, has_trouble, main
from harness.targets import Engine

ZONES = {
    "front-rosario-1": "rosario",
    "front-rosario-2": "rosario",
    "front-parana-1": "parana",
    "front-santa-fe-1": "santa-fe",
}
FIRST, SECOND = "front-rosario-1", "front-parana-1"
KEY = "key0" * 5
PREFIX = "/lohu930/"
EVENTS, EVENT_S = 60, 0.12
STREAMS, DEADLINE_S = 12, 12.0
# Clients come back three times, and as late as a refusal says.
MAX_ATTEMPTS, RETRY_DELAY_S = 4, 0.25
# Seconds for which the store is down, and after which the daemon is killed.
DOWN_S, KILL_AFTER_S = 4.0, 2.5
# The platform starts a killed process again after a short delay.
RESTART_S = 0.5
# More than two streams of two software versions break the rule.
MAX_JOINED = 2


class VersionedEngine(Engine):
    """Model server whose events name the version of its software."""

    def __init__(self, *arguments: Any, software: str, **options: Any) -> None:
        self.software = software
        super().__init__(*arguments, **options)

    def entry(self) -> dict[str, Any]:
        """Return the registration."""
        return {**super().entry(), "version": self.software}

    def make_event(self, item: str, number: int) -> bytes:
        """Return one event of a stream."""
        return f"id: {number}\ndata: {self.software}\n\n".encode()


def make_configuration() -> dict:
    """Return the operator's configuration."""
    return {
        "version": 2,
        "routes": [
            {
                "name": "drafts",
                "host": HOST_NAME,
                "prefix": PREFIX,
                "kind": "idempotent",
                "streaming": True,
                "resumable": True,
                "timeout-ms": 12_000,
                "latency-target-ms": 500,
                "priority": 1,
                "service": "engines",
                "max-attempts": 3,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 150,
                "engine": {"slots": 12, "models": [{"name": "m"}]},
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "tenant0", "api-keys": [KEY], "priority": 1}],
    }


class Stream:
    """A client's stream over all its attempts."""

    def __init__(self, fleet: Fleet, record: Record, name: str) -> None:
        self.fleet, self.record, self.name = fleet, record, name
        self.versions: list[str] = []
        self.first_attempt = ""
        self.is_complete = False

    def run(self) -> None:
        """Ask for the stream, and take it up until the deadline."""
        deadline = time.monotonic() + DEADLINE_S
        attempt = 0
        while not self.is_complete and attempt < MAX_ATTEMPTS:
            vm = FIRST if attempt == 0 else SECOND
            request = f"{self.name}a{attempt}"
            retry_after_s = self._attempt(vm, request, deadline)
            attempt += 1
            if not self.is_complete:
                left_s = max(0.0, deadline - time.monotonic())
                time.sleep(min(retry_after_s, left_s / 3))
        joined = sorted(set(self.versions))
        self.record(
            "stream",
            name=self.name,
            attempts=attempt,
            events=len(self.versions),
            complete=self.is_complete,
            versions="+".join(joined),
        )

    def _attempt(self, vm: str, request: str, deadline: float) -> float:
        left_s = max(0.1, deadline - time.monotonic())
        headers = {
            "Host": HOST_NAME,
            "X-Api-Key": KEY,
            "X-Request-Id": request,
            "X-Deadline-Ms": str(int(left_s * 1000)),
            "X-Model": "m",
            "X-Token-Counts": "271,84",
        }
        if self.first_attempt:
            headers["Resumes"] = self.first_attempt
            headers["Last-Event-Id"] = str(len(self.versions))
        host, _, port = self.fleet.entries[vm].caller.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=left_s)
        status, before, retry_after_s = 0, len(self.versions), RETRY_DELAY_S
        try:
            connection.request("POST", f"{PREFIX}2f", b"prompt", headers)
            response = connection.getresponse()
            status = response.status
            retry_after_s = float(response.getheader("Retry-After") or RETRY_DELAY_S)
            if status == 200:
                self._read(response, request)
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record(
            "attempt",
            vm=vm,
            request=request,
            status=status,
            events=len(self.versions) - before,
        )
        return retry_after_s

    def _read(self, response: http.client.HTTPResponse, request: str) -> None:
        buffer = b""
        while part := response.read1(4096):
            *blocks, buffer = (buffer + part).split(b"\n\n")
            for block in blocks:
                lines = dict(
                    line.split(": ", 1) for line in block.decode().split("\n") if line
                )
                if int(lines["id"]) == len(self.versions) + 1:
                    self.first_attempt = self.first_attempt or request
                    self.versions.append(lines["data"])
        self.is_complete = len(self.versions) >= EVENTS


def run(fleet: Fleet, record: Record) -> bool:
    """Play the case."""
    fleet.store.put("op/config", make_configuration())
    options = {"events": EVENTS, "event_s": EVENT_S}
    for n, zone in enumerate(["rosario", "parana"]):
        VersionedEngine(
            fleet.store, f"e{n}", "engines", zone, record, software="v1", **options
        )
    fleet.add_entries(ZONES)
    fleet.start_all()
    time.sleep(4.0)
    warm = [Stream(fleet, record, f"warm{n}") for n in range(3)]
    play(warm)
    for n, zone in enumerate(["rosario", "rosario"]):
        VersionedEngine(
            fleet.store, f"f{n}", "engines", zone, record, software="v2", **options
        )
    time.sleep(0.5)
    proxies = [program.store for program in fleet.entries.values()]
    for proxy in proxies if has_trouble() else []:
        proxy.refuses = True
        proxy.reset_connections()
    record("store-down", trouble=has_trouble())
    time.sleep(0.5)
    streams = [Stream(fleet, record, f"s{n}") for n in range(STREAMS)]
    threads = [threading.Thread(target=stream.run) for stream in streams]
    for thread in threads:
        thread.start()
    time.sleep(KILL_AFTER_S)
    if has_trouble():
        fleet.signal(fleet.entries[FIRST], signal.SIGKILL)
        threading.Timer(RESTART_S, fleet.start, (fleet.entries[FIRST],)).start()
    time.sleep(DOWN_S - KILL_AFTER_S - 0.5)
    for proxy in proxies:
        proxy.refuses = False
    record("store-up")
    for thread in threads:
        thread.join()
    joined = [stream for stream in streams if len(set(stream.versions)) > 1]
    record("joined", streams=len(joined))
    return len(joined) > MAX_JOINED


def play(streams: list[Stream]) -> None:
    """Run streams side by side."""
    threads = [threading.Thread(target=stream.run) for stream in streams]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


if __name__ == "__main__":
    main(str(Path(__file__).parent), run)
