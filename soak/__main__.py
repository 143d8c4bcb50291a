"""Runs a fleet under random traffic and faults and checks the promises.

Exit code 0 if no promise was broken, 1 otherwise. The seed is printed; the same seed
draws the same traffic and faults, although their timing differs between runs.
"""

import secrets
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Annotated

import cappa
import eventlet
from attrs import define

from mulberryport.runtime.hub import install_eventlet
from soak.checks import check_run
from soak.faults import draw_faults
from soak.operator import edit_tables, watch_revisions, withdraw_keys
from soak.scene import Scene, start_scene
from soak.traffic import (
    ask_readiness,
    call_service,
    generate_live,
    raise_version,
    run_trainer,
)

CALLERS = 4
SETTLE_S = 60.0


def run(scene: Scene, seconds: float) -> None:
    """Let traffic and faults run for a time, then settle and check."""
    activities = [
        eventlet.spawn(ask_readiness, scene),
        eventlet.spawn(run_trainer, scene, "warnings"),
        eventlet.spawn(run_trainer, scene, "routes"),
        eventlet.spawn(raise_version, scene),
        eventlet.spawn(edit_tables, scene),
        eventlet.spawn(watch_revisions, scene),
        eventlet.spawn(withdraw_keys, scene),
        eventlet.spawn(draw_faults, scene),
    ]
    activities += [eventlet.spawn(call_service, scene) for _ in range(CALLERS)]
    activities += [eventlet.spawn(generate_live, scene) for _ in range(CALLERS)]
    eventlet.sleep(seconds)
    scene.running = False
    deadline = time.monotonic() + SETTLE_S
    for activity in activities:
        with eventlet.Timeout(max(0.1, deadline - time.monotonic()), False):
            activity.wait()
    check_run(scene)


def report(scene: Scene) -> None:
    """Print what happened."""
    results = Counter((call.kind, call.result) for call in scene.calls)
    print(f"steps {scene.steps}, samples {scene.samples}, version {scene.version}")
    print(f"revisions {scene.revisions}, faults {len(scene.faults)}:")
    for fault in scene.faults:
        print(f"  {fault}")
    for (kind, result), count in sorted(results.items()):
        print(f"  {kind} {result}: {count}")
    for violation in scene.violations:
        print(f"VIOLATION {violation}")
    print(f"{len(scene.violations)} violations")


@cappa.command(name="soak", help="Run a fleet under random traffic and faults.")
@define
class SoakCommand:
    """Run a fleet under random traffic and faults."""

    seed: Annotated[
        int | None, cappa.Arg(long=True, help="Drawn and printed by default.")
    ] = None
    seconds: Annotated[
        float, cappa.Arg(long=True, default=120.0, help="Length of the run.")
    ] = 120.0
    folder: Annotated[
        str, cappa.Arg(long=True, default="", help="Where logs are kept, if at all.")
    ] = ""

    def __call__(self) -> None:
        """Run; exit with 1 if a promise was broken."""
        seed = self.seed if self.seed is not None else secrets.randbelow(2**31)
        print(f"seed {seed}, {self.seconds} s", flush=True)
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(self.folder or temporary)
            folder.mkdir(parents=True, exist_ok=True)
            scene = start_scene(folder, seed)
            try:
                run(scene, self.seconds)
            finally:
                scene.fleet.close()
            report(scene)
        raise cappa.Exit(code=1 if scene.violations else 0)


if __name__ == "__main__":
    install_eventlet()
    cappa.invoke(SoakCommand)
