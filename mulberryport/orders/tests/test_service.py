"""Tests of target orders with real processes, checked against the platform's log."""

import time

from ...runtime.http import call_json
from ...standins.fleet import Fleet, wait_until
from ...usage.tests.builders import (
    LoadGenerator,
    apply_tables,
    pause_file,
    platform_log,
    running_fleet,
    set_faults,
    wait_for_holder,
)

TABLES = """
[route drafting]
path = /filing/
pool = desk
open = yes
[pool desk]
kind = plain-service
concurrency = 64
targets = desk1 {desk} parana
[pool drafting]
kind = model-engine
targets = engine1 127.0.0.1:9 rosario
zones = rosario
minimum = 1
maximum = 9
"""
DUTY = "orders/rosario"
# Lease TTL and order lifetime of the program with short leases.
TAKEOVER_DELAY_S = 1.5 + 0.5


def accepted_orders(fleet: Fleet) -> list[dict]:
    """Check the invariants of the order log and return the accepted orders."""
    log = platform_log(fleet, "order-log")
    accepted = [entry for entry in log if entry["accepted"]]
    for earlier, later in zip(accepted, accepted[1:], strict=False):
        # A previous holder must not place an order after its successor.
        assert later["fencing"] >= earlier["fencing"], (earlier, later)
    return accepted


def wait_ordered(fleet: Fleet, on_demand: int, fencing_above: int = 0) -> dict:
    def found() -> dict | None:
        entry = next(iter(accepted_orders(fleet)[-1:]), None)
        if entry and entry["on_demand"] == on_demand:
            return entry if entry["fencing"] > fencing_above else None
        return None

    return wait_until(found, 12.0, f"{on_demand} ordered above {fencing_above}")


def set_minimum(fleet: Fleet, minimum: int) -> None:
    apply_tables(fleet, TABLES.replace("minimum = 1", f"minimum = {minimum}"))


def test_a_holder_paused_after_its_guard_places_no_more_orders(tmp_path):
    """The platform checks neither the fencing number nor the expiry of orders.

    Guards against two daemons that both believe they hold the duty and both place
    orders.
    """
    with running_fleet(tmp_path, TABLES) as fleet:
        call_json(
            "POST",
            f"{fleet.platform_url}/configure",
            {"checks_fencing": False, "checks_expiry": False},
            timeout=2.0,
        )
        first_order = wait_ordered(fleet, 1)
        previous = wait_for_holder(fleet, DUTY)
        pause = pause_file(previous.settings_file)
        pause.write_text(DUTY)
        set_minimum(fleet, 2)
        wait_until(lambda: not pause.exists(), 5.0, "the holder stopped")
        others = [daemon for daemon in fleet.daemons if daemon is not previous]
        wait_until(
            lambda: any(
                DUTY in fleet.query_operator(daemon, "/state")["duties"]
                for daemon in others
            ),
            8.0,
            "a successor",
        )
        gained_at = time.time()
        second_order = wait_ordered(fleet, 2, fencing_above=first_order["fencing"])
        # The successor waited until no order of the previous holder could take effect.
        # The tolerance is the delay until this test noticed the successor.
        assert second_order["at"] - gained_at >= TAKEOVER_DELAY_S - 0.3
        fleet.resume(previous.vm)
        set_minimum(fleet, 3)
        wait_ordered(fleet, 3)
        wait_until(
            lambda: DUTY not in fleet.query_operator(previous, "/state")["duties"],
            5.0,
            "the previous holder knows",
        )
        accepted_orders(fleet)


def test_orders_survive_lost_answers_a_killed_holder_and_a_store_outage(tmp_path):
    """Guards against changes before confirmation and orders without the store."""
    extra = "orders-check-fencing = yes"
    with running_fleet(tmp_path, TABLES, platform_extra=extra) as fleet:
        first_order = wait_ordered(fleet, 1)
        previous = wait_for_holder(fleet, DUTY)
        set_faults(fleet, lose_answers=True, paths=["/orders/"])
        set_minimum(fleet, 2)
        wait_until(
            lambda: fleet.store.read(DUTY).value.value.find(b"[2,0]") > 0,
            5.0,
            "two are declared before they are ordered",
        )
        # Nothing else is declared while the outcome of the order is unknown.
        set_minimum(fleet, 4)
        seen = len(platform_log(fleet, "usage-log"))
        wait_until(
            lambda: len(platform_log(fleet, "usage-log")) >= seen + 2,
            5.0,
            "two windows of one second pass",
        )
        assert b"[2,0]" in fleet.store.read(DUTY).value.value
        fleet.kill(previous.vm)
        set_faults(fleet)
        wait_ordered(fleet, 4, fencing_above=first_order["fencing"])
        by_id: dict[str, int] = {}
        for entry in platform_log(fleet, "order-log"):
            counts = entry["on_demand"]
            assert by_id.setdefault(entry["order_id"], counts) == counts
        others = [d.url for d in fleet.daemons if d.vm in fleet.running_processes]
        set_faults(fleet, down=True, paths=["/kv/", "/leases/", "/keys"])
        with LoadGenerator(others) as load:
            wait_until(
                lambda: all(
                    DUTY not in fleet.query_operator(d, "/state")["duties"]
                    for d in fleet.daemons
                    if d.vm in fleet.running_processes
                ),
                8.0,
                "the duty pauses",
            )
            ordered = len(accepted_orders(fleet))
            answered = load.answered
            wait_until(lambda: load.answered > answered + 50, 5.0, "traffic")
        assert load.unknown == load.not_run == 0
        assert len(accepted_orders(fleet)) == ordered
        set_faults(fleet)
        set_minimum(fleet, 5)
        wait_ordered(fleet, 5)
        # The targets of a removed pool must be released, as they cost money.
        apply_tables(fleet, TABLES.partition("[pool drafting]")[0])
        wait_ordered(fleet, 0)
