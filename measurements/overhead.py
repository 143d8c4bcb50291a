"""Cost of a daemon beside a direct call, in one run.

One daemon between this process and stand-ins. Prints the added time to the first
byte, the daemon's processor time for each request and each part of a stream, and its
memory for each open stream.
"""

import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import eventlet
import orjson
import psutil
import urllib3

from mulberryport.runtime.http import call_json
from mulberryport.standins.fleet import Fleet
from mulberryport.tables import change_tables, issue_key, new_change_id, parse_tables

from ._report import print_table, quantile

ROUNDS = 5
REQUESTS = 400
STREAMS = (50, 250)
STREAM_TOKENS = 400
LIVE_LIMIT = 2000
TABLES = """
[workspace roads]
[route desk]
path = /desk/
pool = desk
workspaces = roads
idempotent-methods = GET
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
timeout = 600
[pool desk]
kind = plain-service
targets = desk1 {desk} zone1
[pool drafting]
kind = model-engine
targets = engine1 {engine} zone1
concurrency = 2000
queue = 2000
"""


def first_byte_times(url: str, headers: dict[str, str]) -> list[float]:
    """Return the milliseconds to the first byte of sequential requests."""
    pool = urllib3.PoolManager()
    times = []
    for _ in range(REQUESTS):
        start = time.perf_counter()
        reply = pool.request("GET", url, headers=headers, preload_content=False)
        reply.read(1)
        times.append((time.perf_counter() - start) * 1000)
        reply.drain_conn()
        reply.release_conn()
    return times


def latency_rows(desk: str, daemon: str, key: str) -> list[tuple[str, str]]:
    """Return the added time to the first byte, as medians over rounds."""
    added: dict[float, list[float]] = {0.5: [], 0.99: []}
    direct_url, daemon_url = f"http://{desk}/desk/x", f"{daemon}/desk/x"
    headers = {"X-Api-Key": key}
    first_byte_times(daemon_url, headers)
    for _ in range(ROUNDS):
        direct = first_byte_times(direct_url, {})
        through = first_byte_times(daemon_url, headers)
        for part, values in added.items():
            values.append(quantile(through, part) - quantile(direct, part))
    return [
        (
            f"added time to first byte, quantile {part}",
            f"{quantile(values, 0.5):.2f} ms ({min(values):.2f}..{max(values):.2f})",
        )
        for part, values in added.items()
    ]


def cpu_seconds(process: psutil.Process) -> float:
    """Return the processor time that a process used."""
    return sum(process.cpu_times()[:2])


def request_row(daemon: str, key: str, process: psutil.Process) -> tuple[str, str]:
    """Return the daemon's processor time for each request, 16 at a time."""
    pool = urllib3.PoolManager(maxsize=16)
    headers = {"X-Api-Key": key}
    before = cpu_seconds(process)
    workers = eventlet.GreenPool(16)
    count = 2000
    for _ in range(count):
        workers.spawn_n(pool.request, "GET", f"{daemon}/desk/x", headers=headers)
    workers.waitall()
    cost = (cpu_seconds(process) - before) / count
    return "request to a plain service", f"{cost * 1e3:.2f} ms, {1 / cost:.0f}/s a core"


def read_stream(url: str, key: str, counts: list[int]) -> None:
    """Read one generation and count its lines."""
    pool = urllib3.PoolManager()
    body = orjson.dumps({"prompt": f"p{len(counts)}", "max_tokens": STREAM_TOKENS})
    reply = pool.request(
        "POST", url, body=body, headers={"X-Api-Key": key}, preload_content=False
    )
    lines = 0
    while part := reply.read1(65536):
        lines += part.count(b"\n")
    counts.append(lines)
    pool.clear()


def stream_rows(
    daemon: str, key: str, process: psutil.Process
) -> list[tuple[str, str]]:
    """Return processor time for each line and memory for each open stream."""
    rows = []
    resident = []
    for streams in STREAMS:
        counts: list[int] = []
        before = cpu_seconds(process)
        threads = [
            eventlet.spawn(read_stream, f"{daemon}/drafting/", key, counts)
            for _ in range(streams)
        ]
        eventlet.sleep(2.0)
        resident.append(process.memory_info().rss)
        for thread in threads:
            thread.wait()
        cost = (cpu_seconds(process) - before) / sum(counts)
        lines = f"{cost * 1e6:.0f} us, {1 / cost:.0f}/s a core"
        rows.append((f"line of a stream, {streams} streams open", lines))
    slope = (resident[1] - resident[0]) / (STREAMS[1] - STREAMS[0])
    rows.append(("open stream", f"{slope / 1024:.0f} KB resident"))
    return rows


def run(fleet: Fleet, show: Callable[[list[tuple[str, str]]], None]) -> None:
    """Start the processes and measure."""
    fleet.start_platform()
    addresses = {
        "desk": fleet.start_target("desk1", "service"),
        "engine": fleet.start_target("engine1", "engine"),
    }
    behaviour = {"batch": LIVE_LIMIT, "token_time": 0.02}
    url = f"http://{addresses['engine']}/configure"
    call_json("POST", url, behaviour, timeout=2)
    fleet.add_daemons(["zone1"])
    fleet.start_daemons()
    tables = parse_tables(TABLES.format(**addresses), "tables")
    change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
    key, outcome = issue_key(fleet.store, "roads", change_id=new_change_id())
    fleet.wait_ready(outcome.value.revision)
    daemon = fleet.daemons[0]
    process = psutil.Process(fleet.pid(daemon.vm))
    show(latency_rows(addresses["desk"], daemon.url, key))
    show([request_row(daemon.url, key, process)])
    show(stream_rows(daemon.url, key, process))


def main(arguments: list[str]) -> None:
    """Print the overhead of a daemon."""
    rows: list[tuple[str, str]] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            run(fleet, rows.extend)
        finally:
            fleet.close()
    print_table(("what", "figure"), rows)
