"""The holder of the duty is cut off while a usage report is on its way."""

import json
import os
import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "lab_3"))

from http_tools import Request, Server  # noqa: E402
from lab import ZONES, Lab, free_ports, run_case, wait_for  # noqa: E402
from proxy import Proxy  # noqa: E402

DAEMONS = 2
CUT_S = 5.5
SETTLED_S = 12.0
AFTER_HEAL_S = 8.0
THAW_SLACK_S = 0.3
# The other way to lose the duty: the holder, which knows the other daemon, loses only
# its link to the interface for duties, and is stopped as planned.
IS_STOPPED = os.environ.get("VARIANT", "") == "stop"


class Duties:
    """The platform's interface for duties, and the calls that it accepted."""

    def __init__(self, lab: Lab, port: int) -> None:
        self.lab = lab
        self.calls: list[tuple[float, str, int, str]] = []
        Server("duties", self._handle, port)

    def _handle(self, request: Request) -> bool:
        body = json.loads(request.read())
        holder = request.headers["x-duty-holder"]
        fence = int(request.headers["x-fence-token"])
        self.calls.append((time.monotonic(), holder, fence, request.path))
        self.lab.record.add(f"{request.path} {body} by {holder}, fence {fence}")
        request.answer("200 OK", b"{}", {"Content-Type": "application/json"})
        return True


class Machine:
    """The links of one machine to the store and to the interface for duties."""

    def __init__(self, cut: "Cut", name: str, ports: list[int], lab: Lab) -> None:
        store_port, cloud_port, target = ports
        self.name = name
        self.store = Proxy(store_port, lab.platform_port)
        self.cloud = Proxy(cloud_port, target, lambda data: cut.on_data(self, data))


class Cut:
    """Cuts the machine off that seems to lead and has just sent a usage report."""

    def __init__(self, lab: Lab) -> None:
        self.lab, self.is_armed = lab, False
        self.machine: Machine | None = None
        self.healed_at = float("inf")

    def on_data(self, machine: Machine, data: bytes) -> None:
        """Cut a machine off, whose report is about to be forwarded."""
        if not self.is_armed or b"POST /usage" not in data:
            return
        self.is_armed, self.machine = False, machine
        self.lab.record.add(f"{machine.name} is cut off for {CUT_S} s")
        machine.cloud.cut()
        if IS_STOPPED:
            self.lab.record.add(f"{machine.name} gets SIGTERM")
            self.lab.processes[machine.name].terminate()
        else:
            machine.store.cut()
        threading.Thread(target=self._heal, args=(machine,), daemon=True).start()

    def _heal(self, machine: Machine) -> None:
        time.sleep(CUT_S)
        self.healed_at = time.monotonic()
        machine.store.heal()
        machine.cloud.heal()
        self.lab.record.add(f"the links of {machine.name} have healed")


def play(lab: Lab, trouble: bool) -> bool:
    """Return whether no call bears a lower fencing token than one before it."""
    lab.start_platform()
    duties_port = free_ports(1)[0]
    duties = Duties(lab, duties_port)
    cut = Cut(lab)
    # Stale seeds: nothing answers at their addresses.
    stale = () if IS_STOPPED else tuple(free_ports(3))
    lab.configure([], [], 1)
    for number in range(DAEMONS):
        store_port, cloud_port = free_ports(2)
        name = f"front-{number}"
        Machine(cut, name, [store_port, cloud_port, duties_port], lab)
        lab.add_entry(name, ZONES[number], store_port, cloud_port, stale)
    lab.start_entries()
    time.sleep(SETTLED_S)
    wait_for(lambda: duties.calls, 20, "a usage report")
    cut.is_armed = trouble
    if trouble:
        wait_for(lambda: cut.machine is not None, 20, "a report during the case")
        wait_for(lambda: cut.healed_at < float("inf"), 20, "the end of the cut")
    time.sleep(AFTER_HEAL_S)
    if len({holder for _, holder, _, _ in duties.calls}) < 2 and trouble:
        raise RuntimeError("the duty did not pass on")
    highest, late = 0, []
    for at, holder, fence, path in duties.calls:
        is_excused = 0 <= at - cut.healed_at <= THAW_SLACK_S
        if fence < highest and not is_excused:
            late.append((holder, fence, highest, path, at - cut.healed_at))
        highest = max(highest, fence)
    for holder, fence, before, path, after_s in late:
        lab.record.add(
            f"{path} by {holder} with fence {fence} arrived after fence {before}, "
            f"{after_s:.2f} s after its link had healed"
        )
    return not late


if __name__ == "__main__":
    sys.exit(run_case(CASE, play))
