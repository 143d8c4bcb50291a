"""Reports of real processes, judged from the platform's log."""

from ...outcomes import Done
from ...standins.fleet import Fleet, wait_until
from .builders import (
    Callers,
    holder,
    pause_file,
    platform_log,
    running_fleet,
    set_faults,
)


def reports_by_id(fleet: Fleet) -> dict[str, dict]:
    """Check what must hold for all reports and return them by id."""
    by_id: dict[str, dict] = {}
    newest = 0
    for entry in platform_log(fleet, "usage-log"):
        content = {k: entry[k] for k in ("window", "figures", "carried")}
        # One figure for each window, whoever sends it and however often.
        assert by_id.setdefault(entry["id"], content) == content
        # No former reporter sends after its successor.
        assert entry["fencing"] >= newest, entry
        newest = entry["fencing"]
    windows = [content["window"] for content in by_id.values()]
    first = windows[0] if windows else 0
    assert windows == list(range(first, first + len(windows)))
    return by_id


def requests_reported(fleet: Fleet) -> int:
    return sum(
        figure["requests"]
        for report in reports_by_id(fleet).values()
        for figure in report["figures"] + report["carried"]
    )


def wait_reported(fleet: Fleet, at_least: int, timeout: float = 10.0) -> int:
    wait_until(
        lambda: requests_reported(fleet) >= at_least, timeout, f"{at_least} reported"
    )
    # Two further windows, in which a figure reported twice would show.
    last = len(reports_by_id(fleet))
    wait_until(lambda: len(reports_by_id(fleet)) >= last + 2, 8.0, "two more windows")
    return requests_reported(fleet)


def test_reports_are_exact_when_the_reporter_dies_between_freezing_and_sending(
    tmp_path,
):
    """The successor sends the frozen figure, and usage of the dead VM survives.

    Guards against a window that is computed again, skipped or sent by two, and
    against usage that dies with the daemon that counted it.
    """
    with running_fleet(tmp_path) as fleet, Callers([]) as callers:
        reporter = holder(fleet, "usage/0")
        callers.urls.extend(d.url for d in fleet.daemons)
        wait_until(lambda: callers.answered > 50, 5.0, "requests are answered")
        wait_until(lambda: reports_by_id(fleet), 8.0, "a report")
        set_faults(fleet, down=True, paths=["/usage/"])
        sent = len(platform_log(fleet, "usage-log"))

        def frozen_unsent() -> bool:
            keys = fleet.store.list_keys("usage/0/")
            marker = fleet.store.read("usage/0/sent")
            newest = max(int(k.rpartition("/")[2]) for k in keys.value[:-1])
            return isinstance(marker, Done) and newest > int(marker.value.value)

        wait_until(frozen_unsent, 5.0, "a window is frozen and not sent")
        callers.urls.remove(reporter.url)
        answered = callers.answered
        fleet.kill(reporter.vm)
        set_faults(fleet, lose_answers=True, paths=["/usage/"])
        assert holder(fleet, "usage/0").vm != reporter.vm
        wait_until(
            lambda: len(platform_log(fleet, "usage-log")) > sent + 1, 8.0, "sent again"
        )
        set_faults(fleet)
        wait_until(lambda: callers.answered > answered + 50, 5.0, "traffic goes on")
        callers.urls.clear()
        wait_until(lambda: requests_reported(fleet) >= callers.answered, 10.0, "all")
        total = wait_reported(fleet, callers.answered)
        # A call that was cut off by the kill may have been counted.
        assert callers.answered <= total <= callers.answered + callers.unknown


def test_a_paused_reporter_never_sends_after_its_successor(tmp_path):
    """The reporter is stopped right after its guard, past the end of its lease.

    Guards against two processes that both believe they are the reporter.
    """
    with running_fleet(tmp_path) as fleet, Callers([]) as callers:
        reporter = holder(fleet, "usage/0")
        callers.urls.extend(d.url for d in fleet.daemons if d is not reporter)
        wait_until(lambda: callers.answered > 50, 5.0, "requests are answered")
        wait_until(lambda: reports_by_id(fleet), 8.0, "a report")
        pause = pause_file(reporter.settings_file)
        pause.write_text("usage/0")
        wait_until(lambda: not pause.exists(), 4.0, "the reporter stopped")
        successor = holder(fleet, "usage/0")
        assert successor.vm != reporter.vm
        before = len(reports_by_id(fleet))
        wait_until(lambda: len(reports_by_id(fleet)) > before, 8.0, "next report")
        fleet.resume(reporter.vm)
        set_faults(fleet, down=True, paths=["/kv/", "/leases/", "/keys"])
        # The store is down for some windows; they follow in order, none skipped.
        answered = callers.answered
        wait_until(lambda: callers.answered > answered + 100, 8.0, "traffic goes on")
        set_faults(fleet, lose_answers=True, paths=["/kv/usage"])
        wait_until(lambda: callers.answered > answered + 150, 8.0, "traffic goes on")
        set_faults(fleet)
        callers.urls.clear()
        total = wait_reported(fleet, callers.answered)
        assert callers.answered <= total <= callers.answered + callers.unknown
