"""Control-plane cost of idle daemons in fleets of several sizes.

Prints CPU time, resident memory and traffic of a daemon without requests for each
fleet size. Traffic is that of the loopback interface divided by the number of daemons,
so nothing else should use the interface during a run.
"""

import statistics
import tempfile
import time
from pathlib import Path

import psutil

from mulberryport.standins.fleet import Fleet
from mulberryport.tables import change_tables, new_change_id, parse_tables

from ._report import print_table

FLEET_SIZES = (2, 6, 10, 20)
OBSERVATION_S = 10.0
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


def measure_idle_daemon(size: int) -> tuple[float, float, float]:
    """Return CPU percent, resident megabytes and sent bytes/s of an idle daemon."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        try:
            fleet.start_platform()
            engine = fleet.start_target("engine1", "engine")
            # At the planned size, all peers of a daemon are in its own zone.
            fleet.add_daemons(["zone1"] * size)
            fleet.start_daemons()
            tables = parse_tables(TABLES.format(engine=engine), "tables")
            change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
            fleet.wait_ready(1)
            time.sleep(SETTLE_S)
            return _sample_usage(fleet, size)
        finally:
            fleet.close()


def _sample_usage(fleet: Fleet, size: int) -> tuple[float, float, float]:
    processes = [psutil.Process(fleet.pid(daemon.vm)) for daemon in fleet.daemons]
    before = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_before = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    time.sleep(OBSERVATION_S)
    after = [sum(process.cpu_times()[:2]) for process in processes]
    bytes_after = psutil.net_io_counters(pernic=True)["lo"].bytes_sent
    share = statistics.median(b - a for a, b in zip(before, after, strict=True))
    resident = statistics.median(p.memory_info().rss for p in processes)
    traffic = (bytes_after - bytes_before) / OBSERVATION_S / size
    return 100 * share / OBSERVATION_S, resident / 1e6, traffic


def main(arguments: list[str]) -> None:
    """Print the control-plane cost of a daemon by fleet size."""
    rows = []
    for size in FLEET_SIZES:
        cpu, resident, traffic = measure_idle_daemon(size)
        rows.append((size, f"{cpu:.2f}%", f"{resident:.1f} MB", f"{traffic:.0f} B/s"))
    print_table(("daemons in the zone", "core", "resident", "sent by each"), rows)
