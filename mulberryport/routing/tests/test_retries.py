"""Tests of the retry budget."""

import hypothesis.strategies as st
from hypothesis import given, settings

from ..retries import RetryBudget


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(st.tuples(st.booleans(), st.floats(0, 5)), max_size=300))
def test_budget_never_allows_more_than_its_rate(actions):
    # Guards against retries that multiply the load during an outage.
    budget = RetryBudget(burst=2.0)
    now = requests = retries = 0
    for is_request, elapsed in actions:
        now += elapsed
        if is_request:
            budget.record_request()
            requests += 1
        else:
            retries += budget.try_consume(now)
        allowed = (
            budget.burst + budget.ratio * requests + budget.min_retries_per_s * now
        )
        assert retries <= allowed + 1e-6


def test_pool_with_little_traffic_can_retry():
    # Guards against a budget that stays empty in a pool with little traffic.
    budget = RetryBudget(refilled_at=0.0)
    for _ in range(100):
        budget.try_consume(0.0)
    assert budget.try_consume(11.0)
