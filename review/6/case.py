"""An item of a batch job hides a request of another tenant behind its body."""

import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import (  # noqa: E402
    HOST,
    MODEL,
    OTHER_TENANT,
    Fleet,
    finish,
    has_trouble,
    make_item,
)

HIDDEN = (
    f"POST /drafts/hidden HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: hidden\r\n"
    f"X-Tenant: {OTHER_TENANT}\r\nX-Model: {MODEL}\r\nContent-Length: 0\r\n\r\n"
).encode()


def main():
    """Submit a job whose second item states a length of its own."""
    with Fleet(CASE) as fleet:
        for server in fleet.engines + fleet.desks:
            fleet.register(server)
        fleet.configure()
        fleet.start_entry("front-rosario-1")
        fleet.wait_ready("front-rosario-1")
        headers = {"Content-Length": "0"} if has_trouble() else {}
        items = [make_item("item1"), make_item("item2", headers, HIDDEN)]
        items.append(make_item("item3"))
        fleet.submit("front-rosario-1", "job1", items)
        fleet.wait_results("front-rosario-1", "job1", 3, 6.0)
        sent = {item["id"] for item in items}
        runs = [run for server in fleet.engines for run in server.runs]
        breaks = []
        for run in runs:
            ids = [v for n, v in run["headers"] if n.lower() == "x-request-id"]
            if not sent.issuperset(ids):
                tenants = [v for n, v in run["headers"] if n.lower() == "x-tenant"]
                breaks.append(
                    f"UNASKED: {run['server']} ran {run['path']} with the id {ids}, "
                    f"which no client sent, for the tenant {tenants}"
                )
        finish(fleet, breaks)


main()
