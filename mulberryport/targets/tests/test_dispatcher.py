"""Tests of the dispatcher."""

import eventlet
import pytest

from ...peering import peer_pb2
from ...routing import LoadReport
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables, TargetSpec, Workspace
from ..demand import add_demand, take_demand
from ..directory import TargetDirectory
from ..dispatcher import Dispatcher, ShedError, WorkRequest


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
    directory.use_snapshot(snapshot)
    dispatcher.use_snapshot(snapshot)
    return dispatcher


def hold(dispatcher, order, release, workspace, **values):
    """Hold a place until ``release`` is sent."""
    with dispatcher.assign(WorkRequest("p", workspace, **values)) as place:
        order.append((workspace, place.id))
        release.wait()


def test_waiters_share_a_target_fairly_and_are_woken():
    # Guards against waiters that sleep although a place is free, and against a
    # workspace with many waiters that takes all places.
    dispatcher = make_dispatcher()
    order, release = [], eventlet.event.Event()
    names = ["heavy"] * 6 + ["light"] * 2
    threads = [eventlet.spawn(hold, dispatcher, order, release, name) for name in names]
    eventlet.sleep(0)
    assert dispatcher.waiting("p") == 7
    release.send()
    for thread in threads:
        thread.wait()
    assert [name for name, _ in order].index("light") <= 2
    assert len(order) == 8 and dispatcher.waiting("p") == 0
    assert dispatcher.directory.views("p")[0].in_flight == 0


def test_cancelled_waiter_holds_no_place():
    # Guards against places lost to callers that went away while they waited,
    # before or just after a place was given to them.
    dispatcher = make_dispatcher()
    order, release = [], eventlet.event.Event()
    eventlet.spawn(hold, dispatcher, order, release, "light")
    eventlet.sleep(0)
    gone = [eventlet.spawn(hold, dispatcher, order, release, "heavy") for _ in "ab"]
    eventlet.sleep(0)
    gone[0].kill()
    assert dispatcher.waiting("p") == 1
    release.send()
    eventlet.sleep(0)
    # The place was given to the second one, which has not run since.
    gone[1].kill()
    with dispatcher.assign(WorkRequest("p", "light", deadline=boottime() + 1)):
        assert dispatcher.directory.views("p")[0].in_flight == 1


def test_deadline_and_full_queue_shed_before_the_start():
    # Guards against callers that wait past their deadline or without a bound.
    dispatcher = make_dispatcher(queue=1)
    order, release = [], eventlet.event.Event()
    eventlet.spawn(hold, dispatcher, order, release, "light")
    eventlet.sleep(0)
    begun = boottime()
    waiter = eventlet.spawn(
        hold, dispatcher, order, release, "light", deadline=begun + 0.1
    )
    eventlet.sleep(0)
    with pytest.raises(ShedError), dispatcher.assign(WorkRequest("p", "light")):
        pass
    with eventlet.Timeout(5), pytest.raises(ShedError):
        waiter.wait()
    assert boottime() - begun < 1.0
    assert dispatcher.waiting("p") == 0
    release.send()


def test_results_are_counted_and_cancellation_is_not_a_failure():
    # Guards against ejecting a target because callers went away, and against
    # failures that are not counted.
    dispatcher = make_dispatcher(targets=2)
    request = WorkRequest(
        "p", "light", exclude=frozenset({"t1"}), deadline=boottime() + 5
    )

    def failures():
        return dispatcher._schedulers["p"].ejector.record("t0").consecutive_failures

    def end(error=None, report=None):
        with dispatcher.assign(request) as place:
            if report:
                getattr(place, report)()
            if error:
                raise error

    with pytest.raises(GeneratorExit):
        end(GeneratorExit())
    assert failures() == 0
    with pytest.raises(OSError):
        end(OSError())
    assert failures() == 1
    with pytest.raises(OSError):
        end(OSError(), report="cancelled")
    assert failures() == 1
    end(report="succeeded")
    assert failures() == 0
    end(report="failed")
    assert failures() == 1
    end()
    assert failures() == 0


def test_leaving_target_gets_no_work_after_the_next_view():
    # Guards against new work for a target that will stop.
    dispatcher = make_dispatcher(targets=2, concurrency=50)
    for _ in range(4):
        with dispatcher.assign(WorkRequest("p", "light")):
            pass
    leaving = LoadReport(0, 0, 8, leaving=True)
    dispatcher.directory.report("t0", leaving, boottime())
    dispatcher._viewed_at.clear()
    for _ in range(20):
        with dispatcher.assign(WorkRequest("p", "light")) as place:
            assert place.id == "t1"


def test_refresh_serves_waiters_when_a_target_returns():
    # Guards against waiters that sleep after all targets were unhealthy.
    dispatcher = make_dispatcher()
    for _ in range(2):
        dispatcher.directory.poll_missed("t0")
    order, release = [], eventlet.event.Event()
    waiter = eventlet.spawn(hold, dispatcher, order, release, "light")
    eventlet.sleep(0)
    assert dispatcher.waiting("p") == 1
    dispatcher.directory.report("t0", LoadReport(0, 0, 8), boottime())
    dispatcher.refresh()
    release.send()
    with eventlet.Timeout(5):
        waiter.wait()
    assert order == [("light", "t0")]


def test_retries_are_bounded_by_the_budget():
    # Guards against retries that multiply the load of an outage.
    dispatcher = make_dispatcher(targets=2, concurrency=50)
    for _ in range(100):
        with dispatcher.assign(WorkRequest("p", "light")):
            pass
    assert sum(dispatcher.may_retry("p") for _ in range(100)) <= 100 * 0.1 + 10
    assert not dispatcher.may_retry("p")


def test_demand_of_other_daemons_lowers_a_greedy_share():
    # Guards against a workspace that gets a share at each daemon it reaches.
    dispatcher = make_dispatcher(targets=2, concurrency=4)
    other = make_dispatcher(targets=2, concurrency=4)
    order, release = [], eventlet.event.Event()
    for _ in range(4):
        eventlet.spawn(hold, other, order, release, "light")
    eventlet.spawn(hold, dispatcher, order, release, "heavy")
    eventlet.sleep(0)
    heartbeat = add_demand(peer_pb2.Heartbeat(), other)
    heartbeat.sender.vm = "other"
    take_demand(heartbeat, dispatcher)
    for _ in range(7):
        eventlet.spawn(hold, dispatcher, order, release, "heavy")
    eventlet.sleep(0)
    dispatcher._update("p", boottime())
    # Eight places are due in halves; some slack keeps the pool busy.
    assert 4 <= dispatcher._schedulers["p"].shares.max_running <= 6
    release.send()


def test_ejections_are_told_to_other_daemons():
    # Guards against an outage that each daemon finds out by itself.
    first, second, third = (make_dispatcher(targets=2) for _ in range(3))
    failing = WorkRequest("p", "light", exclude=frozenset({"t1"}))
    for dispatcher in (first, second):
        for _ in range(2):
            with dispatcher.assign(failing) as place:
                place.failed()
    with third.assign(WorkRequest("p", "light", exclude=frozenset({"t0"}))):
        pass
    for name, dispatcher in (("first", first), ("second", second)):
        heartbeat = add_demand(peer_pb2.Heartbeat(), dispatcher)
        heartbeat.sender.vm = name
        take_demand(heartbeat, third)
    third._update("p", boottime())
    assert third._schedulers["p"].ejector.ejected == ("t0",)
    with third.assign(WorkRequest("p", "light")) as place:
        assert place.id == "t1"
