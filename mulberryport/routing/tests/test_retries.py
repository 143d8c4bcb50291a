"""Tests of the retry budget."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..retries import RetryBudget


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=300))
def test_budget_never_allows_more_than_its_rate(actions):
    # Guards against retries that multiply the load of an outage.
    budget = RetryBudget(burst=2.0)
    now = requests = retries = 0
    for is_request, elapsed in actions:
        now += elapsed
        if is_request:
            budget.requested()
            requests += 1
        else:
            retries += budget.take(now)
        allowed = budget.burst + budget.ratio * requests + budget.minimum * now
        assert retries <= allowed + 1e-6


def test_quiet_pool_still_retries():
    # Guards against a pool with little traffic that never retries again.
    budget = RetryBudget(now=0.0)
    for _ in range(100):
        budget.take(0.0)
    assert budget.take(11.0)
