"""The project's programs as processes, with the stand-ins that they need."""

import base64
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from .http import Proxy, Reply, call, free_address, serve
from .store import Store

__all__ = ["CANNOT_RUN", "Fleet", "Record", "has_trouble", "main"]

ROOT = Path(__file__).resolve().parents[2]
CANNOT_RUN = 2
ENTRY_COMMAND = ["-m", "mulberryport.platform.entry"]
STORAGE_COMMAND = ["-m", "mulberryport.platform.storage_program"]
HOST_NAME = "drafts.example"
ENTRY_SETTINGS = """\
[vm]
id = {vm}
zone = {zone}
caller-address = {caller}
readiness-address = {ready}
peer-address = {peer}
metrics-port = {metrics}
grace = 8

[platform]
store = {store}
cloud = {cloud}
lease-ms = 3000
disk-losses = 1
retention = 120

[usage]
window = 5

[peers]
seeds = {seeds}
"""
STORAGE_SETTINGS = """\
[vm]
id = {vm}
zone = {zone}
peer-address = {peer}
data-folder = {folder}

[platform]
store = {store}
retention = 120
"""


def has_trouble() -> bool:
    """Whether the run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: one line an event, with seconds since its start."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w")
        self._started_at = time.monotonic()
        self._lock = threading.Lock()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def __call__(self, event: str, **values: object) -> None:
        """Write one event."""
        fields = " ".join(f"{name}={value}" for name, value in values.items())
        with self._lock:
            self._file.write(f"{self.now:8.3f} {event} {fields}\n")
            self._file.flush()


class Program:
    """One process of the project and its addresses."""

    def __init__(self, vm: str, zone: str, command: list[str]) -> None:
        self.vm, self.zone, self.command = vm, zone, command
        self.caller, self.ready, self.peer = (free_address() for _ in range(3))
        self.metrics = free_address()
        self.store = Proxy("")
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Entry and storage daemons, and the store behind a proxy for each of them."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.store_address = serve(free_address(), self.store.handle)
        self.entries: dict[str, Program] = {}
        self.storages: dict[str, Program] = {}

    def add_entries(self, zones: dict[str, str]) -> None:
        """Add entry daemons, given the zone of each VM, without starting them."""
        for vm, zone in zones.items():
            self.entries[vm] = self._new_program(vm, zone, ENTRY_COMMAND)
        seeds = "".join(
            f"\n    seed{number} {program.zone} {program.peer}"
            for number, program in enumerate(list(self.entries.values())[:3])
        )
        for program in self.entries.values():
            settings = ENTRY_SETTINGS.format(
                vm=program.vm,
                zone=program.zone,
                caller=program.caller,
                ready=program.ready,
                peer=program.peer,
                metrics=program.metrics.rpartition(":")[2],
                store=program.store.address,
                cloud=self.store_address,
                seeds=seeds,
            )
            self._settings_file(program).write_text(settings)

    def add_storages(self, zones: dict[str, str]) -> None:
        """Add storage daemons, given the zone of each VM, without starting them."""
        for vm, zone in zones.items():
            program = self._new_program(vm, zone, STORAGE_COMMAND)
            self.storages[vm] = program
            folder = self.folder / f"data-{vm}"
            folder.mkdir()
            settings = STORAGE_SETTINGS.format(
                vm=vm,
                zone=zone,
                peer=program.peer,
                folder=folder,
                store=program.store.address,
            )
            self._settings_file(program).write_text(settings)

    def start_all(self, timeout: float = 25.0) -> None:
        """Start all daemons and wait until they are ready."""
        for program in [*self.storages.values(), *self.entries.values()]:
            self.start(program)
        for program in self.entries.values():
            self.wait(lambda p=program: self.is_ready(p), timeout, f"{program.vm}")
        self.wait(
            lambda: (
                len(self.store.keys("mulberryport/live/journal/")) == len(self.storages)
            ),
            timeout,
            "the storage daemons",
        )

    def start(self, program: Program) -> None:
        """Start a daemon with the command of the deploy file."""
        environ = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environ["PYTHONPATH"] = f"{ROOT}:{ROOT / 'target' / 'deps'}"
        environ["MULBERRYPORT_SETTINGS"] = str(self._settings_file(program))
        with self.log_file(program).open("ab") as log:
            program.process = subprocess.Popen(
                [sys.executable, *program.command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, program: Program, number: int) -> None:
        """Send a signal to a daemon."""
        assert program.process is not None
        program.process.send_signal(number)
        self.record("signal", vm=program.vm, signal=signal.Signals(number).name)

    def log_file(self, program: Program) -> Path:
        """Return the file of a daemon's output."""
        return self.folder / f"{program.vm}.log"

    def log(self, program: Program) -> str:
        """Return the output of a daemon so far."""
        return self.log_file(program).read_text(errors="replace")

    def is_ready(self, program: Program) -> bool:
        """Whether a daemon is ready."""
        path = "/mulberryport/readiness"
        return call(program.ready, "GET", path, timeout=2.0).status == 200

    def wait(
        self, is_true: Callable[[], bool], timeout: float, what: str, step: float = 0.05
    ) -> None:
        """Wait until a condition holds; end the run if it does not."""
        deadline = time.monotonic() + timeout
        while not is_true():
            if time.monotonic() > deadline:
                raise RuntimeError(f"waited {timeout} s in vain for {what}")
            time.sleep(step)

    def call(
        self,
        vm: str,
        method: str,
        path: str,
        key: str,
        request: str,
        body: bytes = b"",
        timeout: float = 15.0,
        **headers: str,
    ) -> Reply:
        """Send a request of a client and record the answer."""
        fields = {"Host": HOST_NAME, "X-Api-Key": key, "X-Request-Id": request}
        fields.update({name.replace("_", "-"): text for name, text in headers.items()})
        sent_at = self.record.now
        reply = call(
            self.entries[vm].caller, method, path, fields, body, timeout=timeout
        )
        self.record(
            "call",
            vm=vm,
            sent=round(sent_at, 3),
            method=method,
            path=path,
            request=request,
            status=reply.status,
        )
        return reply

    def submit(
        self,
        vm: str,
        job: str,
        key: str,
        prefix: str,
        items: list[dict[str, Any]],
        model: str = "m",
        deadline_ms: int = 12_000,
    ) -> Reply:
        """Submit a batch job."""
        body = {
            "step": 0,
            "model": model,
            "min-version": 1,
            "target-groups": 1,
            "items": items,
        }
        return self.call(
            vm,
            "POST",
            f"{prefix}{job}",
            key,
            job,
            json.dumps(body).encode(),
            X_Deadline_Ms=str(deadline_ms),
        )

    def close(self) -> None:
        """Kill all daemons and remove the temporary folder."""
        programs = [*self.entries.values(), *self.storages.values()]
        for program in programs:
            if program.process is not None and program.process.poll() is None:
                program.process.send_signal(signal.SIGCONT)
                program.process.kill()
        for program in programs:
            if program.process is not None:
                program.process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)

    def _new_program(self, vm: str, zone: str, command: list[str]) -> Program:
        program = Program(vm, zone, command)
        program.store.target = self.store_address
        return program

    def _settings_file(self, program: Program) -> Path:
        return self.folder / f"{program.vm}.ini"


def make_item(
    item: str, path: str, group: str, scorer_path: str, model: str = "m"
) -> dict[str, Any]:
    """Return an item of a batch job with its scorer."""
    return {
        "id": item,
        "path": path,
        "headers": {
            "X-Model": model,
            "X-Token-Counts": "271,84",
            "X-Prompt-Prefix": f"{abs(hash(group)):x}:255,{abs(hash(item)):x}:16",
        },
        "body": base64.b64encode(item.encode()).decode(),
        "tokens": 355,
        "group": group,
        "scorer": {
            "id": f"s{item}",
            "host": HOST_NAME,
            "path": scorer_path,
            "body": base64.b64encode(b"text").decode(),
        },
    }


def main(folder: str, run: Callable[[Fleet, Record], bool]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if not, 2 if it cannot run."""
    record = Record(Path(folder) / "record.txt")
    fleet = Fleet(record)
    status = CANNOT_RUN
    try:
        is_broken = run(fleet, record)
        status = 1 if is_broken else 0
        record("verdict", broken=is_broken)
    except Exception as error:
        record("cannot-run", error=repr(error))
    finally:
        if fleet.folder and os.environ.get("KEEP_LOGS"):
            print(fleet.folder)
        fleet.close()
    sys.exit(status)
