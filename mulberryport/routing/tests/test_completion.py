"""Tests of the selection by the expected time until a request ends."""

import math
import random
from collections import Counter

import hypothesis.strategies as st
from hypothesis import given, settings

from ..candidates import CandidateSet
from ..completion import MAX_TIME_S, Reason, choose_earliest, completion_time, demand_of
from ..model import LoadReport
from ..scheduler import Result
from ..speeds import SpeedEstimate, TargetSpeeds
from .builders import scheduler, view, work

PARTS = (("aa", 1000), ("bb", 16))


def _load(running=0, waiting=0, capacity=8, slowdown=1.0):
    return LoadReport(running, waiting, capacity, slowdown=slowdown)


def _view(name, load=None, age=0.0, **values):
    return view(name, report=load or _load(), report_age=age, limit=16, **values)


def _pool(views, intervals=None, memory_tokens=0):
    """Return the targets of an uneven pool, with measured event intervals."""
    targets = CandidateSet("a")
    for name, interval_s in (intervals or {}).items():
        for _ in range(20):
            targets.speeds.record_interval(name, interval_s, 0.0)
    targets.prefixes.memory_tokens = memory_tokens
    targets.update_views(views, 0.0)
    targets.update_eligibility([])
    assert targets.is_uneven
    return targets


def _choices(targets, times=100, parts=PARTS, events=20.0, **values):
    generator = random.Random(1)
    request = work(
        restartable=True, prompt_parts=parts, expected_events=events, **values
    )
    return Counter(
        choice.candidate.id if (choice := _choose(targets, request, generator)) else ""
        for _ in range(times)
    )


def _choose(targets, request, generator):
    return choose_earliest(targets, request, generator, 0.0)


def _keep(targets, name, parts=PARTS):
    reading = targets.prefixes.start(targets.get(name).view, "", parts, 1.0, 0.0)
    targets.prefixes.finish(reading, was_read=True)


def test_texts_go_to_the_targets_that_are_fast():
    # Guards against texts that bind a step on targets that are 1.3 times slower.
    targets = _pool([_view("fast"), _view("slow")], {"fast": 0.05, "slow": 0.065})
    assert _choices(targets) == {"fast": 100}
    assert _choose(targets, work(), random.Random(1)).reason is Reason.SPEED


def test_slow_wave_is_avoided_and_a_prefix_there_does_not_attract():
    # Guards against a kept beginning of some milliseconds that costs a second.
    views = [_view(name) for name in ("a", "b", "slow")]
    targets = _pool(views, {"a": 0.05, "b": 0.05, "slow": 0.2})
    _keep(targets, "slow")
    assert _choices(targets)["slow"] == 0


def test_kept_prefix_decides_between_equal_targets():
    # Guards against a prompt that every target reads again.
    targets = _pool([_view(f"t{n}") for n in range(6)])
    _keep(targets, "t3")
    choice = _choose(targets, work(prompt_parts=PARTS), random.Random(1))
    assert (choice.candidate.id, choice.kept_tokens) == ("t3", 1016)
    assert choice.reason is Reason.PREFIX


def test_kept_prefix_on_a_full_target_does_not_attract():
    # Guards against a wait of a run time that saves a reading of milliseconds.
    views = [_view("full", _load(running=8)), _view("idle")]
    for idle_s in (0.05, 0.5):
        targets = _pool(views, {"full": 0.05, "idle": idle_s})
        _keep(targets, "full")
        assert _choices(targets) == {"idle": 100}
    assert _choose(targets, work(), random.Random(1)).reason is Reason.ROOM


def test_full_targets_are_used_if_no_other_has_room():
    # Guards against requests that wait here while targets could queue them.
    full = _load(running=8)
    targets = _pool([_view("a", full), _view("b", _load(running=8, waiting=2))])
    assert _choices(targets) == {"a": 100}


def test_text_that_does_not_fit_beside_what_runs_goes_elsewhere():
    # Guards against texts that are put back and read again for lack of memory.
    targets = _pool([_view("tight"), _view("free")], memory_tokens=4000)
    running = (("cc", 10), ("dd", 3500))
    targets.prefixes.start(targets.get("tight").view, "", running, 1.0, 0.0)
    _keep(targets, "tight", PARTS[:1])
    assert _choices(targets, events=600.0) == {"free": 100}


def test_requests_of_a_group_share_targets_until_these_are_busier():
    # Guards against a group whose items each read the prompt, or all run at one target.
    pool = scheduler([_view(f"t{n}") for n in range(12)])
    assert pool.targets.is_uneven
    kept_tokens = 0
    for number in range(16):
        parts = (PARTS[0], (f"{number:x}", 16))
        request = work(prompt_parts=parts, expected_events=20.0)
        kept_tokens += pool.submit(request, print, 0.0).kept_tokens
    used = [c.own_requests for c in pool.targets.all if c.own_requests]
    assert 2 <= len(used) <= 8
    assert max(used) <= 8
    assert kept_tokens == 1000 * (16 - len(used))


