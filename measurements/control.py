"""Cost of control: idle daemons of several fleet sizes in separate processes.

Prints processor time, resident memory and traffic of a daemon without requests,
and their slopes for each peer. Traffic is that of the loopback interface divided by
the number of daemons; nothing else should use it during a run.
"""

import statistics
import tempfile
import time
from pathlib import Path

import psutil

from mulberryport.standins.fleet import Fleet
from mulberryport.tables import change_tables, new_change_id, parse_tables

from ._report import print_table

SIZES = (2, 6, 10, 20)
SECONDS = 10.0
SETTLE_S = 8.0
TABLES = """
[workspace roads]
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
[pool drafting]
kind = model-engine
targets = engine1 {engine} zone1
"""


def measure(size: int) -> tuple[float, float, float]:
    """Return percent of a core, megabytes and bytes a second of one idle daemon."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform()
            engine = fleet.start_target("engine1", "engine")
            # One zone, as a daemon at the planned size has all its peers in its own.
            fleet.add_daemons(["zone1"] * size)
            fleet.start_daemons()
            tables = parse_tables(TABLES.format(engine=engine), "tables")
            change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
            fleet.wait_ready(1)
            time.sleep(SETTLE_S)
            return _observe(fleet, size)
        finally:
            fleet.close()


def _observe(fleet: Fleet, size: int) -> tuple[float, float, float]:
    processes = [psutil.Process(fleet.pid(daemon.vm)) for daemon in fleet.daemons]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    time.sleep(SECONDS)
    after = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_after = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    share = statistics.median(b - a for a, b in zip(before, after, strict=True))
    resident = statistics.median(p.memory_info().rss for p in processes)
    traffic = (bytes_after - bytes_before) / SECONDS / size
    return 100 * share / SECONDS, resident / 1e6, traffic


def main(arguments: list[str]) -> None:
    """Print the cost of control by the number of daemons."""
    rows = []
    for size in SIZES:
        cpu, resident, traffic = measure(size)
        rows.append((size, f"{cpu:.2f}%", f"{resident:.1f} MB", f"{traffic:.0f} B/s"))
    print_table(("daemons in the zone", "core", "resident", "sent by each"), rows)
