"""Three open steps of 4,096 items each make all entry processes hang."""

import sys
import threading
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standins-2"))

from fleet import Fleet, Server, finish, has_trouble, make_item  # noqa: E402

STEPS, ITEMS, GROUP_SIZE = 3, 4096, 8
SERVERS, SLOTS = 5, 12
# Steps of this size are due in minutes; a script has two.
STEP_DEADLINE_S = 75.0
UNSENT_S = 5.0
VMS = ("front-rosario-1", "front-rosario-2", "front-rosario-3")


class Engine(Server):
    """Engine that keeps what it runs at the moment, and what was ever sent to it."""

    def __init__(self, *arguments, **options):
        self.running, self.seen = 0, set()
        super().__init__(*arguments, **options)

    def _stream(self, handler):
        with self._lock:
            self.seen.add(handler.headers["X-Request-Id"])
            self.running += 1
        try:
            super()._stream(handler)
        finally:
            with self._lock:
                self.running -= 1


def submit(fleet, vm, job):
    """Submit a step; repeat it at another daemon until it is accepted."""
    items = [
        make_item(f"{job}-{n}", body=bytes(600), group=f"{job}-g{n // GROUP_SIZE}")
        for n in range(ITEMS)
    ]
    for attempt in range(4):
        place = VMS[(VMS.index(vm) + attempt) % len(VMS)]
        if fleet.submit(place, job, items, **{"target-groups": 460}) == 202:
            return {item["id"] for item in items}
    return set()


def main():
    """Run two steps, at once or one after the other."""
    with Fleet(CASE) as fleet:
        fleet.record.hides_runs = True
        engines = [
            Engine(fleet.record, f"e{n}", "engines", events=8, event_s=0.05)
            for n in range(SERVERS)
        ]
        for server in engines + fleet.desks:
            fleet.register(server)
        fleet.configure(queue_ttl_s=110)
        for number, vm in enumerate(VMS):
            fleet.start_entry(vm, number)
        for vm in VMS:
            fleet.wait_ready(vm)
        time.sleep(3.0)
        steps, accepted_at = {}, {}
        breaks, idle_since, worst_call_s = [], None, 0.0

        def start(job, vm):
            steps[job] = submit(fleet, vm, job)
            accepted_at[job] = time.monotonic()

        start("step1", VMS[0])
        if has_trouble():
            # The trainer requests the next steps ahead.
            for number in range(2, STEPS + 1):
                arguments = (f"step{number}", VMS[number - 1])
                threading.Thread(target=start, args=arguments, daemon=True).start()
        deadline = time.monotonic() + STEP_DEADLINE_S + 3.0
        while time.monotonic() < deadline:
            time.sleep(1.0)
            running = sum(engine.running for engine in engines)
            seen = set().union(*(engine.seen for engine in engines))
            called_at = time.monotonic()
            headers = {"X-Request-Id": f"plain{called_at}", "X-Deadline-Ms": "2000"}
            fleet.call(VMS[0], "POST", "/desk/a", b"plain", headers, timeout_s=5.0)
            worst_call_s = max(worst_call_s, time.monotonic() - called_at)
            fleet.record(f"{len(seen)} items were at a server, {running} run now")
            is_all_sent = seen.issuperset(set().union(*list(steps.values())))
            if running * 2 >= SERVERS * SLOTS or is_all_sent:
                idle_since = None
            elif idle_since is None:
                idle_since = time.monotonic()
            if is_all_sent and len(steps) == STEPS:
                break
            if is_all_sent and not has_trouble():
                start(f"step{len(steps) + 1}", VMS[len(steps)])
        now = time.monotonic()
        for job, items in steps.items():
            unsent = items - seen
            is_late = now - accepted_at[job] >= STEP_DEADLINE_S - 3.0
            is_idle = idle_since is not None and now - idle_since >= UNSENT_S
            if unsent and len(unsent) < len(items) and is_late and is_idle:
                breaks.append(
                    f"LOST: {job} ran out of time with {len(unsent)} of {len(items)} "
                    "items never at a server; the servers were under half full for "
                    f"the last {now - idle_since:.0f} s; a plain call took up to "
                    f"{worst_call_s:.1f} s"
                )
        finish(fleet, breaks)


main()
