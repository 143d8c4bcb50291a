"""Tests of the detection of crashed targets."""

import eventlet
from attrs import evolve

from ...quarantine import CrashTable
from ...runtime.clock import boottime
from .. import crashes
from ..crashes import CrashDetector, InterruptedRequest
from .builders import running_gateway
from .crashing import crashing_targets


def interrupted(name, started_at):
    return InterruptedRequest(name.encode(), name, "shared", "roads", started_at)


def test_requests_of_one_crash_share_a_check_and_aborted_ones_count(monkeypatch):
    # Guards against a new connection for each request that a crash interrupts, against
    # a crash that is forgotten when its caller leaves during the check, and against a
    # request that is blamed alone because the others ended before it.
    checked = []

    def check_slowly(address):
        checked.append(address)
        eventlet.sleep(0.1)
        return True

    monkeypatch.setattr(crashes, "is_peer_gone", check_slowly)
    with (
        crashing_targets(1) as [target],
        running_gateway(target.address) as harness,
    ):
        table = CrashTable()
        detector = CrashDetector(harness.directory, table)
        [view] = harness.directory.views("desk")
        for _ in range(3):
            harness.directory.request_started(view.id)
        started_at = boottime()
        names = ["a", "b"]
        threads = [
            eventlet.spawn(detector.report, view, interrupted(name, started_at))
            for name in names
        ]
        eventlet.sleep(0.02)
        threads[0].kill()
        threads[1].wait()
        for _ in range(2):
            harness.directory.request_finished(view.id)
        # The third end arrives when the others have left the target.
        detector.report(view, interrupted("c", started_at))
        # A request that was sent to the target when it was already gone.
        detector.report(view, interrupted("d", boottime()))
        assert len(checked) == 1
        records = {record.identity: record for record in table.export(boottime())}
        assert sorted(records) == [b"a", b"b", b"c"]
        assert not any(record.live[0].alone for record in records.values())
        # After a restart, the next crash of the same target is checked again.
        monkeypatch.setattr(crashes, "SAME_CRASH_S", 0.0)
        detector.report(evolve(view), interrupted("a", boottime()))
        assert len(checked) == 2
