"""A batch job that is still open is deleted, with the work that it was accepted for."""

import json
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import Fleet, finish, has_trouble, make_item  # noqa: E402

STATUS_TTL_S = 20
QUEUE_TTL_S = 60
VMS = ("front-rosario-1", "front-rosario-2", "front-rosario-3")


def main():
    """Read a job that is not ended, before and after ``status-ttl-s``."""
    with Fleet(CASE, retention=STATUS_TTL_S) as fleet:
        for server in fleet.engines + fleet.desks:
            # One event a second: an item of 40 events takes 40 s.
            server.events, server.event_s = (40, 1.0) if has_trouble() else (10, 1.0)
            fleet.register(server)
        fleet.configure(queue_ttl_s=QUEUE_TTL_S)
        for number, vm in enumerate(VMS):
            fleet.start_entry(vm, number)
        for vm in VMS:
            fleet.wait_ready(vm)
        time.sleep(3.0)
        items = [make_item(f"item{n}") for n in range(4)]
        if fleet.submit(VMS[0], "job1", items) != 202:
            finish(fleet, [])
        accepted_at = time.monotonic()
        breaks, finished = [], []
        while (age_s := time.monotonic() - accepted_at) < STATUS_TTL_S + 30:
            if not has_trouble() and len(finished) == len(items):
                break
            for vm in VMS:
                path = "/mulberryport/lots/job1?after=0"
                status, _, body = fleet.call(vm, "GET", path)
                if status == 200:
                    finished = json.loads(body)["results"]
                if status in (404, 410) and age_s > 1.0 and not breaks:
                    breaks.append(
                        f"LOST: {vm} answers {status} for the open job {age_s:.1f} s "
                        f"after its 202, {len(finished)} of {len(items)} items done"
                    )
            time.sleep(1.0)
        finish(fleet, breaks)


main()
