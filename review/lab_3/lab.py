"""A small deployment of separate processes on loopback, for the cases of this review.

Only the standard library is used here. The entry daemons are started with the command
of the deploy file and with settings in the form of its template.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
KEY = "key-of-the-tenant-0001"
TENANT = "tenant1"
ZONES = ("zone-a", "zone-b", "zone-c")
PORTS = range(10_000, 32_768)

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

_given_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback interface that are free now, each only once.

    They lie below those that outgoing connections get, which could take a port between
    its choice and its use.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            ports.append(port)
    return ports


def wait_for(
    condition: Callable[[], Any], timeout: float, what: str, poll: float = 0.05
) -> Any:
    """Poll a condition until it is true, and return its value."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(poll)
    raise TimeoutError(f"not within {timeout} s: {what}")


class Record:
    """Lines of ``record.txt``, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w")  # noqa: SIM115
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def add(self, text: str) -> None:
        """Write a line to the record and to the standard output."""
        with self._lock:
            line = f"{time.monotonic() - self._start:8.3f} {text}"
            print(line, file=self._file, flush=True)
            print(line, flush=True)


class Lab:
    """Processes of one deployment; ``close`` ends them all.

    Parameters
    ----------
    case : Path
        Folder of the case, where the record is written.
    """

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="mulberryport-case-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": f"{ROOT / 'target/deps'}:{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self.platform_port = free_ports(1)[0]
        self.entries: dict[str, dict[str, Any]] = {}

    def start_process(
        self, name: str, command: list[str], **variables: str
    ) -> subprocess.Popen[bytes]:
        """Start a process whose output goes to a file of the temporary folder."""
        with open(self.folder / f"{name}.out", "ab") as output:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=self.environment | variables,
            )
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it responds."""
        script = str(Path(__file__).with_name("platform_server.py"))
        address = f"127.0.0.1:{self.platform_port}"
        self.start_process("platform", [sys.executable, script, address])
        wait_for(lambda: self.admin("reports") is not None, 20, "platform responds")

    def admin(self, verb: str, body: object = None) -> Any:
        """Make a call of the test to the platform's stand-in; None if it fails."""
        connection = HTTPConnection("127.0.0.1", self.platform_port, timeout=5)
        try:
            connection.request(
                "POST", f"/admin/{verb}", json.dumps(body or {}).encode()
            )
            return json.loads(connection.getresponse().read())
        except OSError:
            return None
        finally:
            connection.close()

    def put(self, key: str, value: object) -> None:
        """Write a key as the operator or a server does."""
        self.admin("put", {"key": key, "value": value})

    def configure(
        self, routes: list[dict[str, Any]], services: list[dict[str, Any]], version: int
    ) -> None:
        """Write a configuration."""
        self.put(
            "op/config",
            {
                "version": version,
                "routes": routes,
                "services": services,
                "limits": {
                    "max-header-bytes": 16384,
                    "max-body-bytes": 33554432,
                    "header-timeout-ms": 3000,
                    "idle-timeout-ms": 15000,
                },
                "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
            },
        )

    def register(self, server: str, service: str, port: int, **fields: Any) -> None:
        """Write the registration of a server."""
        entry = {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": ZONES[0],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        self.put(f"servers/{server}", entry | fields)

    def add_entry(
        self,
        name: str,
        zone: str,
        store_port: int = 0,
        cloud_port: int = 0,
        seeds: tuple[int, ...] = (),
    ) -> dict[str, Any]:
        """Choose the settings of an entry daemon, without starting it.

        The ports are those of the platform's stand-in, and the seeds the first three
        daemons, unless others are given.
        """
        caller, ready, control, metrics = free_ports(4)
        entry = {
            "caller": caller,
            "ready": ready,
            "control": control,
            "zone": zone,
            "metrics": metrics,
            "store": store_port or self.platform_port,
            "cloud": cloud_port or self.platform_port,
            "seeds": seeds,
        }
        self.entries[name] = entry
        return entry

    def start_entry(self, name: str) -> None:
        """Start an entry daemon with the command of the deploy file."""
        entry = self.entries[name]
        daemons = list(self.entries.values())[:3]
        ports = entry["seeds"] or [daemon["control"] for daemon in daemons]
        seeds = "".join(
            f"\n    seed{number} {entry['zone']} 127.0.0.1:{port}"
            for number, port in enumerate(ports)
        )
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            f"[vm]\nid = {name}\nzone = {entry['zone']}\n"
            f"caller-address = 127.0.0.1:{entry['caller']}\n"
            f"readiness-address = 127.0.0.1:{entry['ready']}\n"
            f"peer-address = 127.0.0.1:{entry['control']}\n"
            f"metrics-port = {entry['metrics']}\ngrace = 8\n\n"
            f"[platform]\nstore = 127.0.0.1:{entry['store']}\n"
            f"cloud = 127.0.0.1:{entry['cloud']}\nlease-ms = 3000\n"
            "disk-losses = 1\nretention = 120\n\n[usage]\nwindow = 5\n\n"
            f"[peers]\nseeds = {seeds}\n"
        )
        self.start_process(
            name,
            ["python3", "-m", "mulberryport.platform.entry"],
            MULBERRYPORT_SETTINGS=str(settings),
        )

    def start_entries(self) -> None:
        """Start all entry daemons and wait until they are ready."""
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_ready(name)

    def wait_ready(self, name: str) -> None:
        """Wait until a daemon answers its readiness check with 200."""
        port = self.entries[name]["ready"]

        def is_ready() -> bool:
            connection = HTTPConnection("127.0.0.1", port, timeout=2)
            try:
                connection.request("GET", "/mulberryport/readiness")
                return connection.getresponse().status == 200
            except OSError:
                return False
            finally:
                connection.close()

        wait_for(is_ready, 30, f"{name} is ready")

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


def run_case(case: Path, play: Callable[[Lab, bool], bool]) -> int:
    """Play a case and return the exit status of its script.

    Parameters
    ----------
    case : Path
        Folder of the case.
    play : callable
        Called with the lab and whether there is a disruption; returns whether the rule
        held.
    """
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        return COULD_NOT_RUN
    lab = Lab(case)
    # Ends the processes also if the script is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        lab.record.add(f"disruption: {'yes' if trouble else 'no'}")
        held = play(lab, trouble)
    except Exception as error:
        lab.record.add(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    finally:
        lab.close()
    lab.record.add("the rule held" if held else "the rule was broken")
    return HELD if held else BROKEN
