"""The fleet of a soak run and the state recorded about it."""

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

__all__ = ["Call", "SoakRun", "TABLES", "render_tables_text"]

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
SPARE_ROUTE = """
[route spare]
path = /spare/
pool = spare
workspaces = roads
[pool spare]
kind = plain-service
targets = desk1 {desk1} rosario
"""
DAEMON_SETTINGS = "[usage]\nwindow = 4\ngrace = 1"
VM_SETTINGS = "drain-delay = 1\ndrain-timeout = 25"


@define
class Call:
    """A request and its result as seen by the caller.

    Parameters
    ----------
    id : str
        Unique id, which is part of the path or the prompt.
    kind : str
        Traffic kind: ``filing``, ``notes``, ``stranger`` or ``generation``.
    daemon : str
        Id of the VM to which the request was sent.
    result : str
        ``whole``, ``wrong``, ``broken`` or ``none``, or for a refusal the value of
        the outcome header (``not-run`` or ``unknown``) or ``unmarked`` without one.
        ``unknown`` also stands for a generation without an end marker.
    started, ended : float
        Wall clock times in seconds.
    detail : str
        Explanation for the printed report.
    """

    id: str
    kind: str
    daemon: str
    result: str
    started: float
    ended: float = 0.0
    detail: str = ""


@define(eq=False)
class SoakRun:
    """A running fleet and the results observed during the run.

    Parameters
    ----------
    fleet : Fleet
        Processes of the run.
    generator : random.Random
        Source of all random choices.
    """

    fleet: Fleet
    generator: random.Random
    addresses: dict[str, str] = field(factory=dict)
    keys: dict[str, str] = field(factory=dict)
    calls: list[Call] = field(factory=list)
    violations: list[str] = field(factory=list)
    readiness: dict[str, bool] = field(factory=dict)
    # Times until which the injected faults of a daemon last, by VM id; may lie in the
    # future while the daemon is down, paused or stopping.
    disturbed_until: dict[str, float] = field(factory=dict)
    leaving_since: dict[str, float] = field(factory=dict)
    weight_version: int = 1
    sample_count: int = 0
    step_count: int = 0
    accepted_revision_count: int = 0
    fault_log: list[str] = field(factory=list)
    is_running: bool = True
    started_at: float = field(factory=time.time)

    def record_violation(self, promise: int, text: str) -> None:
        """Record a violation of a promise of ``docs/PROMISES.md``."""
        at = time.time() - self.started_at
        self.violations.append(f"promise {promise} at {at:.1f} s: {text}")

    def choose_ready_daemon(self) -> DaemonProcess | None:
        """Return a random ready daemon, as a load balancer would, or None."""
        ready = [d for d in self.fleet.daemons if self.readiness.get(d.vm)]
        return self.generator.choice(ready) if ready else None

    def configure_target(self, target: str, **values: Any) -> None:
        """Change the settings of a stand-in target."""
        url = f"http://{self.addresses[target]}/configure"
        call_json("POST", url, values, timeout=2)

    def fetch_target_log(self, target: str) -> dict[str, Any] | None:
        """Return the request log of a target, or None if it does not answer."""
        url = f"http://{self.addresses[target]}/log"
        outcome = call_json("GET", url, timeout=10)
        return outcome.value.body if isinstance(outcome, Done) else None

    def fetch_from_platform(self, path: str) -> Any:
        """Return a resource of the stand-in platform, or None if it does not answer."""
        outcome = call_json("GET", self.fleet.platform_url + path, timeout=10)
        return outcome.value.body if isinstance(outcome, Done) else None

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the stand-in platform; no arguments clear all faults."""
        call_json("POST", f"{self.fleet.platform_url}/faults", faults, timeout=5)


def render_tables_text(run: SoakRun, weight: int, has_spare_route: bool) -> str:
    """Return the tables with the given workspace weight and optional spare route."""
    spare_route = SPARE_ROUTE.format(**run.addresses) if has_spare_route else ""
    return TABLES.format(weight=weight, extra=spare_route, **run.addresses)


def start_run(folder: Path, seed: int) -> SoakRun:
    """Start all processes, issue the keys and wait for the first configuration."""
    fleet = Fleet(folder)
    run = SoakRun(fleet, random.Random(seed))
    fleet.start_platform()
    for name in ENGINES:
        options = ["--weights", fleet.platform_url, "--pool", "drafting"]
        if name == "engine3":
            options.append("--ignore-fencing")
        run.addresses[name] = fleet.start_target(name, "engine", *options)
    for name in SERVICES:
        run.addresses[name] = fleet.start_target(name, "service")
        run.configure_target(name, duration=0.02)
    fleet.add_daemons([*ZONES, ZONES[0]], DAEMON_SETTINGS, VM_SETTINGS)
    fleet.start_daemons()
    tables = parse_tables(render_tables_text(run, 1, False), "soak tables")
    change_tables(
        fleet.store, lambda t: with_keys_of(tables, t), change_id=new_change_id()
    )
    for workspace in ("roads", "hauliers"):
        key, outcome = issue_key(fleet.store, workspace, change_id=new_change_id())
        run.keys[workspace] = key
    fleet.wait_ready(outcome.value.revision)
    run.started_at = time.time()
    return run
