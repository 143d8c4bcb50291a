"""Sizing policy."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from ..sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    needed_targets,
    next_size,
    plan_pool,
    spending,
)

bounds = st.builds(
    lambda minimum, more, share, spend: PoolBounds(
        minimum=minimum, maximum=minimum + more, cheap_share=share, spending=spend
    ),
    st.integers(0, 3),
    st.integers(0, 6),
    st.sampled_from([0.0, 0.3, 0.5, 0.8, 1.0]),
    st.sampled_from([0.0, 2.0, 5.0, 9.5]),
)
zone_states = st.fixed_dictionaries(
    {name: st.booleans() for name in ("rosario", "parana", "santa-fe")}
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(bounds, st.integers(0, 30), zone_states, st.integers(0, 12))
def test_plans_keep_the_bounds_and_the_floor(limits, size, zones, fixed_needed):
    """Guards against spending past the bound, and against losing the floor.

    The floor is on-demand capacity for work that cannot be run again, which must
    be there before a whole cheap zone vanishes.
    """
    plan = plan_pool(limits, size, zones, fixed_needed)
    totals = [wanted.total for wanted in plan.values()]
    assert all(limits.minimum <= n <= limits.maximum for n in totals)
    on_demand = sum(wanted.on_demand for wanted in plan.values())
    cheap = sum(wanted.cheap for wanted in plan.values())
    lowest, highest = limits.minimum * len(zones), limits.maximum * len(zones)
    assert on_demand >= min(fixed_needed, highest)
    assert cheap <= limits.cheap_share * (on_demand + cheap) + 1e-9
    assert all(plan[name].cheap == 0 for name in zones if not zones[name])
    if not limits.spending:
        assert sum(totals) == min(max(size, fixed_needed, lowest), highest)
    elif spending(plan) > limits.spending + 1e-9:
        assert sum(totals) <= max(lowest, fixed_needed)
    # A zone that is lost takes no more than its part of the cheap targets.
    if all(zones.values()) and not limits.spending:
        assert max(w.cheap for w in plan.values()) <= math.ceil(cheap / len(zones))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.floats(0, 200), min_size=1, max_size=60), st.integers(0, 8))
def test_sizes_rise_at_once_and_fall_slowly(demands, first):
    """Guards against orders that follow every fluctuation of the load."""
    state, step = SizeState(first), 10.0
    history = []
    for index, demand in enumerate(demands):
        state = next_size(state, demand, 16, index * step)
        history.append(state.size)
        assert state.size >= needed_targets(demand, 16, DEFAULT_POLICY.utilisation)
    falls = [i for i in range(1, len(history)) if history[i] < history[i - 1]]
    assert all(history[i - 1] - history[i] == 1 for i in falls)
    rises = [i for i in range(1, len(history)) if history[i] > history[i - 1]]
    wait = math.ceil(DEFAULT_POLICY.down_after / step)
    assert not [(r, f) for f in falls for r in rises if 0 < f - r < wait]
    interval = round(DEFAULT_POLICY.down_interval / step)
    for i in falls:
        recent = demands[max(0, i - interval) : i + 1]
        low = DEFAULT_POLICY.low_utilisation
        assert all(needed_targets(d, 16, low) < history[i - 1] for d in recent)
