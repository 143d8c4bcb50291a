"""Tests of usage reports with real processes, checked against the platform's log."""

from ...outcomes import Done
from ...standins.fleet import Fleet, wait_until
from .builders import (
    LoadGenerator,
    pause_file,
    platform_log,
    running_fleet,
    set_faults,
    wait_for_holder,
)


def reports_by_id(fleet: Fleet) -> dict[str, dict]:
    """Check the invariants of the usage log and return the reports by id."""
    by_id: dict[str, dict] = {}
    newest = 0
    for entry in platform_log(fleet, "usage-log"):
        content = {k: entry[k] for k in ("window", "figures", "carried")}
        # All copies of a report are equal, regardless of the sender.
        assert by_id.setdefault(entry["id"], content) == content
        # A previous reporter must not send after its successor.
        assert entry["fencing"] >= newest, entry
        newest = entry["fencing"]
    windows = [content["window"] for content in by_id.values()]
    first = windows[0] if windows else 0
    assert windows == list(range(first, first + len(windows)))
    return by_id


def requests_reported(fleet: Fleet) -> int:
    return sum(
        record["requests"]
        for report in reports_by_id(fleet).values()
        for record in report["figures"] + report["carried"]
    )


def wait_until_reported(fleet: Fleet, at_least: int, timeout: float = 10.0) -> int:
    wait_until(
        lambda: requests_reported(fleet) >= at_least, timeout, f"{at_least} reported"
    )
    # Two more windows, in which usage reported twice would show up.
    last = len(reports_by_id(fleet))
    wait_until(lambda: len(reports_by_id(fleet)) >= last + 2, 8.0, "two more windows")
    return requests_reported(fleet)


def test_reports_are_exact_when_the_reporter_dies_between_freezing_and_sending(
    tmp_path,
):
    """The successor sends the frozen report, which includes usage of the killed VM.

    Guards against a window that is recomputed, skipped or sent with different
    content, and against usage that is lost with the daemon that counted it.
    """
    with running_fleet(tmp_path) as fleet, LoadGenerator([]) as load:
        reporter = wait_for_holder(fleet, "usage/0")
        load.urls.extend(d.url for d in fleet.daemons)
        wait_until(lambda: load.answered > 50, 5.0, "requests are answered")
        wait_until(lambda: reports_by_id(fleet), 8.0, "a report")
        set_faults(fleet, down=True, paths=["/usage/"])
        sent = len(platform_log(fleet, "usage-log"))

        def frozen_unsent() -> bool:
            keys = fleet.store.list_keys("usage/0/")
            marker = fleet.store.read("usage/0/sent")
            newest = max(int(k.rpartition("/")[2]) for k in keys.value[:-1])
            return isinstance(marker, Done) and newest > int(marker.value.value)

        wait_until(frozen_unsent, 5.0, "a window is frozen and not sent")
        load.urls.remove(reporter.url)
        answered = load.answered
        fleet.kill(reporter.vm)
        set_faults(fleet, lose_answers=True, paths=["/usage/"])
        assert wait_for_holder(fleet, "usage/0").vm != reporter.vm
        wait_until(
            lambda: len(platform_log(fleet, "usage-log")) > sent + 1, 8.0, "sent again"
        )
        set_faults(fleet)
        wait_until(lambda: load.answered > answered + 50, 5.0, "traffic goes on")
        load.urls.clear()
        wait_until(lambda: requests_reported(fleet) >= load.answered, 10.0, "all")
        total = wait_until_reported(fleet, load.answered)
        # A request interrupted by the kill may have been counted.
        assert load.answered <= total <= load.answered + load.unknown


def test_a_paused_reporter_never_sends_after_its_successor(tmp_path):
    """The reporter is stopped right after its guard until its lease has expired.

    Guards against two processes that both believe they hold the duty of reporting.
    """
    with running_fleet(tmp_path) as fleet, LoadGenerator([]) as load:
        reporter = wait_for_holder(fleet, "usage/0")
        load.urls.extend(d.url for d in fleet.daemons if d is not reporter)
        wait_until(lambda: load.answered > 50, 5.0, "requests are answered")
        wait_until(lambda: reports_by_id(fleet), 8.0, "a report")
        pause = pause_file(reporter.settings_file)
        pause.write_text("usage/0")
        wait_until(lambda: not pause.exists(), 4.0, "the reporter stopped")
        successor = wait_for_holder(fleet, "usage/0")
        assert successor.vm != reporter.vm
        before = len(reports_by_id(fleet))
        wait_until(lambda: len(reports_by_id(fleet)) > before, 8.0, "next report")
        fleet.resume(reporter.vm)
        set_faults(fleet, down=True, paths=["/kv/", "/leases/", "/keys"])
        # The store is down for several windows; they are then sent in order, without
        # a gap.
        answered = load.answered
        wait_until(lambda: load.answered > answered + 100, 8.0, "traffic goes on")
        set_faults(fleet, lose_answers=True, paths=["/kv/usage"])
        wait_until(lambda: load.answered > answered + 150, 8.0, "traffic goes on")
        set_faults(fleet)
        load.urls.clear()
        total = wait_until_reported(fleet, load.answered)
        assert load.answered <= total <= load.answered + load.unknown
