"""Tests of the concurrency limit."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..limits import ConcurrencyLimit
from .builders import report

events = st.tuples(
    st.sampled_from(["fast", "slow", "unmeasured", "failed", "waiting", "idle"]),
    st.integers(1, 40),
    st.floats(0, 3),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(1, 30), st.lists(events, max_size=60), st.integers(1, 30))
def test_limit_stays_in_its_bounds(ceiling, actions, new_ceiling):
    # Guards against a limit of zero, with which a target would never be used again, and
    # against more requests than the pool's settings allow.
    limit = ConcurrencyLimit(ceiling)
    now = 0.0
    for n, (action, in_flight, elapsed) in enumerate(actions):
        now += elapsed
        if n == 30:
            limit.set_ceiling(new_ceiling)
        latencies = {"fast": 0.1, "slow": 5.0, "unmeasured": None}
        if action in latencies:
            limit.record_success(latencies[action], in_flight, now)
        elif action == "failed":
            limit.record_failure(now)
        else:
            limit.record_load_report(report(8, 9 if action == "waiting" else 0), now)
        assert 1 <= limit.value <= limit.ceiling


def test_limit_follows_latency():
    # Guards against a daemon that does not reduce its load on an overloaded target, and
    # against a limit that stays low after the overload.
    limit = ConcurrencyLimit(16)
    for n in range(50):
        limit.record_success(0.1, 16, n * 0.1)
    for n in range(40):
        limit.record_success(5.0, 16, 10.0 + n)
    assert limit.value <= 4
    for n in range(400):
        limit.record_success(0.1, limit.value, 60.0 + n * 0.1)
    assert limit.value == 16


def test_daemons_converge_to_equal_limits():
    # Guards against a daemon that arrived first and keeps the whole capacity, and
    # against a target that is overloaded by several daemons.
    limits = [ConcurrencyLimit(64), ConcurrencyLimit(64)]
    limits[1]._value = 4.0
    for second in range(300):
        used = sum(limit.value for limit in limits)
        load_report = report(min(40, used), max(0, used - 40), 40)
        for limit in limits:
            limit.record_load_report(load_report, float(second))
            for _ in range(limit.value):
                limit.record_success(None, limit.value, float(second))
    low, high = sorted(limit.value for limit in limits)
    assert high <= 1.5 * low
    assert 40 <= low + high <= 1.5 * 40
