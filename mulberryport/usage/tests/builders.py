"""Helpers for tests of duties: a small fleet with short leases, and its load."""

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
    """Run a platform stand-in, a plain service and three daemons with short leases."""
    fleet = Fleet(folder, module="mulberryport.usage.tests.short_leases")
    try:
        fleet.start_platform()
        desk = fleet.start_target("desk1", "service")
        (folder / "desk").write_text(desk)
        fleet.add_daemons(ZONES, settings, extra_vm_lines="drain-delay = 0")
        for daemon in fleet.daemons:
            text = daemon.settings_file.read_text()
            text = text.replace("[credentials]", f"{platform_extra}\n[credentials]")
            daemon.settings_file.write_text(text)
        fleet.start_daemons()
        fleet.wait_ready(apply_tables(fleet, tables))
        yield fleet
        # A handler that raises ends its peer stream; reconnecting would hide that.
        failed = [f for f in folder.glob("vm*.out") if "TypeError" in f.read_text()]
        assert not failed, failed
    except BaseException:
        for file in folder.glob("*.out"):
            sys.stderr.write(f"--- {file.name}\n{file.read_text()[-1000:]}\n")
        raise
    finally:
        fleet.close()


def apply_tables(fleet: Fleet, tables: str) -> int:
    """Store new tables and return their revision."""
    desk = (fleet.folder / "desk").read_text()
    parsed = parse_tables(tables.replace("{desk}", desk), "test")
    outcome = change_tables(
        fleet.store, lambda current: parsed, change_id=new_change_id()
    )
    return outcome.value.revision


def pause_file(settings_file: str | Path) -> Path:
    """Return the file that requests a pause of a daemon with short leases."""
    return Path(settings_file).with_suffix(".pause-at-guard")


def platform_log(fleet: Fleet, name: str) -> list[dict[str, Any]]:
    """Return a log of the platform stand-in."""
    outcome = call_json("GET", f"{fleet.platform_url}/{name}", timeout=5.0)
    return outcome.value.body


def set_faults(fleet: Fleet, **faults: object) -> None:
    """Replace the injected faults of the platform stand-in; none by default."""
    call_json("POST", f"{fleet.platform_url}/faults", faults, timeout=5.0)


def wait_for_holder(fleet: Fleet, duty: str, timeout: float = 10.0) -> DaemonProcess:
    """Wait until a daemon holds a duty and return the daemon."""

    def find_holder() -> DaemonProcess | None:
        for daemon in fleet.daemons:
            if daemon.vm in fleet.running_processes:
                state = fleet.query_operator(daemon, "/state")
                if state and duty in state["duties"]:
                    return daemon
        return None

    return wait_until(find_holder, timeout, f"{duty} is held")


@define
class FakeStore:
    """In-memory store that can drop the replies to its writes."""

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
class LoadGenerator:
    """Sends requests to daemons in turn from a thread and counts the outcomes."""

    urls: list[str]
    answered: int = 0
    unknown: int = 0
    not_run: int = 0
    _stop: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread | None = None

    def __enter__(self) -> "LoadGenerator":
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
                    response = urllib3.request(
                        "POST",
                        f"{url}/filing/a",
                        # Prompts with a common prefix would go to a single engine.
                        json={"prompt": f"km {self.answered}", "max_tokens": 8},
                        timeout=2.0,
                        retries=False,
                    )
                except urllib3.exceptions.HTTPError:
                    self.unknown += 1
                    continue
                outcome = response.headers.get("X-Mulberryport-Outcome")
                self.answered += response.status == 200
                self.not_run += outcome == "not-run"
                self.unknown += outcome == "unknown"
            time.sleep(0.01)
