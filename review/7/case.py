"""Items of a batch job name another tenant and carry the client's key."""

import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import (  # noqa: E402
    KEY,
    OTHER_TENANT,
    TENANT,
    Fleet,
    finish,
    has_trouble,
    make_item,
)


def main():
    """Send the same headers on a plain request and on the items of a job."""
    with Fleet(CASE) as fleet:
        for server in fleet.engines + fleet.desks:
            fleet.register(server)
        fleet.configure()
        fleet.start_entry("front-rosario-1")
        fleet.wait_ready("front-rosario-1")
        tenant, key = {}, {}
        if has_trouble():
            tenant, key = {"X-Tenant": OTHER_TENANT}, {"X-Api-Key": KEY}
        # For comparison: on a plain request these headers do no harm.
        fleet.call(
            "front-rosario-1",
            "POST",
            "/desk/a",
            b"plain",
            {"X-Request-Id": "plain1", "X-Deadline-Ms": "2000"} | tenant,
        )
        items = [make_item("item1", tenant), make_item("item2", key)]
        fleet.submit("front-rosario-1", "job1", items)
        fleet.wait_results("front-rosario-1", "job1", 2, 6.0)
        breaks = []
        for run in [run for s in fleet.engines + fleet.desks for run in s.runs]:
            seen = [(n.lower(), v) for n, v in run["headers"]]
            ids = [v for n, v in seen if n == "x-request-id"]
            tenants = [v for n, v in seen if n == "x-tenant"]
            if tenants != [TENANT]:
                breaks.append(
                    f"UNASKED: {run['server']} ran {ids} with X-Tenant {tenants}; the "
                    f"key is of {TENANT}"
                )
            if any(KEY in v for _, v in seen):
                breaks.append(
                    f"UNASKED: {run['server']} got the client's key with {ids}"
                )
        finish(fleet, breaks)


main()
