"""Guards against lengths that decisions cannot use, whatever callers estimate."""

from hypothesis import given
from hypothesis import strategies as st

from ..lengths import expected_remaining_events

COUNTS = st.integers(0, 2**31 - 1)


@given(COUNTS, COUNTS, st.integers(0, 100_000))
def test_remaining_events_are_positive_and_finite(hint, tokens_per_event, generated):
    """Guards against an item that is never started or always moved."""
    remaining = expected_remaining_events(hint, tokens_per_event, generated)
    assert 1.0 <= remaining <= 2**31
