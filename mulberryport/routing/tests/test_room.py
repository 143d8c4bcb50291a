"""Tests of callers that compete for the room of a pool whose targets are uneven."""

import heapq
import math
from collections import Counter
from itertools import count

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from ..model import LoadReport, NoRoomError
from ..queue import QueuedRequest
from ..room import RunTimes, TargetRoom, retry_delay_s
from ..scheduler import Grant, Result
from .builders import scheduler, view, work

RUN_S = 0.2
SLOTS = 6


def uneven(name, running=0, waiting=0, age=0.0, **values):
    """Return a target that tells how long work takes there."""
    load = LoadReport(running, waiting, SLOTS, slowdown=1.0)
    defaults = {"limit": SLOTS, "report": load, "report_age": age}
    return view(name, **{**defaults, **values})


def measured(views, **values):
    """Return a scheduler that has measured run times."""
    pool = scheduler(views, **values)
    pool.targets.run_times.record(RUN_S)
    pool.update(views, 0.0)
    return pool


def test_a_target_that_was_full_is_not_tried_at_once():
    # Guards against requests to a target that has just reported a queue, and against a
    # target that is avoided for longer than its requests run.
    pool = measured([uneven("full", SLOTS, 4), uneven("free", 1)])
    grants = [pool.submit(work(), print, 0.0) for _ in range(4)]
    assert {grant.candidate.id for grant in grants} == {"free"}
    granted = []
    pool.submit(work(exclude=frozenset({"free"})), granted.append, 0.01)
    assert not granted
    pool.submit(work(exclude=frozenset({"free"})), granted.append, RUN_S)
    assert [grant.candidate.id for grant in granted] == ["full"]


def test_refusals_avoid_a_target_for_longer_up_to_a_run():
    # Guards against a wave of attempts at a full target, and against a target that is
    # never tried again.
    pool = measured([uneven("a", age=0.5)])
    now, pauses = 0.0, []
    for _ in range(6):
        grant = pool.submit(work(), print, now)
        pool.release(grant, Result.REFUSED, now)
        refused_at = now
        while not pool.targets.get("a").free_slots:
            now += 0.001
            pool.targets.update_room(now)
        pauses.append(now - refused_at)
    assert pauses[0] >= 0.5 * RUN_S / SLOTS - 0.001
    assert pauses[0] < pauses[-1] <= 1.5 * RUN_S + 0.001


def test_a_report_of_room_ends_the_pause_after_a_refusal():
    # Guards against a target with free slots that is avoided although it says so.
    pool = measured([uneven("a", age=0.5)])
    pool.release(pool.submit(work(), print, 1.0), Result.REFUSED, 1.0)
    assert not pool.targets.get("a").free_slots
    pool.update([uneven("a", 1)], 1.01)
    assert pool.targets.get("a").free_slots


def test_even_pools_ignore_refusals_and_hedge_freely():
    # Guards against other decisions where targets do not tell how long work takes.
    pool = scheduler([view("a", report=LoadReport(0, 0, SLOTS))])
    grant = pool.submit(work(), print, 0.0)
    pool.release(grant, Result.REFUSED, 0.0)
    assert pool.targets.get("a").free_slots == 4
    assert all(pool.may_hedge(work(), 0.0) for _ in range(50))


@settings(derandomize=True, deadline=None)
@given(
    st.floats(allow_nan=True),
    st.floats(allow_nan=True),
    st.floats(0, 1),
    st.integers(-5, 10**9),
)
def test_no_figure_is_negative_or_nan(expected_s, duration_s, draw, capacity):
    # Guards against times that are negative, nan or without end, whatever was measured.
    times, room = RunTimes(), TargetRoom()
    times.record(duration_s)
    room.record_run(duration_s)
    room.record_refusal(capacity, times.assumed_s, draw, 10.0)
    assert 10.0 <= room.full_until < math.inf
    delay_s = retry_delay_s(max(0.0, expected_s), 1.5, draw)
    assert 0.0 <= delay_s <= 0.5


def test_expected_wait_follows_queue_shares_and_run_times():
    # Guards against an estimate that ignores free slots, the workspace or run times.
    pool = measured([uneven("a", limit=2)], queue=40)
    assert pool.expected_wait_s(work("small"), 0.0) == 0.0
    for _ in range(14):
        pool.submit(work("large"), print, 0.0)
    assert len(pool.queue) == 12
    small_s = pool.expected_wait_s(work("small"), 0.0)
    large_s = pool.expected_wait_s(work("large"), 0.0)
    assert small_s == pytest.approx(2 * RUN_S / SLOTS)
    assert large_s == pytest.approx(13 * RUN_S / SLOTS)


def test_callers_go_before_items_of_their_workspace_only():
    # Guards against callers who wait behind a step, and against a workspace that gains
    # by its callers what belongs to another.
    pool = measured([uneven("a", limit=1)], queue=40)
    grant, order = pool.submit(work("w"), print, 0.0), []
    for name, is_item in [("w", True)] * 3 + [("w", False)] * 2 + [("x", True)] * 3:
        request = work(name, is_resubmitted=is_item)
        pool.submit(request, order.append, 0.0)
    for step in range(8):
        pool.release(grant, Result.SUCCEEDED, 0.2 * step + 0.2)
        grant = order[step]
    kinds = [(g.work.workspace, g.work.is_resubmitted) for g in order]
    assert [item for name, item in kinds if name == "w"] == [False] * 2 + [True] * 3
    assert sum(name == "x" for name, _ in kinds[:6]) == 3


