"""Tests of the sizing policy."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st

from ..sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    needed_targets,
    next_size,
    plan_cost,
    plan_pool,
)

bounds = st.builds(
    lambda minimum, more, cheap_share, spending: PoolBounds(
        minimum=minimum,
        maximum=minimum + more,
        cheap_share=cheap_share,
        spending=spending,
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
def test_plans_keep_the_bounds_and_the_floor(limits, size, zones, on_demand_floor):
    """Guards against exceeding the spending limit and undercutting the floor.

    The floor is the on-demand capacity for work that cannot be restarted; it must
    exist before all cheap targets of a zone are reclaimed.
    """
    plan = plan_pool(limits, size, zones, on_demand_floor)
    totals = [counts.total for counts in plan.values()]
    assert all(limits.minimum <= n <= limits.maximum for n in totals)
    on_demand = sum(counts.on_demand for counts in plan.values())
    cheap = sum(counts.cheap for counts in plan.values())
    lowest, highest = limits.minimum * len(zones), limits.maximum * len(zones)
    assert on_demand >= min(on_demand_floor, highest)
    assert cheap <= limits.cheap_share * (on_demand + cheap) + 1e-9
    assert all(plan[name].cheap == 0 for name in zones if not zones[name])
    if not limits.spending:
        assert sum(totals) == min(max(size, on_demand_floor, lowest), highest)
    elif plan_cost(plan) > limits.spending + 1e-9:
        assert sum(totals) <= max(lowest, on_demand_floor)
    # The loss of a zone removes no more than its share of the cheap targets.
    if all(zones.values()) and not limits.spending:
        assert max(w.cheap for w in plan.values()) <= math.ceil(cheap / len(zones))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.floats(0, 200), min_size=1, max_size=60), st.integers(0, 8))
def test_sizes_rise_at_once_and_fall_slowly(demands, initial_size):
    """Guards against orders that change with every fluctuation of the load."""
    state, step = SizeState(initial_size), 10.0
    history = []
    for index, demand in enumerate(demands):
        state = next_size(state, demand, 16, index * step)
        history.append(state.size)
        assert state.size >= needed_targets(demand, 16, DEFAULT_POLICY.utilisation)
    falls = [i for i in range(1, len(history)) if history[i] < history[i - 1]]
    assert all(history[i - 1] - history[i] == 1 for i in falls)
    rises = [i for i in range(1, len(history)) if history[i] > history[i - 1]]
    wait = math.ceil(DEFAULT_POLICY.scale_down_delay_s / step)
    assert not [(r, f) for f in falls for r in rises if 0 < f - r < wait]
    interval = round(DEFAULT_POLICY.scale_down_interval_s / step)
    for i in falls:
        recent = demands[max(0, i - interval) : i + 1]
        low_utilisation = DEFAULT_POLICY.low_utilisation
        assert all(
            needed_targets(d, 16, low_utilisation) < history[i - 1] for d in recent
        )
