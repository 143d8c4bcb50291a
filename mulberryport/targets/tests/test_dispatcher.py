"""Tests of the dispatcher."""

import eventlet
import pytest

from ...peering import peer_pb2
from ...routing import LoadReport
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables, TargetSpec, Workspace
from ..directory import TargetDirectory
from ..dispatcher import Dispatcher, ShedError, WorkRequest
from ..traffic import add_traffic, apply_traffic


def make_dispatcher(targets=1, **pool_values) -> Dispatcher:
    """Return a dispatcher for pool p with the workspaces light and heavy."""
    specs = tuple(
        TargetSpec(f"t{n}", f"127.0.0.1:{n + 1}", "a") for n in range(targets)
    )
    values = {"name": "p", "kind": "model-engine", "targets": specs, "concurrency": 1}
    tables = Tables(
        workspaces={n: Workspace(name=n) for n in ("light", "heavy")},
        pools={"p": Pool(**{**values, **pool_values})},
    )
    directory = TargetDirectory()
    dispatcher = Dispatcher(directory, "a")
    snapshot = Snapshot(1, "c", tables)
    directory.apply_snapshot(snapshot)
    dispatcher.apply_snapshot(snapshot)
    return dispatcher


def hold_slot(dispatcher, order, release, workspace, **values):
    """Hold a slot until the event ``release`` is sent."""
    with dispatcher.assign(WorkRequest("p", workspace, **values)) as assignment:
        order.append((workspace, assignment.id))
        release.wait()


def test_queued_requests_share_a_target_fairly_and_are_woken():
    # Guards against requests that stay queued although a slot is free, and against a
    # workspace with many queued requests that takes all slots.
    dispatcher = make_dispatcher()
    order, release = [], eventlet.event.Event()
    names = ["heavy"] * 6 + ["light"] * 2
    threads = [
        eventlet.spawn(hold_slot, dispatcher, order, release, name) for name in names
    ]
    eventlet.sleep(0)
    assert dispatcher.waiting_count("p") == 7
    release.send()
    for thread in threads:
        thread.wait()
    assert [name for name, _ in order].index("light") <= 2
    assert len(order) == 8 and dispatcher.waiting_count("p") == 0
    assert dispatcher.directory.views("p")[0].in_flight == 0


def test_cancelled_waiter_holds_no_slot():
    # Guards against slots leaked by callers that disconnect while queued, before or
    # just after a slot was granted to them.
    dispatcher = make_dispatcher()
    order, release = [], eventlet.event.Event()
    eventlet.spawn(hold_slot, dispatcher, order, release, "light")
    eventlet.sleep(0)
    cancelled = [
        eventlet.spawn(hold_slot, dispatcher, order, release, "heavy") for _ in "ab"
    ]
    eventlet.sleep(0)
    cancelled[0].kill()
    assert dispatcher.waiting_count("p") == 1
    release.send()
    eventlet.sleep(0)
    # The slot was granted to the second thread, which has not run since.
    cancelled[1].kill()
    with dispatcher.assign(WorkRequest("p", "light", deadline=boottime() + 1)):
        assert dispatcher.directory.views("p")[0].in_flight == 1


def test_requests_are_shed_at_the_deadline_and_when_the_queue_is_full():
    # Guards against callers that wait past their deadline or without a bound.
    dispatcher = make_dispatcher(queue=1)
    order, release = [], eventlet.event.Event()
    eventlet.spawn(hold_slot, dispatcher, order, release, "light")
    eventlet.sleep(0)
    started_at = boottime()
    waiter = eventlet.spawn(
        hold_slot, dispatcher, order, release, "light", deadline=started_at + 0.1
    )
    eventlet.sleep(0)
    with pytest.raises(ShedError), dispatcher.assign(WorkRequest("p", "light")):
        pass
    with eventlet.Timeout(5), pytest.raises(ShedError):
        waiter.wait()
    assert boottime() - started_at < 1.0
    assert dispatcher.waiting_count("p") == 0
    release.send()


def test_results_are_counted_and_cancellation_is_not_a_failure():
    # Guards against ejecting a target because callers cancelled, and against failures
    # that are not counted.
    dispatcher = make_dispatcher(targets=2)
    request = WorkRequest(
        "p", "light", exclude=frozenset({"t1"}), deadline=boottime() + 5
    )

    def failures():
        return dispatcher._schedulers["p"].ejector.record("t0").consecutive_failures

    def run_request(error=None, report=None):
        with dispatcher.assign(request) as assignment:
            if report:
                getattr(assignment, report)()
            if error:
                raise error

    with pytest.raises(GeneratorExit):
        run_request(GeneratorExit())
    assert failures() == 0
    with pytest.raises(OSError):
        run_request(OSError())
    assert failures() == 1
    with pytest.raises(OSError):
        run_request(OSError(), report="cancelled")
    assert failures() == 1
    run_request(report="succeeded")
    assert failures() == 0
    run_request(report="failed")
    assert failures() == 1
    run_request()
    assert failures() == 0


def test_leaving_target_gets_no_requests_after_the_next_refresh():
    # Guards against new requests to a target that will stop.
    dispatcher = make_dispatcher(targets=2, concurrency=50)
    for _ in range(4):
        with dispatcher.assign(WorkRequest("p", "light")):
            pass
    leaving = LoadReport(0, 0, 8, leaving=True)
    dispatcher.directory.record_load("t0", leaving, boottime())
    dispatcher._refreshed_at.clear()
    for _ in range(20):
        with dispatcher.assign(WorkRequest("p", "light")) as assignment:
            assert assignment.id == "t1"


