"""Runs a fleet under random traffic and faults and checks the promises.

The exit code is 0 if no promise was broken and 1 otherwise. The seed is printed; the
same seed draws the same traffic and faults, although their timing varies between runs.
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
from soak.faults import inject_faults
from soak.fleet_run import SoakRun, start_run
from soak.operator import (
    change_tables_repeatedly,
    check_key_withdrawal,
    check_revision_order,
)
from soak.traffic import (
    poll_readiness,
    publish_versions,
    run_trainer,
    send_live_generations,
    send_service_calls,
)

CALLER_COUNT = 4
SETTLE_TIMEOUT_S = 60.0


def run_soak(run: SoakRun, seconds: float) -> None:
    """Run traffic and faults for the given time, wait for their threads and check."""
    threads = [
        eventlet.spawn(poll_readiness, run),
        eventlet.spawn(run_trainer, run, "warnings"),
        eventlet.spawn(run_trainer, run, "routes"),
        eventlet.spawn(publish_versions, run),
        eventlet.spawn(change_tables_repeatedly, run),
        eventlet.spawn(check_revision_order, run),
        eventlet.spawn(check_key_withdrawal, run),
        eventlet.spawn(inject_faults, run),
    ]
    threads += [eventlet.spawn(send_service_calls, run) for _ in range(CALLER_COUNT)]
    threads += [eventlet.spawn(send_live_generations, run) for _ in range(CALLER_COUNT)]
    eventlet.sleep(seconds)
    run.is_running = False
    deadline = time.monotonic() + SETTLE_TIMEOUT_S
    for thread in threads:
        with eventlet.Timeout(max(0.1, deadline - time.monotonic()), False):
            thread.wait()
    check_run(run)


def print_report(run: SoakRun) -> None:
    """Print the counts of the run, its faults and its violations."""
    results = Counter((call.kind, call.result) for call in run.calls)
    print(
        f"steps {run.step_count}, samples {run.sample_count}, "
        f"version {run.weight_version}"
    )
    print(f"revisions {run.accepted_revision_count}, faults {len(run.fault_log)}:")
    for fault in run.fault_log:
        print(f"  {fault}")
    for (kind, result), count in sorted(results.items()):
        print(f"  {kind} {result}: {count}")
    for violation in run.violations:
        print(f"VIOLATION {violation}")
    print(f"{len(run.violations)} violations")


@cappa.command(name="soak", help="Run a fleet under random traffic and faults.")
@define
class SoakCommand:
    """Run a fleet under random traffic and faults."""

    seed: Annotated[
        int | None,
        cappa.Arg(long=True, help="Random seed; drawn at random by default."),
    ] = None
    seconds: Annotated[
        float,
        cappa.Arg(long=True, default=120.0, help="Duration of the run in seconds."),
    ] = 120.0
    folder: Annotated[
        str,
        cappa.Arg(
            long=True,
            default="",
            help="Folder in which logs are kept; none by default.",
        ),
    ] = ""

    def __call__(self) -> None:
        """Execute the run; exit with 1 if a promise was broken."""
        seed = self.seed if self.seed is not None else secrets.randbelow(2**31)
        print(f"seed {seed}, {self.seconds} s", flush=True)
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(self.folder or temporary)
            folder.mkdir(parents=True, exist_ok=True)
            run = start_run(folder, seed)
            try:
                run_soak(run, self.seconds)
            finally:
                run.fleet.close()
            print_report(run)
        raise cappa.Exit(code=1 if run.violations else 0)


if __name__ == "__main__":
    install_eventlet()
    cappa.invoke(SoakCommand)
