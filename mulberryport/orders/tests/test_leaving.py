"""Leaving targets and a reclaimed zone, with real processes under load."""

import time

from ...runtime.http import call_json
from ...standins.fleet import Fleet, wait_until
from ...usage.tests.builders import Callers, platform_log, running_fleet

TABLES = """
[route drafting]
path = /filing/
pool = drafting
open = yes
[pool drafting]
kind = model-engine
targets =
    engine1 {engine1} rosario
    engine2 {engine2} rosario
zones = parana, santa-fe
minimum = 1
maximum = 3
cheap-share = 0.5
"""
# In force everywhere: the bound of the design page for leaving targets.
BOUND_S = 3.0


def starts(address: str, after: float) -> int:
    """Return how many requests an engine got after a time."""
    log = call_json("GET", f"http://{address}/log", timeout=2.0).value.body
    return sum(request["at"] > after for request in log["requests"])


def expect_no_new_work(leaving: list[str], staying: str, since: float) -> None:
    """Wait until work has started elsewhere for a second beyond the bound."""
    limit = since + BOUND_S
    wait_until(lambda: time.time() > limit + 1.0, 5.0, "the bound passes")
    wait_until(lambda: starts(staying, limit) > 20, 8.0, "work goes on")
    assert [starts(address, limit) for address in leaving] == [0, 0]


def test_leaving_targets_get_no_new_work_and_capacity_comes_elsewhere(tmp_path):
    """One engine says that it leaves; then a zone's cheap targets are reclaimed.

    Guards against marks that only the lagging list of VMs brings, and against
    work for targets that will be gone in seconds.
    """
    extra = "orders-check-fencing = yes"
    fleet = Fleet(tmp_path)
    engines = {
        name: fleet.start_target(name, "engine")
        for name in ("engine1", "engine2", "cheap1", "other1", "other2")
    }
    tables = TABLES.format(engine1=engines["engine1"], engine2=engines["engine2"])
    try:
        with (
            running_fleet(tmp_path, tables, platform_extra=extra) as daemons,
            Callers([d.url for d in daemons.daemons]) as callers,
        ):
            url = daemons.platform_url
            stock = [
                {"id": name, "address": engines[name], "zone": zone}
                for name, zone in (
                    ("cheap1", "parana"),
                    ("other1", "parana"),
                    ("other2", "santa-fe"),
                )
            ]
            call_json("POST", f"{url}/stock", {"vms": stock}, timeout=2.0)
            wait_until(
                lambda: starts(engines["cheap1"], 0) > 5, 10.0, "ordered and used"
            )

            # The list of VMs says nothing of the first and lags for the second.
            at = time.time()
            configure = f"http://{engines['engine2']}/configure"
            call_json("POST", configure, {"leaving": True}, timeout=2.0)
            reply = call_json("POST", f"{url}/reclaim", {"zone": "parana"}, timeout=2.0)
            assert reply.value.body["reclaimed"] == ["cheap1"]
            expect_no_new_work(
                [engines["engine2"], engines["cheap1"]], engines["engine1"], at
            )
            orders = [o for o in platform_log(daemons, "order-log") if o["at"] > at]
            # What was cheap in the zone is on-demand now.
            assert [(o["key"], o["on_demand"], o["cheap"]) for o in orders][-1:] == [
                ("parana/drafting", 1, 0)
            ]
            wait_until(lambda: starts(engines["other1"], at) > 0, 8.0, "replaced")
            assert callers.answered > 100
            assert callers.unknown == callers.not_run == 0
    finally:
        fleet.close()
