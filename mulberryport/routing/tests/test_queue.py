"""Tests of the fair queue."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..queue import LOOK_AHEAD, FairQueue, Ticket
from .builders import work

weights_by_workspace = st.dictionaries(
    st.sampled_from("abcdef"),
    st.floats(0.01, 1000, allow_nan=False),
    min_size=2,
)


def ticket(workspace, **values):
    """Return a waiter that ignores what becomes of it."""
    return Ticket(work(workspace, **values), lambda _: None)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(weights_by_workspace, st.lists(st.floats(0.1, 4.0), min_size=1, max_size=12))
def test_backlogged_workspaces_get_their_share(weights, costs):
    # Guards against a workspace that gets more or less than its weight's share,
    # by more than a quantum and one request, while all of them wait.
    queue = FairQueue(weights.__getitem__, 100_000)
    waiting = dict.fromkeys(weights, 0)
    for name in weights:
        for n in range(60):
            queue.add(ticket(name, cost=costs[n % len(costs)]))
            waiting[name] += 1
    served = dict.fromkeys(weights, 0.0)
    mean = sum(weights.values()) / len(weights)
    quantum = {name: weight / mean for name, weight in weights.items()}
    while True:
        popped = queue.pop()
        served[popped.work.workspace] += popped.work.cost
        waiting[popped.work.workspace] -= 1
        if not waiting[popped.work.workspace]:
            break
        # Rounds that the furthest workspace has completed for certain: its last
        # request may go beyond its quantum, and its last turn may be unfinished.
        rounds = max((served[n] - max(costs)) / quantum[n] for n in weights) - 1
        for name in weights:
            assert served[name] >= rounds * quantum[name] - 1e-6


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "add", "cancel", "pop"]),
            st.sampled_from("abc"),
            st.integers(0, 9),
            st.integers(0, 30),
        ),
        max_size=80,
    )
)
def test_no_waiter_is_lost_and_cancelled_ones_hold_no_place(actions):
    # Guards against waiters that are forgotten, served after their cancellation
    # or still counted, and against a queue beyond its bound.
    queue = FairQueue(lambda _: 1.0, 4)
    present = []
    for action, workspace, priority, index in actions:
        if action == "add":
            added = ticket(workspace, priority=priority)
            present.append(added)
            lost = queue.add(added)
            if lost is not None:
                longest = max(
                    sum(t.work.workspace == w for t in present) for w in "abc"
                )
                mine = [t for t in present if t.work.workspace == lost.work.workspace]
                assert len(mine) == longest
                assert lost.work.priority == min(t.work.priority for t in mine)
                present.remove(lost)
        elif action == "cancel" and present:
            cancelled = present.pop(index % len(present))
            assert queue.remove(cancelled)
            assert not queue.remove(cancelled)
        elif action == "pop":
            popped = queue.pop()
            assert (popped is None) == (not present)
            if popped is not None:
                present.remove(popped)
        assert len(queue) == len(present) <= 4
    while (popped := queue.pop()) is not None:
        present.remove(popped)
    assert not present


def test_urgent_requests_come_first_within_a_workspace_only():
    # Guards against a workspace that gains share by marking requests as urgent.
    queue = FairQueue(lambda _: 1.0, 100)
    for n in range(10):
        queue.add(ticket("calm", priority=0, prefix=str(n)))
        queue.add(ticket("urgent", priority=n, prefix=str(n)))
    first = [queue.pop().work for _ in range(10)]
    assert sum(w.workspace == "calm" for w in first) == 5
    urgent = [w.priority for w in first if w.workspace == "urgent"]
    assert urgent == [9, 8, 7, 6, 5]


def test_waiters_are_not_passed_over_for_ever():
    # Guards against a request without a warm prefix that never gets its turn.
    queue = FairQueue(lambda _: 1.0, 1000)
    cold = ticket("w")
    queue.add(cold)
    for _ in range(100):
        queue.add(ticket("w", prefix="warm"))
    order = [queue.pop(prefers=lambda w: w.prefix == "warm") for _ in range(50)]
    assert order.index(cold) == LOOK_AHEAD
