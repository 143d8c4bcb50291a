"""Streams are taken up some time after a server of another version was there."""

import os
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab_3"))

from http_tools import Server  # noqa: E402
from lab import ZONES, Lab, free_ports, run_case  # noqa: E402
from streams import start_deployment, take_streams_up  # noqa: E402

TIMEOUT_MS = 10_000
CANARY_S, AFTER_CANARY_S = 4.0, 8.0
CANARY = os.environ.get("CANARY", "1") != "0"


def play(lab: Lab, trouble: bool) -> bool:
    """Return whether streams go on at least half as often as new ones begin."""
    start_deployment(lab, TIMEOUT_MS)
    if CANARY:
        port = free_ports(1)[0]
        canary = Server("s9", lambda request: False, port)
        lab.register("s9", "drafts", port, zone=ZONES[2], version="v2")
        lab.record.add("s9 of version v2 is ready; no stream begins meanwhile")
        time.sleep(CANARY_S)
        lab.register(
            "s9", "drafts", port, zone=ZONES[2], version="v2", state="draining"
        )
        time.sleep(2.5)
        lab.admin("remove", {"key": "servers/s9"})
        canary.crash()
        lab.record.add("s9 has left")
        time.sleep(AFTER_CANARY_S)
    return take_streams_up(lab, trouble)


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
