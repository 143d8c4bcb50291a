"""Tests of what is known of targets, and of when it ends.

Guards against state that is kept by id and outlives the process or the address that it
is about: such a target got no more requests for as long as it stayed listed.
"""

import pytest
from attrs import evolve

from ...routing import LoadReport
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables, TargetSpec
from ..directory import TargetDirectory
from ..dispatcher import Dispatcher, WorkRequest
from ..vm_list import ListedVm

FIRST = ListedVm("e1", "127.0.0.1:1", "a", "p", False, False, 4, {"m": 5}, born=1000)
MOVED = evolve(FIRST, address="127.0.0.1:2", born=2000)
RESTARTED = evolve(FIRST, born=2000)


def make_directory(*vms, targets=()):
    """Return a directory with pool p and a list of VMs."""
    directory = TargetDirectory()
    pool = Pool(name="p", kind="model-engine", targets=targets, concurrency=4)
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"p": pool})))
    directory.apply_vm_list(vms)
    return directory


def view_in(directory):
    """Return the view of the only target."""
    (view,) = directory.views("p")
    return view


@pytest.mark.parametrize("back", [MOVED, RESTARTED])
@pytest.mark.parametrize("is_unlisted", [False, True])
@pytest.mark.parametrize("in_flight", [0, 1])
def test_a_target_is_used_again_when_it_returns_under_its_id(
    back, is_unlisted, in_flight
):
    directory = make_directory(FIRST)
    for _ in range(in_flight):
        directory.request_started("e1")
    directory.mark_address_reused(view_in(directory))
    assert not view_in(directory).selectable
    directory.apply_vm_list([evolve(FIRST, versions={"m": 6})])
    assert not view_in(directory).selectable
    if is_unlisted:
        directory.apply_vm_list([])
    directory.apply_vm_list([back])
    assert view_in(directory).selectable
    assert view_in(directory).in_flight == in_flight


@pytest.mark.parametrize("back", [MOVED, RESTARTED])
def test_news_of_a_reused_address_that_is_late_is_about_the_former_target(back):
    # The response of another target may arrive after the new registration.
    directory = make_directory(FIRST)
    former = view_in(directory)
    directory.apply_vm_list([back])
    directory.mark_address_reused(former)
    assert view_in(directory).selectable


def test_several_targets_that_lose_their_addresses_all_return():
    vms = [evolve(FIRST, id=f"e{n}", address=f"127.0.0.1:{n}") for n in (1, 2, 3)]
    directory = make_directory(*vms)
    for round_number in (1, 2):
        for view in directory.views("p"):
            directory.mark_address_reused(view)
        assert not any(view.selectable for view in directory.views("p"))
        vms = [
            evolve(vm, address=f"127.0.0.1:{10 * round_number + n}", born=vm.born + 9)
            for n, vm in enumerate(vms)
        ]
        directory.apply_vm_list(vms)
        assert all(view.selectable for view in directory.views("p"))


def test_a_configured_target_is_used_again_at_a_new_address():
    spec = TargetSpec("t0", "127.0.0.1:1", "a")
    directory = make_directory(targets=(spec,))
    directory.mark_address_reused(view_in(directory))
    assert not view_in(directory).selectable
    pool = Pool(
        name="p",
        kind="model-engine",
        targets=(evolve(spec, address="127.0.0.1:2"),),
        concurrency=4,
    )
    directory.apply_snapshot(Snapshot(2, "d", Tables(pools={"p": pool})))
    assert view_in(directory).selectable


def make_unusable(directory):
    """Record that a target is leaving, silent and loading its model."""
    report = LoadReport(running=9, waiting=9, capacity=4, leaving=True)
    directory.record_load("e1", report, boottime())
    directory.record_weight_version("e1", "m", 9)
    directory.suspend_model("e1", "m", 60.0)
    directory.mark_unresponsive("e1", boottime())


@pytest.mark.parametrize("back", [MOVED, RESTARTED])
def test_what_a_process_reported_ends_with_it(back):
    directory = make_directory(FIRST)
    make_unusable(directory)
    before = view_in(directory)
    assert not before.selectable and not before.versions
    directory.apply_vm_list([back])
    view = view_in(directory)
    assert view.selectable and view.report is None
    assert view.versions == {"m": 5}


def test_what_a_process_reported_holds_while_it_is_listed_unchanged():
    directory = make_directory(FIRST)
    make_unusable(directory)
    directory.apply_vm_list([evolve(FIRST, slots=8)])
    assert not view_in(directory).selectable
    assert view_in(directory).report.running == 9


def fail_at(dispatcher, target, count):
    """Let requests fail at one target."""
    others = {view.id for view in dispatcher.directory.views("p")} - {target}
    work = WorkRequest("p", "w", exclude=frozenset(others))
    for _ in range(count):
        with dispatcher.assign(work) as assignment:
            assignment.failed()


def ejected_in(dispatcher):
    """Return the ejected targets of the pool, with the newest list applied."""
    dispatcher._refresh_pool("p", boottime())
    return dispatcher._schedulers["p"].ejector.ejected


def test_an_ejection_ends_with_the_process_that_failed():
    other = evolve(FIRST, id="e2", address="127.0.0.1:9")
    directory = make_directory(FIRST, other)
    dispatcher = Dispatcher(directory, "a")
    fail_at(dispatcher, "e1", 2)
    assert ejected_in(dispatcher) == ("e1",)
    directory.apply_vm_list([MOVED, other])
    assert ejected_in(dispatcher) == ()
    work = WorkRequest("p", "w", exclude=frozenset({"e2"}), deadline=boottime() + 0.5)
    with dispatcher.assign(work) as assignment:
        assert assignment.address == MOVED.address


def test_requests_that_fail_at_the_former_process_do_not_count_for_the_new_one():
    other = evolve(FIRST, id="e2", address="127.0.0.1:9")
    directory = make_directory(FIRST, other)
    dispatcher = Dispatcher(directory, "a")
    work = WorkRequest("p", "w", exclude=frozenset({"e2"}))
    with dispatcher.assign(work) as first, dispatcher.assign(work) as second:
        first.failed()
        second.failed()
        directory.apply_vm_list([MOVED, other])
        assert ejected_in(dispatcher) == ()
    assert ejected_in(dispatcher) == ()
    candidate = dispatcher._schedulers["p"].targets.get("e1")
    assert (candidate.own_requests, candidate.failure_penalty) == (0, 0.0)
    assert view_of_id(directory, "e1").in_flight == 0


def view_of_id(directory, target):
    """Return the view of a target."""
    return next(view for view in directory.views("p") if view.id == target)
