"""Tests of the policy of a pool."""

from collections import Counter

import hypothesis.strategies as st
import pytest
from attrs import evolve
from hypothesis import given, settings

from ..model import ShedError
from ..queue import Ticket
from ..scheduler import Grant, Result
from .builders import report, scheduler, view, work

flags = st.fixed_dictionaries(
    {
        "leaving": st.booleans(),
        "healthy": st.booleans(),
        "cheap": st.booleans(),
        "zone": st.sampled_from("ab"),
        "report": st.none() | st.builds(report, st.integers(0, 9), st.integers(0, 9)),
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
def test_rules_hold_in_any_history(history):
    # Guards against work for leaving, unhealthy, ejected or excluded targets, for
    # cheap targets that may not take it, beyond a limit, and after a cancellation.
    views = [view(f"t{n}") for n in range(4)]
    policy = scheduler(views)
    running, waiting, cancelled = [], [], []
    now = 0.0

    def granted(grant):
        assert grant.work not in [t.work for t in cancelled]
        seen = {v.id: v for v in views}[grant.candidate.id]
        assert seen.selectable
        assert grant.candidate.id not in grant.work.exclude
        assert grant.probe == (grant.candidate.id in policy.ejector.ejected)
        assert grant.probe or grant.candidate.own <= seen.limit
        on_demand = [v for v in views if not v.cheap and not v.leaving]
        assert grant.work.restartable or not seen.cheap or not on_demand
        running.append(grant)

    def notify(outcome):
        if isinstance(outcome, Grant):
            granted(outcome)
        waiting[:] = [t for t in waiting if t in list_of_waiters()]

    def list_of_waiters():
        return [t for line in policy.queue._all_lines() for t in line]

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
                place = policy.submit(request, notify, now)
            except ShedError:
                continue
            if isinstance(place, Grant):
                granted(place)
            else:
                waiting.append(place)
        elif action == "release" and running:
            policy.release(running.pop(index % len(running)), result, now)
        elif action == "cancel" and waiting:
            ticket = waiting.pop(index % len(waiting))
            cancelled.append(ticket)
            policy.cancel(ticket)
        elif action == "update":
            views = [view(f"t{n}", **values) for n, values in enumerate(flag_sets)]
            policy.update(views, now)
        held = Counter(grant.candidate.id for grant in running)
        for name, count in held.items():
            candidate = policy.targets.get(name)
            assert candidate is None or candidate.own == count
        assert len(policy.queue) == len(waiting) <= 8


def test_waiter_is_served_by_a_released_place():
    # Guards against waiters that are not woken when a place becomes free.
    policy = scheduler([view("a", limit=1)])
    outcomes = []
    first = policy.submit(work("w"), outcomes.append, 0.0)
    assert isinstance(policy.submit(work("x"), outcomes.append, 0.0), Ticket)
    policy.release(first, Result.SUCCEEDED, 1.0)
    assert [grant.work.workspace for grant in outcomes] == ["x"]


def test_full_queue_sheds_the_longest_workspace():
    # Guards against a small workspace that is refused because of a large one.
    policy = scheduler([view("a", limit=1)], queue=3)
    outcomes = []
    policy.submit(work("large"), outcomes.append, 0.0)
    for _ in range(3):
        policy.submit(work("large"), outcomes.append, 0.0)
    assert isinstance(policy.submit(work("small"), outcomes.append, 0.0), Ticket)
    assert [type(outcome) for outcome in outcomes] == [ShedError]
    with pytest.raises(ShedError):
        policy.submit(work("large"), outcomes.append, 0.0)


def test_group_shares_a_target_until_it_is_busy():
    # Guards against the samples of a group that are spread over all engines, and
    # against a hot prefix that overruns its engine.
    views = [view(f"t{n}", limit=32, report=report(capacity=16)) for n in range(5)]
    policy = scheduler(views)
    grants = [policy.submit(work(affinity="g"), print, 0.0) for _ in range(24)]
    places = Counter(grant.candidate.id for grant in grants)
    assert len({grant.candidate.id for grant in grants[:4]}) == 1
    assert max(places.values()) <= 16
    assert len(places) > 1


def test_load_of_other_daemons_takes_places():
    # Guards against a daemon that fills a target which others have filled already.
    busy = view("a", limit=8, report=report(8, 4, 8), report_age=0.0)
    policy = scheduler([busy])
    assert isinstance(policy.submit(work(), print, 0.0), Grant)
    assert isinstance(policy.submit(work(), print, 0.0), Ticket)


def test_own_zone_first_until_it_is_busy():
    # Guards against needless traffic between zones and against an overrun zone.
    views = [
        view("near", report=report(1, capacity=16), limit=16, report_age=0.0),
        view("far", zone="b", report=report(capacity=16), limit=16, report_age=0.0),
    ]
    policy = scheduler(views)
    for _ in range(20):
        grant = policy.submit(work(), print, 0.0)
        assert grant.candidate.id == "near"
        policy.release(grant, Result.SUCCEEDED, 0.0)
    views[0] = evolve(views[0], report=report(8, capacity=16))
    policy.update(views, 1.0)
    assert policy.submit(work(), print, 1.0).candidate.id == "far"


def test_probe_brings_an_ejected_target_back():
    # Guards against a target that stays out after it has recovered, and against
    # several requests that are risked at once.
    policy = scheduler([view("a"), view("b", zone="b")])
    for _ in range(2):
        grant = policy.submit(
            work(restartable=True, exclude=frozenset({"b"})), print, 0
        )
        policy.release(grant, Result.FAILED, 0.0)
    assert policy.ejector.ejected == ("a",)
    during = [policy.submit(work(restartable=True), print, 1.0) for _ in range(2)]
    assert {grant.candidate.id for grant in during} == {"b"}
    only_a = policy.submit(work(exclude=frozenset({"b"})), print, 1.0)
    assert isinstance(only_a, Ticket)
    policy.cancel(only_a)
    after = [policy.submit(work(restartable=True), print, 20.0) for _ in range(2)]
    assert [grant.candidate.id for grant in after] == ["a", "b"]
    policy.release(after[0], Result.SUCCEEDED, 21.0)
    assert policy.ejector.ejected == ()


def test_daemon_keeps_to_its_part_of_a_contended_pool():
    # Guards against a daemon that takes the places due to others' workspaces.
    views = [view("a", limit=20, report=report(capacity=20))]
    policy = scheduler(views, queue=50)
    policy.shares.use_remote("other", {"x": 50}, 0.0)
    places = [policy.submit(work("w"), print, 0.0) for _ in range(2)]
    places += [policy.submit(work("w"), lambda _: None, 0.0) for _ in range(30)]
    running = [place for place in places if isinstance(place, Grant)]
    policy.update(views, 1.0)
    while policy._total > policy.shares.cap:
        policy.release(running.pop(), Result.SUCCEEDED, 1.0)
    # Half of the places, with the slack and one more.
    assert 10 <= policy._total <= 12
    policy.submit(work("w"), lambda _: None, 1.0)
    policy.update(views, 1.5)
    assert 10 <= policy._total <= 12
