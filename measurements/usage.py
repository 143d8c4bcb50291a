"""Accuracy and delay of usage reports, and the latency cost of replicating counters.

Uses real processes. Requests go to a daemon without peers, which replicates nothing,
and then to one daemon of three, which replicates its counters to the others.
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

LOAD_DURATION_S = 8.0
CALLER_COUNT = 4
REQUEST_PAUSE_S = 0.1
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
    """Measure a fleet of one daemon, then a fleet of three."""
    for zones in (["rosario"], ["rosario", "parana", "santa-fe"]):
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(Path(folder))
            try:
                measure_usage_reports(fleet, zones)
            finally:
                fleet.close()
    return 0


def measure_usage_reports(fleet: Fleet, zones: list[str]) -> None:
    """Run a fleet under load and compare its usage reports with the answers."""
    fleet.start_platform()
    desk = fleet.start_target("desk1", "service")
    fleet.add_daemons(zones, f"[usage]\nwindow = {WINDOW_S}\ngrace = {GRACE_S}")
    fleet.start_daemons()
    tables = parse_tables(TABLES.format(desk=desk), "tables")
    change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
    fleet.wait_ready(1)
    # A new reporter waits for the longest possible send of its predecessor before it
    # reports.
    wait_until(lambda: fetch_reports(fleet), 30, "a first report")
    answer_times, first_byte_times = DDSketch(), DDSketch()
    pool = eventlet.GreenPool()
    for _ in range(CALLER_COUNT):
        pool.spawn_n(
            send_requests, fleet.daemons[0].url, answer_times, first_byte_times
        )
    pool.waitall()
    answered = int(answer_times.count)
    wait_until(
        lambda: count_reported_requests(fleet) >= answered, 30, "all is reported"
    )
    delays_s = [
        report["at"] - (report["window"] + 1) * WINDOW_S
        for report in fetch_reports(fleet)
    ]
    print(
        f"{len(zones)} daemon(s): {answered / LOAD_DURATION_S:.0f} requests/s, first "
        f"byte {format_quantiles(first_byte_times)}, "
        f"whole answer {format_quantiles(answer_times)}; "
        f"answered {answered}, reported {count_reported_requests(fleet)}; "
        f"reports {min(delays_s):.1f} to {max(delays_s):.1f} s after their window"
    )


def format_quantiles(times: DDSketch) -> str:
    """Return median and 99th percentile."""
    return ", ".join(
        f"p{q * 100:.0f} {times.get_quantile_value(q) * 1000:.1f} ms"
        for q in (0.5, 0.99)
    )


def send_requests(url: str, answer_times: DDSketch, first_byte_times: DDSketch) -> None:
    """Send sequential requests with a pause between them and record their durations."""
    deadline = time.monotonic() + LOAD_DURATION_S
    while time.monotonic() < deadline:
        started = time.monotonic()
        reply = urllib3.request(
            "POST", f"{url}/filing/a", body=b"x", retries=False, preload_content=False
        )
        first_byte_s = time.monotonic() - started
        reply.read()
        reply.release_conn()
        if reply.status == 200:
            first_byte_times.add(first_byte_s)
            answer_times.add(time.monotonic() - started)
        eventlet.sleep(REQUEST_PAUSE_S)


def fetch_reports(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the reports that the platform received."""
    outcome = call_json("GET", f"{fleet.platform_url}/usage-log", timeout=5.0)
    return outcome.value.body


def count_reported_requests(fleet: Fleet) -> int:
    """Return the number of reported requests, counting each window once."""
    by_id = {report["id"]: report for report in fetch_reports(fleet)}
    return sum(
        figure["requests"]
        for report in by_id.values()
        for figure in report["figures"] + report["carried"]
    )
