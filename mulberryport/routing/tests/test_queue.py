"""Tests of the fair queue."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..queue import LOOK_AHEAD, FairQueue, QueuedRequest
from .builders import work

weights_by_workspace = st.dictionaries(
    st.sampled_from("abcdef"),
    st.floats(0.01, 1000, allow_nan=False),
    min_size=2,
)


def queued_request(workspace, **values):
    """Return a queued request that ignores its outcome."""
    return QueuedRequest(work(workspace, **values), lambda _: None)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(weights_by_workspace, st.lists(st.floats(0.1, 4.0), min_size=1, max_size=12))
def test_backlogged_workspaces_get_their_share(weights, costs):
    # Guards against a workspace whose share differs from its weight by more than a
    # quantum and one request while all workspaces have queued requests.
    queue = FairQueue(weights.__getitem__, 100_000)
    waiting = dict.fromkeys(weights, 0)
    for name in weights:
        for n in range(60):
            queue.add(queued_request(name, cost=costs[n % len(costs)]))
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
        # Rounds that the most advanced workspace has certainly completed: its last
        # request may exceed its quantum, and its last turn may be unfinished.
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
def test_no_request_is_lost_and_cancelled_requests_are_not_counted(actions):
    # Guards against requests that are lost, or served or counted after their
    # cancellation, and against a queue that exceeds its maximum length.
    queue = FairQueue(lambda _: 1.0, 4)
    queued = []
    for action, workspace, priority, index in actions:
        if action == "add":
            added = queued_request(workspace, priority=priority)
            queued.append(added)
            evicted = queue.add(added)
            if evicted is not None:
                longest = max(sum(t.work.workspace == w for t in queued) for w in "abc")
                same_workspace = [
                    t for t in queued if t.work.workspace == evicted.work.workspace
                ]
                assert len(same_workspace) == longest
                assert evicted.work.priority == min(
                    t.work.priority for t in same_workspace
                )
                queued.remove(evicted)
        elif action == "cancel" and queued:
            cancelled = queued.pop(index % len(queued))
            assert queue.remove(cancelled)
            assert not queue.remove(cancelled)
        elif action == "pop":
            popped = queue.pop()
            assert (popped is None) == (not queued)
            if popped is not None:
                queued.remove(popped)
        assert len(queue) == len(queued) <= 4
    while (popped := queue.pop()) is not None:
        queued.remove(popped)
    assert not queued


def test_urgent_requests_come_first_within_a_workspace_only():
    # Guards against a workspace that gets a larger share by marking its requests as
    # urgent.
    queue = FairQueue(lambda _: 1.0, 100)
    for n in range(10):
        queue.add(queued_request("calm", priority=0, prefix=str(n)))
        queue.add(queued_request("urgent", priority=n, prefix=str(n)))
    first = [queue.pop().work for _ in range(10)]
    assert sum(w.workspace == "calm" for w in first) == 5
    urgent = [w.priority for w in first if w.workspace == "urgent"]
    assert urgent == [9, 8, 7, 6, 5]


def test_number_of_skips_is_bounded():
    # Guards against starvation of a request whose prefix is not cached.
    queue = FairQueue(lambda _: 1.0, 1000)
    cold = queued_request("w")
    queue.add(cold)
    for _ in range(100):
        queue.add(queued_request("w", prefix="warm"))
    order = [queue.pop(prefers=lambda w: w.prefix == "warm") for _ in range(50)]
    assert order.index(cold) == LOOK_AHEAD
