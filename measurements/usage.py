"""Usage reports of real processes: exactness, lateness and the cost of replication.

Requests go to one daemon of three, whose counters are replicated to the others,
and in the same run to a daemon without peers, which has no replicas.
"""

import tempfile
import time
from pathlib import Path
from typing import Any

import eventlet
import urllib3
from ddsketch import DDSketch

from mulberryport.runtime.http import call_json
from mulberryport.standins.fleet import Fleet, wait_until
from mulberryport.tables import change_tables, new_change_id, parse_tables

DURATION_S = 8.0
CALLERS = 4
PAUSE_S = 0.1
WINDOW_S = 2
GRACE_S = 0.5
TABLES = """
[route filing]
path = /filing/
pool = desk
open = yes
[pool desk]
kind = plain-service
targets = desk1 {desk} rosario
"""


def main(arguments: list[str]) -> int:
    """Measure a daemon alone, then three."""
    for zones in (["rosario"], ["rosario", "parana", "santa-fe"]):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            try:
                measure(fleet, zones)
            finally:
                fleet.close()
    return 0


def measure(fleet: Fleet, zones: list[str]) -> None:
    """Run a fleet under load and print what its reports say."""
    fleet.start_platform()
    desk = fleet.start_target("desk1", "service")
    fleet.add_daemons(zones, f"[usage]\nwindow = {WINDOW_S}\ngrace = {GRACE_S}")
    fleet.start_daemons()
    tables = parse_tables(TABLES.format(desk=desk), "tables")
    change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
    fleet.wait_ready(1)
    # The reporter waits for its predecessor's longest send before it starts.
    wait_until(lambda: reports(fleet), 30, "a first report")
    times, first_bytes = DDSketch(), DDSketch()
    pool = eventlet.GreenPool()
    for _ in range(CALLERS):
        pool.spawn_n(call, fleet.daemons[0].url, times, first_bytes)
    pool.waitall()
    answered = int(times.count)
    wait_until(lambda: reported(fleet) >= answered, 30, "all is reported")
    late = [
        report["at"] - (report["window"] + 1) * WINDOW_S for report in reports(fleet)
    ]
    print(
        f"{len(zones)} daemon(s): {answered / DURATION_S:.0f} requests/s, first "
        f"byte {quantiles(first_bytes)}, whole answer {quantiles(times)}; "
        f"answered {answered}, reported {reported(fleet)}; "
        f"reports {min(late):.1f} to {max(late):.1f} s after their window"
    )


def quantiles(times: DDSketch) -> str:
    """Return median and 99th percentile."""
    return ", ".join(
        f"p{q * 100:.0f} {times.get_quantile_value(q) * 1000:.1f} ms"
        for q in (0.5, 0.99)
    )


def call(url: str, times: DDSketch, first_bytes: DDSketch) -> None:
    """Send requests at a bounded rate and keep their durations."""
    end = time.monotonic() + DURATION_S
    while time.monotonic() < end:
        started = time.monotonic()
        reply = urllib3.request(
            "POST", f"{url}/filing/a", body=b"x", retries=False, preload_content=False
        )
        first = time.monotonic() - started
        reply.read()
        reply.release_conn()
        if reply.status == 200:
            first_bytes.add(first)
            times.add(time.monotonic() - started)
        eventlet.sleep(PAUSE_S)


def reports(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the reports that arrived."""
    outcome = call_json("GET", f"{fleet.platform_url}/usage-log", timeout=5.0)
    return outcome.value.body


def reported(fleet: Fleet) -> int:
    """Return the requests in all reports, each window once."""
    by_id = {report["id"]: report for report in reports(fleet)}
    return sum(
        figure["requests"]
        for report in by_id.values()
        for figure in report["figures"] + report["carried"]
    )
