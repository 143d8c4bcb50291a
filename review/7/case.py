"""An item of a batch job hides a request, names another tenant and carries the key."""

import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import (  # noqa: E402
    HOST,
    KEY,
    MODEL,
    OTHER_TENANT,
    TENANT,
    Fleet,
    finish,
    has_trouble,
    make_item,
)

VM = "front-rosario-1"
HIDDEN = (
    f"POST /drafts/hidden HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: hidden\r\n"
    f"X-Tenant: {OTHER_TENANT}\r\nX-Model: {MODEL}\r\nContent-Length: 0\r\n\r\n"
).encode()


def main():
    """Submit a job whose items have headers that are not theirs to set."""
    with Fleet(CASE) as fleet:
        for server in fleet.engines + fleet.desks:
            fleet.register(server)
        fleet.configure()
        fleet.start_entry(VM)
        fleet.wait_ready(VM)
        length, tenant, key = {}, {}, {}
        if has_trouble():
            length = {"Content-Length": "0"}
            tenant, key = {"X-Tenant": OTHER_TENANT}, {"X-Api-Key": KEY}
        # For comparison: on a plain request such a header does no harm.
        headers = {"X-Request-Id": "plain1", "X-Deadline-Ms": "2000"} | tenant
        fleet.call(VM, "POST", "/desk/a", b"plain", headers)
        items = [
            make_item("item1"),
            make_item("item2", length, HIDDEN),
            make_item("item3", tenant),
            make_item("item4", key),
        ]
        fleet.submit(VM, "job1", items)
        fleet.wait_results(VM, "job1", len(items), 6.0)
        sent = {"plain1"} | {item["id"] for item in items}
        breaks = []
        for run in [run for s in fleet.engines + fleet.desks for run in s.runs]:
            seen = [(name.lower(), value) for name, value in run["headers"]]
            ids = [value for name, value in seen if name == "x-request-id"]
            tenants = [value for name, value in seen if name == "x-tenant"]
            if not sent.issuperset(ids):
                breaks.append(
                    f"UNASKED: {run['server']} ran {run['path']} with the id {ids}, "
                    f"which no client sent, for the tenant {tenants}"
                )
            elif tenants != [TENANT]:
                breaks.append(
                    f"UNASKED: {run['server']} ran {ids} with X-Tenant {tenants}; the "
                    f"key is of {TENANT}"
                )
            if any(KEY in value for _, value in seen):
                breaks.append(f"UNASKED: {run['server']} got the client's key: {ids}")
        finish(fleet, breaks)


main()
