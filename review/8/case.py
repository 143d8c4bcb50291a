"""A server that comes back under its id never gets work again."""

import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import Fleet, Server, finish, has_trouble, make_item  # noqa: E402

ITEMS = 48
# The address is free again after addr-reuse-s (2 s); the entry of a server that is
# silent lasts for three heartbeats (3.6 s).
REUSED_AFTER_S, BACK_AFTER_S = 2.1, 3.3
CONTACT_S, UNSENT_S, STEP_S = 3.0, 5.0, 25.0
VMS = ("front-rosario-1", "front-rosario-2", "front-rosario-3")


def start_engine(fleet, number):
    """Start the only engine, and write its registration."""
    engine = Server(fleet.record, "e1", "engines", events=20, event_s=0.05)
    fleet.register(engine, seq=number)
    fleet.record(f"e1 is ready at {engine.address}, start {number}")
    return engine


def main():
    """Crash the engine during a step, and give its address to another service."""
    with Fleet(CASE) as fleet:
        for server in fleet.desks:
            fleet.register(server)
        engine = start_engine(fleet, 1)
        fleet.configure()
        for number, vm in enumerate(VMS):
            fleet.start_entry(vm, number)
        for vm in VMS:
            fleet.wait_ready(vm)
        time.sleep(CONTACT_S)
        items = [make_item(f"item{n}", group=f"g{n // 8}") for n in range(ITEMS)]
        fleet.submit(VMS[0], "step1", items)
        submitted_at = time.monotonic()
        time.sleep(1.5)
        begun = {dict(run["headers"])["X-Request-Id"] for run in engine.runs}
        engine.crash()
        time.sleep(REUSED_AFTER_S)
        if has_trouble():
            port = int(engine.address.rpartition(":")[2])
            fleet.register(Server(fleet.record, "d3", "desk", port=port))
            fleet.record(f"d3 of the service desk is ready at {engine.address}")
        time.sleep(BACK_AFTER_S - REUSED_AFTER_S)
        back = start_engine(fleet, 2)
        back_at = time.monotonic()
        while time.monotonic() - submitted_at < STEP_S:
            _, results = fleet.results(VMS[1], "step1")
            if len(results) == ITEMS:
                break
            time.sleep(1.0)
        steady_s = time.monotonic() - back_at - CONTACT_S
        sent = {dict(run["headers"])["X-Request-Id"] for run in back.runs}
        unsent = {item["id"] for item in items} - sent - {r["id"] for r in results}
        breaks = []
        if begun and len(results) < ITEMS and unsent and steady_s >= UNSENT_S:
            breaks.append(
                f"LOST: the step ran out of time with {len(results)} of {ITEMS} "
                f"results; {len(unsent)} items were at no server for {steady_s:.0f} s "
                "of steady state; the engine got "
                f"{len(back.runs)} requests since its return"
            )
        finish(fleet, breaks)


main()
