"""Tests of the shares of daemons."""

import hypothesis.strategies as st
from hypothesis import given, settings
from pytest import approx

from ..sharing import Shares, due_places

names = "abcd"
demands = st.dictionaries(st.sampled_from(names), st.integers(1, 50), max_size=4)
weights = st.fixed_dictionaries({name: st.floats(0.01, 1000) for name in names})


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(0, 100), demands, weights)
def test_due_places_are_used_up_and_fair(places, demand, weights):
    # Guards against places that stay idle while requests wait, and against a
    # workspace that gets less per weight than one that wants as much.
    due = due_places(places, demand, weights.__getitem__)
    assert sum(due.values()) == approx(min(places, sum(demand.values())))
    rates = {name: due[name] / weights[name] for name in due}
    for name in due:
        assert due[name] <= demand[name] * (1 + 1e-9)
        if due[name] < demand[name] * (1 - 1e-9):
            assert rates[name] >= max(rates.values()) * (1 - 1e-6)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.integers(1, 100), st.lists(demands, min_size=2, max_size=5), weights)
def test_daemons_share_all_places(places, demand, weights):
    # Guards against daemons that together leave places idle or claim far more.
    daemons = [Shares(weights.__getitem__) for _ in demand]
    for n, shares in enumerate(daemons):
        for other, wanted in enumerate(demand):
            if other != n:
                shares.use_remote(str(other), wanted, 0.0)
        shares.update(demand[n], places, 1.0)
    total = sum(sum(wanted.values()) for wanted in demand)
    if total > places:
        assert places <= sum(shares.cap for shares in daemons)
        assert sum(shares.cap - 2 for shares in daemons) <= 1.1 * places + 1e-6
    else:
        assert all(shares.cap == float("inf") for shares in daemons)


def test_figures_of_a_lost_daemon_are_forgotten():
    # Guards against places that are kept for a daemon which has died.
    shares = Shares(lambda _: 1.0)
    shares.use_remote("lost", {"a": 50}, 0.0)
    shares.update({"b": 50}, 10, 1.0)
    assert shares.cap < 10
    shares.update({"b": 50}, 10, 4.0)
    assert shares.cap == float("inf")
