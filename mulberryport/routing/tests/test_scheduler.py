"""Tests of the scheduler of a pool."""

from collections import Counter

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given, settings

from ..model import ShedError
from ..queue import QueuedRequest
from ..scheduler import Grant, Result
from .builders import report, scheduler, view, work

flags = st.fixed_dictionaries(
    {
        "leaving": st.booleans(),
        "evacuated": st.booleans(),
        "healthy": st.booleans(),
        "cheap": st.booleans(),
        "zone": st.sampled_from("ab"),
        "report": st.none()
        | st.builds(
            report,
            st.integers(0, 9),
            st.integers(0, 9),
            slowdown=st.none() | st.floats(0.1, 10.0),
        ),
        "report_age": st.floats(0, 20),
        "limit": st.integers(1, 5),
    }
)
actions = st.lists(
    st.tuples(
        st.sampled_from(["submit", "submit", "release", "cancel", "update"]),
        st.integers(0, 50),
        st.sampled_from(list(Result)),
        st.booleans(),
        st.lists(flags, min_size=1, max_size=5),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(actions)
def test_invariants_hold_for_any_sequence_of_calls(history):
    # Guards against requests sent to leaving, unhealthy, ejected or excluded targets,
    # to cheap targets although they are not restartable, above a limit, or after
    # their cancellation.
    views = [view(f"t{n}") for n in range(4)]
    pool_scheduler = scheduler(views)
    running, waiting, cancelled = [], [], []
    now = 0.0

    def check_grant(grant):
        assert grant.work not in [t.work for t in cancelled]
        target_view = {v.id: v for v in views}[grant.candidate.id]
        assert target_view.selectable
        assert grant.candidate.id not in grant.work.exclude
        assert grant.probe == (grant.candidate.id in pool_scheduler.ejector.ejected)
        assert grant.probe or grant.candidate.own_requests <= target_view.limit
        on_demand = [v for v in views if not (v.cheap or v.leaving or v.evacuated)]
        assert grant.work.restartable or not target_view.cheap or not on_demand
        running.append(grant)

    def notify(outcome):
        if isinstance(outcome, Grant):
            check_grant(outcome)
        waiting[:] = [t for t in waiting if t in queued_requests()]

    def queued_requests():
        return [t for flow in pool_scheduler.queue._all_flows() for t in flow]

    for number, (action, index, result, restartable, flag_sets) in enumerate(history):
        now += 0.7
        if action == "submit":
            request = work(
                "wx"[index % 2],
                prefix=str(number),
                restartable=restartable,
                exclude=frozenset({"t0"} if index % 3 == 0 else ()),
            )
            try:
                outcome = pool_scheduler.submit(request, notify, now)
            except ShedError:
                continue
            if isinstance(outcome, Grant):
                check_grant(outcome)
            else:
                waiting.append(outcome)
        elif action == "release" and running:
            pool_scheduler.release(running.pop(index % len(running)), result, now)
        elif action == "cancel" and waiting:
            cancelled_request = waiting.pop(index % len(waiting))
            cancelled.append(cancelled_request)
            pool_scheduler.cancel(cancelled_request)
        elif action == "update":
            views = [view(f"t{n}", **values) for n, values in enumerate(flag_sets)]
            pool_scheduler.update(views, now)
        running_by_target = Counter(grant.candidate.id for grant in running)
        for name, count in running_by_target.items():
            candidate = pool_scheduler.targets.get(name)
            assert candidate is None or candidate.own_requests == count
        assert len(pool_scheduler.queue) == len(waiting) <= 8


def test_released_slot_goes_to_a_queued_request():
    # Guards against queued requests that are not dispatched when a slot becomes free.
    pool_scheduler = scheduler([view("a", limit=1)])
    outcomes = []
    first = pool_scheduler.submit(work("w"), outcomes.append, 0.0)
    assert isinstance(
        pool_scheduler.submit(work("x"), outcomes.append, 0.0), QueuedRequest
    )
    pool_scheduler.release(first, Result.SUCCEEDED, 1.0)
    assert [grant.work.workspace for grant in outcomes] == ["x"]


def test_full_queue_evicts_from_the_workspace_with_most_requests():
    # Guards against a full queue of one workspace that causes requests of another
    # workspace to be rejected.
    pool_scheduler = scheduler([view("a", limit=1)], queue=3)
    outcomes = []
    pool_scheduler.submit(work("large"), outcomes.append, 0.0)
    for _ in range(3):
        pool_scheduler.submit(work("large"), outcomes.append, 0.0)
    assert isinstance(
        pool_scheduler.submit(work("small"), outcomes.append, 0.0), QueuedRequest
    )
    assert [type(outcome) for outcome in outcomes] == [ShedError]
    with pytest.raises(ShedError):
        pool_scheduler.submit(work("large"), outcomes.append, 0.0)


def test_group_shares_a_target_until_it_is_busy():
    # Guards against the samples of a group being spread over all engines, and against a
    # frequent prefix that overloads its engine.
    views = [view(f"t{n}", limit=32, report=report(capacity=16)) for n in range(5)]
    pool_scheduler = scheduler(views)
    grants = [pool_scheduler.submit(work(affinity="g"), print, 0.0) for _ in range(24)]
    requests_by_target = Counter(grant.candidate.id for grant in grants)
    assert len({grant.candidate.id for grant in grants[:4]}) == 1
    assert max(requests_by_target.values()) <= 16
    assert len(requests_by_target) > 1


def test_load_of_other_daemons_reduces_free_slots():
    # Guards against a daemon that sends requests to a target which other daemons have
    # already filled.
    busy = view("a", limit=8, report=report(8, 4, 8), report_age=0.0)
    pool_scheduler = scheduler([busy])
    assert isinstance(pool_scheduler.submit(work(), print, 0.0), Grant)
    assert isinstance(pool_scheduler.submit(work(), print, 0.0), QueuedRequest)


def test_own_zone_first_until_it_is_busy():
    # Guards against unnecessary traffic between zones and against an overloaded zone.
    views = [
        view("near", report=report(1, capacity=16), limit=16, report_age=0.0),
        view("far", zone="b", report=report(capacity=16), limit=16, report_age=0.0),
    ]
    pool_scheduler = scheduler(views)
    for _ in range(20):
        grant = pool_scheduler.submit(work(), print, 0.0)
        assert grant.candidate.id == "near"
        pool_scheduler.release(grant, Result.SUCCEEDED, 0.0)
    views[0] = evolve(views[0], report=report(8, capacity=16))
    pool_scheduler.update(views, 1.0)
    assert pool_scheduler.submit(work(), print, 1.0).candidate.id == "far"


def test_successful_probe_readmits_an_ejected_target():
    # Guards against a target that stays ejected after it has recovered, and against
    # more than one probe at the same time.
    pool_scheduler = scheduler([view("a"), view("b", zone="b")])
    for _ in range(2):
        grant = pool_scheduler.submit(
            work(restartable=True, exclude=frozenset({"b"})), print, 0
        )
        pool_scheduler.release(grant, Result.FAILED, 0.0)
    assert pool_scheduler.ejector.ejected == ("a",)
    during = [
        pool_scheduler.submit(work(restartable=True), print, 1.0) for _ in range(2)
    ]
    assert {grant.candidate.id for grant in during} == {"b"}
    only_a = pool_scheduler.submit(work(exclude=frozenset({"b"})), print, 1.0)
    assert isinstance(only_a, QueuedRequest)
    pool_scheduler.cancel(only_a)
    after = [
        pool_scheduler.submit(work(restartable=True), print, 20.0) for _ in range(2)
    ]
    assert [grant.candidate.id for grant in after] == ["a", "b"]
    pool_scheduler.release(after[0], Result.SUCCEEDED, 21.0)
    assert pool_scheduler.ejector.ejected == ()


def test_daemon_uses_only_its_share_of_a_contended_pool():
    # Guards against a daemon that uses the slots due to workspaces of other daemons.
    views = [view("a", limit=20, report=report(capacity=20))]
    pool_scheduler = scheduler(views, queue=50)
    pool_scheduler.shares.update_remote_demand("other", {"x": 50}, 0.0)
    outcomes = [pool_scheduler.submit(work("w"), print, 0.0) for _ in range(2)]
    outcomes += [
        pool_scheduler.submit(work("w"), lambda _: None, 0.0) for _ in range(30)
    ]
    running = [outcome for outcome in outcomes if isinstance(outcome, Grant)]
    pool_scheduler.update(views, 1.0)
    while pool_scheduler._running_count > pool_scheduler.shares.max_running:
        pool_scheduler.release(running.pop(), Result.SUCCEEDED, 1.0)
    # Half of the slots, plus the slack and one more.
    assert 10 <= pool_scheduler._running_count <= 12
    pool_scheduler.submit(work("w"), lambda _: None, 1.0)
    pool_scheduler.update(views, 1.5)
    assert 10 <= pool_scheduler._running_count <= 12


def test_waiting_callers_are_refused_once_all_zones_are_evacuated():
    # Guards against callers that wait until their deadline for evacuated targets.
    pool_scheduler = scheduler([view("t")])
    outcomes, resubmitted = [], []
    while isinstance(pool_scheduler.submit(work(), outcomes.append, 0.0), Grant):
        pass
    pool_scheduler.submit(work(is_resubmitted=True), resubmitted.append, 0.0)
    pool_scheduler.update([view("t", evacuated=True)], 0.1)
    assert [type(outcome) for outcome in outcomes] == [ShedError]
    assert outcomes[0].retry_after is not None
    assert not resubmitted and len(pool_scheduler.queue) == 1