def test_queued_requests_are_dispatched_when_a_target_recovers():
    # Guards against requests that stay queued after all targets were unhealthy.
    dispatcher = make_dispatcher()
    for _ in range(2):
        dispatcher.directory.record_missed_poll("t0")
    order, release = [], eventlet.event.Event()
    waiter = eventlet.spawn(hold_slot, dispatcher, order, release, "light")
    eventlet.sleep(0)
    assert dispatcher.waiting_count("p") == 1
    dispatcher.directory.record_load("t0", LoadReport(0, 0, 8), boottime())
    dispatcher.dispatch_waiting()
    release.send()
    with eventlet.Timeout(5):
        waiter.wait()
    assert order == [("light", "t0")]


def test_retries_are_bounded_by_the_budget():
    # Guards against retries that multiply the load during an outage.
    dispatcher = make_dispatcher(targets=2, concurrency=50)
    for _ in range(100):
        with dispatcher.assign(WorkRequest("p", "light")):
            pass
    assert sum(dispatcher.may_retry("p") for _ in range(100)) <= 100 * 0.1 + 10
    assert not dispatcher.may_retry("p")


def test_demand_at_other_daemons_lowers_the_share_of_a_workspace():
    # Guards against a workspace that gets a full share at each daemon it uses.
    dispatcher = make_dispatcher(targets=2, concurrency=4)
    other = make_dispatcher(targets=2, concurrency=4)
    order, release = [], eventlet.event.Event()
    for _ in range(4):
        eventlet.spawn(hold_slot, other, order, release, "light")
    eventlet.spawn(hold_slot, dispatcher, order, release, "heavy")
    eventlet.sleep(0)
    heartbeat = add_traffic(peer_pb2.Heartbeat(), other)
    heartbeat.sender.vm = "other"
    apply_traffic(heartbeat, dispatcher)
    for _ in range(7):
        eventlet.spawn(hold_slot, dispatcher, order, release, "heavy")
    eventlet.sleep(0)
    dispatcher._refresh_pool("p", boottime())
    # Each workspace is entitled to half of the eight slots; some slack keeps the pool
    # busy.
    assert 4 <= dispatcher._schedulers["p"].shares.max_running <= 6
    release.send()


def test_ejections_are_reported_to_other_daemons():
    # Guards against an outage that each daemon has to detect independently.
    first, second, third = (make_dispatcher(targets=2) for _ in range(3))
    failing = WorkRequest("p", "light", exclude=frozenset({"t1"}))
    for dispatcher in (first, second):
        for _ in range(2):
            with dispatcher.assign(failing) as assignment:
                assignment.failed()
    with third.assign(WorkRequest("p", "light", exclude=frozenset({"t0"}))):
        pass
    for name, dispatcher in (("first", first), ("second", second)):
        heartbeat = add_traffic(peer_pb2.Heartbeat(), dispatcher)
        heartbeat.sender.vm = name
        apply_traffic(heartbeat, third)
    third._refresh_pool("p", boottime())
    assert third._schedulers["p"].ejector.ejected == ("t0",)
    with third.assign(WorkRequest("p", "light")) as assignment:
        assert assignment.id == "t1"


def test_reported_slowness_reaches_the_estimate_of_speeds():
    # Guards against reports that no decision uses, and against an estimate that keeps
    # targets that left the pool.
    dispatcher = make_dispatcher(targets=3, concurrency=8)
    for target in ("t0", "t1", "t2", "elsewhere"):
        dispatcher.speeds.record_interval(target, 0.05, boottime())
    for _ in range(6):
        for target, slowdown in (("t0", 1.0), ("t1", 1.0), ("t2", 5.0)):
            report = LoadReport(0, 0, 8, slowdown=slowdown)
            dispatcher.directory.record_load(target, report, boottime())
        eventlet.sleep(0.11)
        with dispatcher.assign(WorkRequest("p", "light")):
            assert dispatcher.is_uneven("p")
    dispatcher.speeds.record_interval("t0", 0.05, boottime())
    fastest = [target for _, target in dispatcher.speeds.ranking("p", boottime())]
    assert len(fastest) == 3 and fastest[-1] == "t2"
    alternative = dispatcher.best_alternative(WorkRequest("p", "light"), {"t0"})
    assert 0.03 < alternative.event_interval_s < 0.06
    assert dispatcher.best_alternative(WorkRequest("p", "light"), set(fastest)) is None


def test_a_refusal_sends_no_queued_request_to_the_same_target():
    # Guards against a queue that is emptied into a target that refuses each request,
    # for example because it loads a model.
    dispatcher = make_dispatcher(targets=2)
    report = LoadReport(0, 0, 1, slowdown=1.0)
    for target in ("t0", "t1"):
        dispatcher.directory.record_load(target, report, boottime())
    order, release = [], eventlet.event.Event()
    hold = eventlet.spawn(hold_slot, dispatcher, order, release, "light")
    eventlet.sleep(0)
    busy = order[0][1]
    with dispatcher.assign(WorkRequest("p", "light")) as refusing:
        waiting = eventlet.spawn(hold_slot, dispatcher, order, release, "heavy")
        eventlet.sleep(0)
        dispatcher.directory.record_load(refusing.id, report, boottime())
        refusing.refused()
    eventlet.sleep(0)
    assert refusing.id != busy and len(order) == 1
    release.send()
    for thread in (hold, waiting):
        thread.wait()
    assert order[1] == ("heavy", busy)
