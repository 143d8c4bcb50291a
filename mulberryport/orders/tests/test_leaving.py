"""Tests of leaving targets and a reclaimed zone, with real processes under load."""

import time

from ...runtime.http import call_json
from ...standins.fleet import Fleet, wait_until
from ...usage.tests.builders import LoadGenerator, platform_log, running_fleet

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
# Bound of the design page: all daemons know of a leaving target after this time.
MAX_PROPAGATION_S = 3.0


def requests_started(address: str, after: float) -> int:
    """Return the number of requests that an engine received after a time."""
    log = call_json("GET", f"http://{address}/log", timeout=2.0).value.body
    return sum(request["at"] > after for request in log["requests"])


def assert_no_new_requests(leaving: list[str], staying: str, since: float) -> None:
    """Check that only the staying engine receives requests after the bound."""
    limit = since + MAX_PROPAGATION_S
    wait_until(lambda: time.time() > limit + 1.0, 5.0, "the bound passes")
    wait_until(lambda: requests_started(staying, limit) > 20, 8.0, "work goes on")
    assert [requests_started(address, limit) for address in leaving] == [0, 0]


def test_leaving_targets_get_no_new_requests_and_are_replaced(tmp_path):
    """One engine announces that it leaves; then a zone's cheap targets are reclaimed.

    Guards against learning of leaving targets only from the delayed list of VMs, and
    against sending requests to targets that will stop within seconds.
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
            LoadGenerator([d.url for d in daemons.daemons]) as load,
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
                lambda: requests_started(engines["cheap1"], 0) > 5,
                10.0,
                "ordered and used",
            )

            # The list of VMs does not show the first engine as leaving and shows the
            # second one only after a delay.
            at = time.time()
            configure = f"http://{engines['engine2']}/configure"
            call_json("POST", configure, {"leaving": True}, timeout=2.0)
            reply = call_json("POST", f"{url}/reclaim", {"zone": "parana"}, timeout=2.0)
            assert reply.value.body["reclaimed"] == ["cheap1"]
            assert_no_new_requests(
                [engines["engine2"], engines["cheap1"]], engines["engine1"], at
            )
            orders = [o for o in platform_log(daemons, "order-log") if o["at"] > at]
            # The order replaces the cheap target of the zone by an on-demand one.
            assert [(o["key"], o["on_demand"], o["cheap"]) for o in orders][-1:] == [
                ("parana/drafting", 1, 0)
            ]
            wait_until(
                lambda: requests_started(engines["other1"], at) > 0, 8.0, "replaced"
            )
            assert load.answered > 100
            assert load.unknown == load.not_run == 0
    finally:
        fleet.close()
