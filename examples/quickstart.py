"""End-to-end example of the service with separate processes on this machine.

Starts stand-ins for the platform, two model engines and a plain service, and two
daemons; applies tables, sends live requests, runs a trainer's step across a change
of weights, waits for a usage report, and stops all processes.
"""

import sys
import tempfile
import time
from pathlib import Path

import urllib3

from mulberryport.client import Group, TrainerClient
from mulberryport.runtime.http import call_json
from mulberryport.standins import expected_tokens
from mulberryport.standins.fleet import Fleet, wait_until
from mulberryport.tables import (
    change_tables,
    issue_key,
    new_change_id,
    parse_tables,
    with_keys_of,
)

TABLES = """
[workspace roads]
weight = 2
[workspace hauliers]

[route filing]
path = /filing/
pool = desk
workspaces = hauliers

[route drafting]
path = /drafting/
pool = drafting
workspaces = roads

[pool desk]
kind = plain-service
targets = desk1 {desk} rosario

[pool drafting]
kind = model-engine
targets =
    engine1 {engine1} rosario fencing
    engine2 {engine2} parana fencing
"""


def print_progress(text: str) -> None:
    """Print a progress message with the time since the start."""
    print(f"{time.monotonic() - start_time:5.1f} s  {text}", flush=True)


def run_quickstart(fleet: Fleet) -> None:
    """Run all steps of the example."""
    fleet.start_platform()
    options = ("--weights", fleet.platform_url, "--pool", "drafting")
    addresses = {
        "engine1": fleet.start_target("engine1", "engine", *options),
        "engine2": fleet.start_target("engine2", "engine", *options),
        "desk": fleet.start_target("desk1", "service"),
    }
    fleet.add_daemons(["rosario", "parana"], "[usage]\nwindow = 5\ngrace = 1")
    fleet.start_daemons()
    print_progress(
        "platform, two engines, a service and two daemons run as separate processes"
    )

    tables = parse_tables(TABLES.format(**addresses), "quickstart tables")
    change_tables(
        fleet.store,
        lambda current: with_keys_of(tables, current),
        change_id=new_change_id(),
    )
    trainer_key, _ = issue_key(fleet.store, "roads", change_id=new_change_id())
    caller_key, outcome = issue_key(fleet.store, "hauliers", change_id=new_change_id())
    fleet.wait_ready(outcome.value.revision)
    print_progress(
        f"tables and two keys are active in revision {outcome.value.revision}"
    )

    first, second = fleet.daemons
    reply = urllib3.request(
        "POST",
        f"{first.url}/filing/notices",
        body=b"wide load, route 9",
        headers={"Authorization": f"Bearer {caller_key}"},
    )
    print_progress(
        f"non-idempotent call of the plain service: {reply.status} {reply.json()}"
    )

    reply = urllib3.request(
        "POST",
        f"{second.url}/drafting/",
        json={"prompt": "clearance at km 40", "max_tokens": 12},
        headers={"Authorization": f"Bearer {trainer_key}"},
    )
    lines = reply.data.decode().splitlines()
    print_progress(
        f"live generation: {reply.status}, {len(lines)} lines, last: {lines[-1]}"
    )

    run_training_step(fleet, trainer_key)

    url = f"{fleet.platform_url}/usage-log"

    def non_empty_reports() -> list[dict]:
        log = call_json("GET", url, timeout=2).value.body
        return [report for report in log if report["figures"]]

    report = wait_until(non_empty_reports, 20, "a usage report arrives")[0]
    print_progress(f"usage window {report['window']} reported: {report['figures']}")


def run_training_step(fleet: Fleet, key: str) -> None:
    """Run a trainer's step and publish new weights during generation."""
    version = 1
    client = TrainerClient(
        [daemon.url for daemon in fleet.daemons],
        key,
        "warnings",
        "drafting",
        lambda: version,
    )
    groups = [Group(f"draft a warning {n}", 8, 200) for n in range(6)]
    slot_spans: dict[tuple[int, int], tuple] = {}
    for sample in client.run_step(1, groups, staleness_bound=2, deadline=40):
        prompt = f"{groups[sample.group].prompt}#{sample.index}"
        assert (sample.group, sample.index) not in slot_spans
        assert list(sample.tokens) == expected_tokens(prompt, 200)
        slot_spans[sample.group, sample.index] = sample.versions
        if len(slot_spans) == 4:
            version = 2
            url = f"{fleet.platform_url}/weights/drafting"
            call_json("PUT", url, {"version": version}, timeout=2)
            assert client.announce("drafting", version)
    versions = sorted({v for spans in slot_spans.values() for v, _ in spans})
    mixed_count = sum(len(spans) > 1 for spans in slot_spans.values())
    print_progress(
        f"trainer's step: {len(slot_spans)} of 48 samples, each once; weight versions "
        f"{versions}, {mixed_count} samples span a change of weights"
    )


if __name__ == "__main__":
    start_time = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            run_quickstart(fleet)
        except BaseException:
            for file in Path(folder).glob("*.out"):
                sys.stderr.write(f"--- {file.name}\n{file.read_text()[-2000:]}\n")
            raise
        finally:
            fleet.close()
    print_progress("all processes are stopped")