def test_stale_news_spreads_requests_over_the_targets():
    # Guards against daemons that all send to the target that was idle once.
    busy = [_view(f"t{n}", _load(running=3), age=30.0) for n in range(4)]
    stale = _pool([*busy, _view("idle", age=30.0)])
    assert _choices(stale)["idle"] < 50
    fresh = _pool([*(_view(f"t{n}", _load(running=5)) for n in range(4)), _view("x")])
    assert _choices(fresh) == {"x": 100}
    speeds = {"a": 0.05, "b": 0.052}
    assert len(_choices(_pool([_view("a"), _view("b")], speeds))) == 1
    old = [_view("a", age=10.0), _view("b", age=10.0)]
    assert _choices(_pool(old, speeds))["b"] > 20
    kept = _pool(old, speeds)
    _keep(kept, "b")
    assert _choices(kept)["a"] > 20


def test_home_is_chosen_where_nothing_is_known():
    # Guards against daemons that read the same prompt at different targets.
    first = _choices(_pool([_view(f"t{n}") for n in range(9)]), affinity="g")
    second = _choices(_pool([_view(f"t{n}") for n in range(8, -1, -1)]), affinity="g")
    assert len(first) == 1
    assert first == second
    assert len(_choices(_pool([_view(f"t{n}") for n in range(9)]))) == 9


def test_large_pools_are_sampled_and_searched_when_full():
    # Guards against a choice whose duration grows with the pool, and against requests
    # that wait although the sample just missed the free targets.
    views = [_view(f"t{n}", _load(running=20)) for n in range(299)]
    pool = scheduler([*views, _view("free")], queue=0)
    for candidate in pool.targets.all:
        candidate.own_requests = 2 if candidate.id != "free" else 0
    assert set(_choices(pool.targets, times=3)) == {"free"}


numbers = st.integers(0, 2**31 - 1)
loads = st.builds(
    LoadReport, numbers, numbers, numbers, slowdown=st.none() | st.floats(0.01, 1000)
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.tuples(loads, st.floats(0, math.inf), st.sampled_from("ab")),
        min_size=1,
        max_size=5,
    ),
    st.lists(st.tuples(st.sampled_from("xyz"), numbers), max_size=3).map(tuple),
    st.floats(0, 2**31),
    numbers,
    st.floats(1e-9, 60.0),
    numbers,
)
def test_times_are_finite_whatever_targets_report(
    reports, parts, events, memory_tokens, interval_s, kept
):
    # Guards against a report that makes one target free of cost, or all of them nan.
    views = [
        view(f"t{n}", report=load, report_age=age, zone=zone)
        for n, (load, age, zone) in enumerate(reports)
    ]
    targets = CandidateSet("a")
    targets.speeds.record_interval("t0", interval_s, 0.0)
    targets.prefixes.memory_tokens = memory_tokens
    targets.update_views(views, 0.0)
    targets.update_eligibility([])
    request = work(prompt_parts=parts, expected_events=events)
    demand = demand_of(request, targets)
    for candidate in targets.all:
        time_s = completion_time(candidate, demand, targets, kept, False)
        assert 0.0 <= time_s <= MAX_TIME_S
    choose_earliest(targets, request, random.Random(1), 0.0)


def test_speeds_of_nothing_do_not_break_the_choice():
    # Guards against an estimate that is no number and hides all targets.
    class Broken(TargetSpeeds):
        def estimate(self, target, now):
            return SpeedEstimate(math.nan if target == "t0" else 0.0, 0.0)

    targets = CandidateSet("a", speeds=Broken())
    targets.update_views([_view("t0"), _view("t1")], 0.0)
    targets.update_eligibility([])
    assert all(0.0 < c.event_interval_s < math.inf for c in targets.all)
    assert _choices(targets).keys() == {"t0", "t1"}


def test_memory_of_ended_requests_is_free_again():
    # Guards against targets that look full for ever, and refusals that look like reads.
    pool = scheduler([_view("t")])
    pool.targets.prefixes.memory_tokens = 5000
    request = work(prompt_parts=PARTS, expected_events=100.0)
    for result, kept in ((Result.CANCELLED, 0), (Result.SUCCEEDED, 1016)):
        grant = pool.submit(request, print, 0.0)
        assert pool.targets.prefixes.free_tokens("t", 0.0) < 5000
        pool.release(grant, result, 2.0)
        assert pool.targets.prefixes.free_tokens("t", 0.0) == 5000
        assert pool.targets.prefixes.kept_tokens("t", "", PARTS, 2.0) == kept
    assert pool.targets.run_times.mean_s == 2.0
