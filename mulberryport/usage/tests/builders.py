"""A small fleet for tests of duties, with short leases."""

import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import urllib3
from attrs import define, field

from ...outcomes import Done, Unknown
from ...runtime.http import call_json
from ...standins.fleet import DaemonProcess, Fleet, wait_until
from ...store import Conflict, Entry
from ...tables import change_tables, new_change_id, parse_tables

ZONES = ("rosario", "parana", "santa-fe")
USAGE_SETTINGS = "[usage]\nwindow = 1\ngrace = 0.2"
TABLES = """
[workspace hauliers]
[workspace roads]
[route filing]
path = /filing/
pool = desk
workspaces = hauliers
open = yes
[pool desk]
kind = plain-service
concurrency = 64
targets = desk1 {desk} rosario
"""


@contextmanager
def running_fleet(
    folder: Path,
    tables: str = TABLES,
    settings: str = USAGE_SETTINGS,
    platform_extra: str = "",
) -> Iterator[Fleet]:
    """Run a platform, a plain service and three daemons with short leases."""
    fleet = Fleet(folder, program="mulberryport.usage.tests.short_leases")
    try:
        fleet.start_platform()
        desk = fleet.start_target("desk1", "service")
        (folder / "desk").write_text(desk)
        fleet.add_daemons(ZONES, settings, vm_extra="drain-delay = 0")
        for daemon in fleet.daemons:
            text = daemon.settings_file.read_text()
            text = text.replace("[credentials]", f"{platform_extra}\n[credentials]")
            daemon.settings_file.write_text(text)
        fleet.start_daemons()
        fleet.wait_ready(apply(fleet, tables))
        yield fleet
        # A handler that raises ends its stream, which reconnects would hide.
        failed = [f for f in folder.glob("vm*.out") if "TypeError" in f.read_text()]
        assert not failed, failed
    except BaseException:
        for file in folder.glob("*.out"):
            sys.stderr.write(f"--- {file.name}\n{file.read_text()[-1000:]}\n")
        raise
    finally:
        fleet.close()


def apply(fleet: Fleet, tables: str) -> int:
    """Put tables in force and return their revision."""
    desk = (fleet.folder / "desk").read_text()
    parsed = parse_tables(tables.replace("{desk}", desk), "test")
    outcome = change_tables(
        fleet.store, lambda current: parsed, change_id=new_change_id()
    )
    return outcome.value.revision


def pause_file(settings_file: str | Path) -> Path:
    """Return the file that asks a daemon with short leases to pause."""
    return Path(settings_file).with_suffix(".pause-at-guard")


def platform_log(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    """Return a log of the platform's stand-in."""
    outcome = call_json("GET", f"{fleet.platform_url}/{name}", timeout=5.0)
    return outcome.value.body


def set_faults(fleet: Fleet, **faults: object) -> None:
    """Set the faults of the platform's stand-in; without any, it is healthy."""
    call_json("POST", f"{fleet.platform_url}/faults", faults, timeout=5.0)


def holder(fleet: Fleet, duty: str, timeout: float = 10.0) -> DaemonProcess:
    """Return the daemon that holds a duty, as soon as one does."""

    def held() -> DaemonProcess | None:
        for daemon in fleet.daemons:
            if daemon.vm in fleet.running:
                state = fleet.operator(daemon, "/state")
                if state and duty in state["duties"]:
                    return daemon
        return None

    return wait_until(held, timeout, f"{duty} is held")


@define
class FakeStore:
    """A store in memory that can lose the answers to its writes."""

    entries: dict[str, Entry] = field(factory=dict)
    lose_answers: bool = False

    def read(self, key: str) -> Any:
        """Read a key."""
        return Done(self.entries.get(key, Entry(None, 0)))

    def write(self, key: str, value: bytes, expected: int) -> Any:
        """Write by compare-and-swap."""
        current = self.entries.get(key, Entry(None, 0))
        if current.version != expected:
            return Done(Conflict(current.version))
        self.entries[key] = Entry(value, current.version + 1)
        return Unknown("lost") if self.lose_answers else Done(self.entries[key])


@define(eq=False)
class Callers:
    """Calls daemons in turn from a thread and counts the answers."""

    urls: list[str]
    answered: int = 0
    unknown: int = 0
    not_run: int = 0
    _stop: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread | None = None

    def __enter__(self) -> "Callers":
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        if self._thread is not None:
            self._thread.join()

    def _run(self) -> None:
        while not self._stop.is_set():
            for url in list(self.urls):
                try:
                    reply = urllib3.request(
                        "POST",
                        f"{url}/filing/a",
                        # Prompts with one prefix would all go to one engine.
                        json={"prompt": f"km {self.answered}", "max_tokens": 8},
                        timeout=2.0,
                        retries=False,
                    )
                except urllib3.exceptions.HTTPError:
                    self.unknown += 1
                    continue
                outcome = reply.headers.get("X-Mulberryport-Outcome")
                self.answered += reply.status == 200
                self.not_run += outcome == "not-run"
                self.unknown += outcome == "unknown"
            time.sleep(0.01)
