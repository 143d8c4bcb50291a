"""The main job, end to end, through separate processes on this machine.

Starts stand-ins of the platform, two model engines and a plain service, and two
daemons; applies tables, sends live requests, runs a trainer's step across a
change of weights, waits for a usage report, and stops.
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


def say(text: str) -> None:
    """Print what was done, with the time since the start."""
    print(f"{time.monotonic() - started:5.1f} s  {text}", flush=True)


def run(fleet: Fleet) -> None:
    """Run the whole path."""
    fleet.start_platform()
    options = ("--weights", fleet.platform_url, "--pool", "drafting")
    addresses = {
        "engine1": fleet.start_target("engine1", "engine", *options),
        "engine2": fleet.start_target("engine2", "engine", *options),
        "desk": fleet.start_target("desk1", "service"),
    }
    fleet.add_daemons(["rosario", "parana"], "[usage]\nwindow = 5\ngrace = 1")
    fleet.start_daemons()
    say("platform, two engines, a service and two daemons run as separate processes")

    tables = parse_tables(TABLES.format(**addresses), "quickstart tables")
    change_tables(
        fleet.store,
        lambda current: with_keys_of(tables, current),
        change_id=new_change_id(),
    )
    trainer_key, _ = issue_key(fleet.store, "roads", change_id=new_change_id())
    caller_key, outcome = issue_key(fleet.store, "hauliers", change_id=new_change_id())
    fleet.wait_ready(outcome.value.revision)
    say(f"tables and two keys are in force in revision {outcome.value.revision}")

    first, second = fleet.daemons
    reply = urllib3.request(
        "POST",
        f"{first.url}/filing/notices",
        body=b"wide load, route 9",
        headers={"Authorization": f"Bearer {caller_key}"},
    )
    say(f"non-idempotent call of the plain service: {reply.status} {reply.json()}")

    reply = urllib3.request(
        "POST",
        f"{second.url}/drafting/",
        json={"prompt": "clearance at km 40", "max_tokens": 12},
        headers={"Authorization": f"Bearer {trainer_key}"},
    )
    lines = reply.data.decode().splitlines()
    say(f"live generation: {reply.status}, {len(lines)} lines, last: {lines[-1]}")

    run_step(fleet, trainer_key)

    url = f"{fleet.platform_url}/usage-log"

    def filled_reports() -> list[dict]:
        log = call_json("GET", url, timeout=2).value.body
        return [report for report in log if report["figures"]]

    report = wait_until(filled_reports, 20, "a usage report arrives")[0]
    say(f"usage window {report['window']} reported: {report['figures']}")


def run_step(fleet: Fleet, key: str) -> None:
    """Run a trainer's step; new weights arrive while it is generated."""
    version = 1
    client = TrainerClient(
        [daemon.url for daemon in fleet.daemons],
        key,
        "warnings",
        "drafting",
        lambda: version,
    )
    groups = [Group(f"draft a warning {n}", 8, 200) for n in range(6)]
    seen: dict[tuple[int, int], tuple] = {}
    for sample in client.run_step(1, groups, staleness_bound=2, deadline=40):
        prompt = f"{groups[sample.group].prompt}#{sample.index}"
        assert (sample.group, sample.index) not in seen
        assert list(sample.tokens) == expected_tokens(prompt, 200)
        seen[sample.group, sample.index] = sample.versions
        if len(seen) == 4:
            version = 2
            url = f"{fleet.platform_url}/weights/drafting"
            call_json("PUT", url, {"version": version}, timeout=2)
            assert client.announce("drafting", version)
    versions = sorted({v for spans in seen.values() for v, _ in spans})
    mixed = sum(len(spans) > 1 for spans in seen.values())
    say(
        f"trainer's step: {len(seen)} of 48 samples, each once; weight versions "
        f"{versions}, {mixed} samples span a change of weights"
    )


if __name__ == "__main__":
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            run(fleet)
        except BaseException:
            for file in Path(folder).glob("*.out"):
                sys.stderr.write(f"--- {file.name}\n{file.read_text()[-2000:]}\n")
            raise
        finally:
            fleet.close()
    say("all processes are stopped")