def test_hedges_need_room_time_and_budget():
    # Guards against copies that take the last room, end too late, or come in a wave.
    pool = measured([uneven("a"), uneven("b")])
    tried = work(exclude=frozenset({"a"}), deadline=5.0)
    assert not pool.may_hedge(tried, 5.0 - RUN_S / 2)
    assert sum(pool.may_hedge(tried, 0.0) for _ in range(100)) <= 10
    full = measured([uneven("a"), uneven("b", SLOTS, 5)])
    assert not full.may_hedge(tried, 0.0)


def play_burst(lost: int, callers: int):
    """Play a burst at four targets of which some are lost; each caller retries once."""
    views = [uneven(f"t{n}") for n in range(4)]
    pool = measured(views, queue=1000)
    pool.update(views[lost:], 0.0)
    served, refused, attempts, number = [], [], [], count()
    events = [(n * 0.5 / callers, next(number), "come", (n, 0)) for n in range(callers)]
    while events:
        now, _, kind, value = heapq.heappop(events)
        if kind == "end":
            pool.release(value, Result.SUCCEEDED, now)
            continue
        caller, tries = value
        deadline = caller * 0.5 / callers + 1.5
        attempts.append(now)

        def granted(outcome, at=now):
            if isinstance(outcome, Grant):
                begun = outcome.granted_at
                served.append((outcome.work.workspace, begun))
                heapq.heappush(events, (begun + RUN_S, next(number), "end", outcome))

        request = work("ab"[caller % 2], deadline=deadline)
        try:
            outcome = pool.submit(request, granted, now)
        except NoRoomError as error:
            refused.append((now, deadline))
            back = now + error.retry_after
            assert 0.0 < error.retry_after <= (deadline - now) / 3 + 1e-9
            if not tries:
                heapq.heappush(events, (back, next(number), "come", (caller, 1)))
            continue
        if not isinstance(outcome, QueuedRequest):
            granted(outcome)
    return served, refused, attempts


def test_burst_after_a_loss_of_room_is_no_wave_of_retries():
    # Guards against callers who wait in vain until their deadline, come back together,
    # or keep others from being served; a quarter of the targets is lost.
    served, refused, attempts = play_burst(lost=1, callers=300)
    room = 3 * SLOTS / RUN_S
    assert refused and all(deadline - now > 0.5 for now, deadline in refused[:50])
    assert len(served) >= 0.9 * min(300, room * 1.5)
    per_100_ms = Counter(int(at * 10) for at in attempts)
    assert max(per_100_ms.values()) <= 1.5 * 300 / 5
    shares = Counter(workspace for workspace, _ in served)
    assert min(shares.values()) >= 0.4 * len(served)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(
    st.dictionaries(st.sampled_from("abcd"), st.integers(1, 4), min_size=2),
    st.lists(st.booleans(), min_size=4, max_size=4),
)
def test_no_workspace_is_below_its_share_while_another_is_above(weights, items):
    # Guards against refusals and the order of the queue that starve a workspace.
    pool = measured([uneven("a"), uneven("b")], queue=1000)
    pool.shares.base_weight = lambda name: float(weights.get(name, 1))
    order, running = [], []

    def granted(outcome):
        if isinstance(outcome, Grant):
            running.append(outcome)
            order.append(outcome.work.workspace)

    is_item = dict(zip(sorted(weights), items, strict=False))

    def fill(now):
        for name in weights:
            for _ in range(40 - pool.queue.lengths[name]):
                request = work(name, is_resubmitted=is_item[name], deadline=now + 60)
                outcome = pool.submit(request, granted, now)
                if isinstance(outcome, Grant):
                    granted(outcome)

    for step in range(120):
        fill(step * 0.1)
        pool.release(running.pop(0), Result.SUCCEEDED, step * 0.1 + 0.05)
    served, total = Counter(order[30:]), sum(weights.values())
    for name, weight in weights.items():
        share = weight / total * sum(served.values())
        assert abs(served[name] - share) <= 0.1 * sum(served.values()) + 2


def test_targets_are_not_full_for_ever_if_they_no_longer_tell_how_slow_they_are():
    # Guards against a pool that takes nothing after its software was rolled back.
    pool = scheduler([uneven("a", running=8, waiting=8)])
    assert isinstance(pool.submit(work(), print, 0.0), QueuedRequest)
    pool.update([view("a", report=LoadReport(0, 0, 8), report_age=0.0)], 1.0)
    assert pool.targets.get("a").free_slots > 0


def test_target_that_stays_full_is_tried_again_soon_despite_long_runs():
    # Guards against a new daemon that never gets a slot while others fill the targets
    # with requests of many seconds.
    room = TargetRoom()
    full = {"reported_at": 0.0}
    assert room.is_full(3.0, 8, 60.0, now=0.1, **full)
    assert not room.is_full(3.0, 8, 60.0, now=0.9, **full)
