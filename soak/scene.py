"""The fleet of a run, and what is recorded of it."""

import random
import time
from pathlib import Path
from typing import Any

from attrs import define, field

from mulberryport.outcomes import Done
from mulberryport.runtime.http import call_json
from mulberryport.standins.fleet import DaemonProcess, Fleet
from mulberryport.tables import (
    change_tables,
    issue_key,
    new_change_id,
    parse_tables,
    with_keys_of,
)

__all__ = ["Call", "Scene", "TABLES", "render_tables_text"]

ZONES = ("rosario", "parana", "santa-fe")
ENGINES = ("engine1", "engine2", "engine3")
SERVICES = ("desk1", "desk2")
STALENESS_BOUND = 2
TABLES = """
[workspace roads]
weight = {weight}
[workspace hauliers]

[route filing]
path = /filing/
pool = desk
workspaces = hauliers
timeout = 20

[route notes]
path = /notes/
pool = desk
open = yes
timeout = 20

[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
timeout = 20

{extra}

[pool desk]
kind = plain-service
targets =
    desk1 {desk1} rosario
    desk2 {desk2} parana

[pool drafting]
kind = model-engine
targets =
    engine1 {engine1} rosario fencing
    engine2 {engine2} parana fencing
    engine3 {engine3} santa-fe
"""
EXTRA = """
[route spare]
path = /spare/
pool = spare
workspaces = roads
[pool spare]
kind = plain-service
targets = desk1 {desk1} rosario
"""
DAEMON_SECTIONS = "[usage]\nwindow = 4\ngrace = 1"
VM_LINES = "drain-delay = 1\ndrain-timeout = 25"


@define
class Call:
    """A request as its caller saw it.

    Parameters
    ----------
    id : str
        Unique; part of the path or the prompt.
    kind : str
        What was asked for.
    daemon : str
        Id of the VM that it was sent to.
    result : str
        ``whole``, ``wrong``, ``not-run``, ``unknown`` or ``broken``.
    started, ended : float
        Wall times.
    detail : str
        For reports.
    """

    id: str
    kind: str
    daemon: str
    result: str
    started: float
    ended: float = 0.0
    detail: str = ""


@define(eq=False)
class Scene:
    """A running fleet and all that was seen of it.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    generator : random.Random
        Source of all random choices.
    """

    fleet: Fleet
    generator: random.Random
    addresses: dict[str, str] = field(factory=dict)
    keys: dict[str, str] = field(factory=dict)
    calls: list[Call] = field(factory=list)
    violations: list[str] = field(factory=list)
    ready: dict[str, bool] = field(factory=dict)
    # Daemons that are down, paused or stopping on purpose, with the time since when.
    disturbed: dict[str, float] = field(factory=dict)
    leaving_since: dict[str, float] = field(factory=dict)
    version: int = 1
    samples: int = 0
    steps: int = 0
    revisions: int = 0
    faults: list[str] = field(factory=list)
    running: bool = True
    started_at: float = field(factory=time.time)

    def violate(self, promise: int, text: str) -> None:
        """Record a broken promise."""
        at = time.time() - self.started_at
        self.violations.append(f"promise {promise} at {at:.1f} s: {text}")

    def pick_daemon(self) -> DaemonProcess | None:
        """Return a daemon as a balancer would: one whose readiness holds."""
        ready = [d for d in self.fleet.daemons if self.ready.get(d.vm)]
        return self.generator.choice(ready) if ready else None

    def configure(self, target: str, **values: Any) -> None:
        """Change the behaviour of a target's stand-in."""
        url = f"http://{self.addresses[target]}/configure"
        call_json("POST", url, values, timeout=2)

    def target_log(self, target: str) -> dict[str, Any] | None:
        """Return what a target saw, or None if it does not answer."""
        url = f"http://{self.addresses[target]}/log"
        outcome = call_json("GET", url, timeout=10)
        return outcome.value.body if isinstance(outcome, Done) else None

    def platform(self, path: str) -> Any:
        """Return an answer of the platform's stand-in."""
        outcome = call_json("GET", self.fleet.platform_url + path, timeout=10)
        return outcome.value.body if isinstance(outcome, Done) else None

    def store_faults(self, **faults: Any) -> None:
        """Switch faults of the platform on, or off without arguments."""
        call_json("POST", f"{self.fleet.platform_url}/faults", faults, timeout=5)


def render_tables_text(scene: Scene, weight: int, spare: bool) -> str:
    """Return the tables of a run in one of their versions."""
    extra = EXTRA.format(**scene.addresses) if spare else ""
    return TABLES.format(weight=weight, extra=extra, **scene.addresses)


def start_scene(folder: Path, seed: int) -> Scene:
    """Start all processes and put the first tables in force."""
    fleet = Fleet(folder)
    scene = Scene(fleet, random.Random(seed))
    fleet.start_platform()
    for name in ENGINES:
        options = ["--weights", fleet.platform_url, "--pool", "drafting"]
        if name == "engine3":
            options.append("--ignore-fencing")
        scene.addresses[name] = fleet.start_target(name, "engine", *options)
    for name in SERVICES:
        scene.addresses[name] = fleet.start_target(name, "service")
        scene.configure(name, duration=0.02)
    fleet.add_daemons([*ZONES, ZONES[0]], DAEMON_SECTIONS, VM_LINES)
    fleet.start_daemons()
    tables = parse_tables(render_tables_text(scene, 1, False), "soak tables")
    change_tables(
        fleet.store, lambda t: with_keys_of(tables, t), change_id=new_change_id()
    )
    for workspace in ("roads", "hauliers"):
        key, outcome = issue_key(fleet.store, workspace, change_id=new_change_id())
        scene.keys[workspace] = key
    fleet.wait_ready(outcome.value.revision)
    scene.started_at = time.time()
    return scene
