"""A configuration leaves out the route of scoring calls, and the next one has it."""

import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab_3"))

from engines import (  # noqa: E402
    Engines,
    Scorers,
    batch_route,
    end_job,
    make_job,
    read_results,
    scorer_route,
    services,
    submit,
)
from lab import ZONES, Lab, run_case  # noqa: E402

DAEMONS = 3
ITEMS, GROUP_SIZE = 200, 4
CHANGE_AFTER_S, CHANGED_S = 0.8, 2.0
READ_S = 20.0


def play(lab: Lab, trouble: bool) -> bool:
    """Return whether no item is listed as errored without a reason."""
    lab.start_platform()
    engines, scorers = Engines(lab), Scorers(lab)
    lab.configure([batch_route(), scorer_route()], services(), 1)
    for number in range(DAEMONS):
        lab.add_entry(f"front-{number}", ZONES[number])
    lab.start_entries()
    time.sleep(4.0)
    ports = [entry["caller"] for entry in lab.entries.values()]
    items = [f"g{n // GROUP_SIZE}-{n % GROUP_SIZE}" for n in range(ITEMS)]
    status = submit(ports[0], "job1", make_job(items))
    lab.record.add(f"job1 with {ITEMS} items was answered {status}")
    if status != 202:
        raise RuntimeError("the job was not accepted")
    started_at = time.monotonic()
    time.sleep(CHANGE_AFTER_S)
    if trouble:
        lab.configure([batch_route()], services(), 2)
        lab.record.add("configuration 2 has no route of scoring calls")
        time.sleep(CHANGED_S)
        lab.configure([batch_route(), scorer_route()], services(), 3)
        lab.record.add("configuration 3 has it again")
    results: list[dict[str, Any]] = []
    while len(results) < ITEMS and time.monotonic() < started_at + READ_S:
        status, page = read_results(ports[1], "job1", len(results))
        if status == 200:
            results += page["results"]
    age_s = time.monotonic() - started_at
    states = Counter(result["state"] for result in results)
    lab.record.add(
        f"{len(results)} results {age_s:.1f} s after the submission: {dict(states)}; "
        f"{len(engines.runs)} runs at engines and {len(scorers.calls)} scoring calls, "
        "none of which failed"
    )
    lab.record.add(f"the end of job1 was answered {end_job(ports[2], 'job1')}")
    if not states["completed"] and not states["errored"]:
        raise RuntimeError("no result was read")
    return not states["errored"] and (trouble or len(results) == ITEMS)


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
