"""Tests of the division of a pool between daemons."""

import hypothesis.strategies as st
from hypothesis import given, settings
from pytest import approx

from ..sharing import Shares, max_min_fair_shares

names = "abcd"
demands = st.dictionaries(st.sampled_from(names), st.integers(1, 50), max_size=4)
weights = st.fixed_dictionaries({name: st.floats(0.01, 1000) for name in names})


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 100), demands, weights)
def test_max_min_fair_shares_use_all_slots_and_are_fair(slots, demand, weights):
    # Guards against slots that stay idle while requests wait, and against an
    # unsatisfied workspace that gets less per weight than another workspace.
    shares = max_min_fair_shares(slots, demand, weights.__getitem__)
    assert sum(shares.values()) == approx(min(slots, sum(demand.values())))
    rates = {name: shares[name] / weights[name] for name in shares}
    for name in shares:
        assert shares[name] <= demand[name] * (1 + 1e-9)
        if shares[name] < demand[name] * (1 - 1e-9):
            assert rates[name] >= max(rates.values()) * (1 - 1e-6)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(1, 100), st.lists(demands, min_size=2, max_size=5), weights)
def test_daemons_share_all_slots(slots, demand, weights):
    # Guards against daemons that together leave slots idle, or use far more slots than
    # the pool has.
    daemons = [Shares(weights.__getitem__) for _ in demand]
    for n, shares in enumerate(daemons):
        for other, wanted in enumerate(demand):
            if other != n:
                shares.update_remote_demand(str(other), wanted, 0.0)
        shares.update(demand[n], slots, 1.0)
    total = sum(sum(wanted.values()) for wanted in demand)
    if total > slots:
        assert slots <= sum(shares.max_running for shares in daemons)
        assert sum(shares.max_running - 2 for shares in daemons) <= 1.1 * slots + 1e-6
    else:
        assert all(shares.max_running == float("inf") for shares in daemons)


def test_demand_of_a_lost_daemon_expires():
    # Guards against slots that stay reserved for a dead daemon.
    shares = Shares(lambda _: 1.0)
    shares.update_remote_demand("lost", {"a": 50}, 0.0)
    shares.update({"b": 50}, 10, 1.0)
    assert shares.max_running < 10
    shares.update({"b": 50}, 10, 4.0)
    assert shares.max_running == float("inf")
