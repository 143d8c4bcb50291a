"""Tests of the concurrency limit."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..limits import ConcurrencyLimit
from .builders import report

steps = st.tuples(
    st.sampled_from(["fast", "slow", "unmeasured", "failed", "waiting", "idle"]),
    st.integers(1, 40),
    st.floats(0, 3),
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.integers(1, 30), st.lists(steps, max_size=60), st.integers(1, 30))
def test_limit_stays_in_its_bounds(ceiling, actions, changed):
    # Guards against a limit of zero, which would strand a target, and against
    # more requests than the pool's settings allow.
    limit = ConcurrencyLimit(ceiling)
    now = 0.0
    for n, (action, in_flight, elapsed) in enumerate(actions):
        now += elapsed
        if n == 30:
            limit.use_ceiling(changed)
        latencies = {"fast": 0.1, "slow": 5.0, "unmeasured": None}
        if action in latencies:
            limit.succeeded(latencies[action], in_flight, now)
        elif action == "failed":
            limit.failed(now)
        else:
            limit.reported(report(8, 9 if action == "waiting" else 0), now)
        assert 1 <= limit.value <= limit.ceiling


def test_limit_follows_latency():
    # Guards against a daemon that keeps sending to an overloaded target, and
    # against a limit that stays low after the overload.
    limit = ConcurrencyLimit(16)
    for n in range(50):
        limit.succeeded(0.1, 16, n * 0.1)
    for n in range(40):
        limit.succeeded(5.0, 16, 10.0 + n)
    assert limit.value <= 4
    for n in range(400):
        limit.succeeded(0.1, limit.value, 60.0 + n * 0.1)
    assert limit.value == 16


def test_daemons_converge_to_equal_limits():
    # Guards against a daemon that was there first and keeps the whole target, and
    # against a target that is overrun by several daemons.
    limits = [ConcurrencyLimit(64), ConcurrencyLimit(64)]
    limits[1]._value = 4.0
    for second in range(300):
        used = sum(limit.value for limit in limits)
        seen = report(min(40, used), max(0, used - 40), 40)
        for limit in limits:
            limit.reported(seen, float(second))
            for _ in range(limit.value):
                limit.succeeded(None, limit.value, float(second))
    low, high = sorted(limit.value for limit in limits)
    assert high <= 1.5 * low
    assert 40 <= low + high <= 1.5 * 40
