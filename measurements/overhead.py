"""Overhead of a request through a daemon compared with a direct call.

One daemon runs between this process and stand-in targets. Prints the added time to the
first byte, the CPU time of the daemon per request and per line of a stream, and its
resident memory per open stream.
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

ROUND_COUNT = 5
REQUESTS_PER_ROUND = 400
STREAM_COUNTS = (50, 250)
TOKENS_PER_STREAM = 400
ENGINE_BATCH_SIZE = 2000
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


def measure_first_byte_ms(url: str, headers: dict[str, str]) -> list[float]:
    """Return the times to first byte, in milliseconds, of sequential requests."""
    pool = urllib3.PoolManager()
    times = []
    for _ in range(REQUESTS_PER_ROUND):
        start = time.perf_counter()
        reply = pool.request("GET", url, headers=headers, preload_content=False)
        reply.read(1)
        times.append((time.perf_counter() - start) * 1000)
        reply.drain_conn()
        reply.release_conn()
    return times


def latency_rows(desk: str, daemon: str, key: str) -> list[tuple[str, str]]:
    """Return the added time to the first byte: median and range over the rounds."""
    added: dict[float, list[float]] = {0.5: [], 0.99: []}
    direct_url, daemon_url = f"http://{desk}/desk/x", f"{daemon}/desk/x"
    headers = {"X-Api-Key": key}
    measure_first_byte_ms(daemon_url, headers)
    for _ in range(ROUND_COUNT):
        direct = measure_first_byte_ms(direct_url, {})
        through_daemon = measure_first_byte_ms(daemon_url, headers)
        for fraction, values in added.items():
            values.append(
                quantile(through_daemon, fraction) - quantile(direct, fraction)
            )
    return [
        (
            f"added time to first byte, quantile {fraction}",
            f"{quantile(values, 0.5):.2f} ms ({min(values):.2f}..{max(values):.2f})",
        )
        for fraction, values in added.items()
    ]


def cpu_seconds(process: psutil.Process) -> float:
    """Return the CPU time used by a process."""
    return sum(process.cpu_times()[:2])


def request_row(daemon: str, key: str, process: psutil.Process) -> tuple[str, str]:
    """Return the CPU time of the daemon per request, with 16 requests in flight."""
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
    """Read the stream of one generation and append its number of lines."""
    pool = urllib3.PoolManager()
    body = orjson.dumps({"prompt": f"p{len(counts)}", "max_tokens": TOKENS_PER_STREAM})
    reply = pool.request(
        "POST", url, body=body, headers={"X-Api-Key": key}, preload_content=False
    )
    lines = 0
    while chunk := reply.read1(65536):
        lines += chunk.count(b"\n")
    counts.append(lines)
    pool.clear()


def stream_rows(
    daemon: str, key: str, process: psutil.Process
) -> list[tuple[str, str]]:
    """Return the CPU time per line and the resident memory per open stream."""
    rows = []
    resident = []
    for streams in STREAM_COUNTS:
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
    bytes_per_stream = (resident[1] - resident[0]) / (
        STREAM_COUNTS[1] - STREAM_COUNTS[0]
    )
    rows.append(("open stream", f"{bytes_per_stream / 1024:.0f} KB resident"))
    return rows


def measure_overhead(
    fleet: Fleet, add_rows: Callable[[list[tuple[str, str]]], None]
) -> None:
    """Start the processes and add the rows of all measurements."""
    fleet.start_platform()
    addresses = {
        "desk": fleet.start_target("desk1", "service"),
        "engine": fleet.start_target("engine1", "engine"),
    }
    engine_settings = {"batch": ENGINE_BATCH_SIZE, "token_time": 0.02}
    url = f"http://{addresses['engine']}/configure"
    call_json("POST", url, engine_settings, timeout=2)
    fleet.add_daemons(["zone1"])
    fleet.start_daemons()
    tables = parse_tables(TABLES.format(**addresses), "tables")
    change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
    key, outcome = issue_key(fleet.store, "roads", change_id=new_change_id())
    fleet.wait_ready(outcome.value.revision)
    daemon = fleet.daemons[0]
    process = psutil.Process(fleet.pid(daemon.vm))
    add_rows(latency_rows(addresses["desk"], daemon.url, key))
    add_rows([request_row(daemon.url, key, process)])
    add_rows(stream_rows(daemon.url, key, process))


def main(arguments: list[str]) -> None:
    """Print the overhead of a daemon."""
    rows: list[tuple[str, str]] = []
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            measure_overhead(fleet, rows.extend)
        finally:
            fleet.close()
    print_table(("what", "figure"), rows)
