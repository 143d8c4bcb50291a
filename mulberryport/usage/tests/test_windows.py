"""Tests of merging counters and of reporting late usage."""

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from ..counters import CounterKey, UsageAmounts, merge_counters
from ..windows import (
    MAX_LATE_WINDOWS,
    decode_window,
    encode_window,
    freeze_window,
    reported_amounts,
)

amounts = st.builds(
    UsageAmounts, st.integers(0, 50), st.integers(0, 500), st.integers(0, 5)
)
keys = st.builds(
    CounterKey,
    st.sampled_from(["vm1", "vm2"]),
    st.integers(1, 2),
    st.sampled_from(["roads", "hauliers"]),
    st.just("desk"),
    st.integers(100, 103),
)
copies = st.dictionaries(keys, amounts, max_size=8)


def merge_copies(
    *parts: dict[CounterKey, UsageAmounts],
) -> dict[CounterKey, UsageAmounts]:
    result: dict[CounterKey, UsageAmounts] = {}
    for part in parts:
        merge_counters(result, part.items())
    return result


@settings(derandomize=True, deadline=None, max_examples=200)
@given(copies, copies, copies)
def test_merging_counts_no_copy_twice_and_depends_on_no_order(first, second, third):
    # Guards against counting usage twice because a copy arrived twice, by another
    # path, or after a newer one.
    assert merge_copies(first, first) == merge_copies(first)
    assert merge_copies(first, second) == merge_copies(second, first)
    assert merge_copies(merge_copies(first, second), third) == merge_copies(
        first, merge_copies(second, third)
    )


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.tuples(keys, amounts, st.integers(0, 6), st.booleans()), max_size=20),
    st.sets(st.integers(100, 108)),
)
def test_all_reports_together_equal_all_counted_service(events, reporter_changes):
    """Each increment belongs to one window and becomes visible some windows later.

    Guards against late increments that are lost or reported twice, including the case
    that a new reporter knows only what is in the store.
    """
    increments = [
        (key, increment, key.window + late, twice)
        for key, increment, late, twice in events
    ]
    served: dict[CounterKey, UsageAmounts] = {}
    seen: dict[CounterKey, UsageAmounts] = {}
    stored: list[bytes] = []
    frozen = []
    reported = UsageAmounts()
    for window in range(100, 111):
        for key, increment, visible_at, _ in increments:
            if visible_at == window:
                served[key] = served.get(key, UsageAmounts()) + increment
                # The copy that the reporter receives is cumulative.
                merge_counters(seen, [(key, served[key])])
        if window in reporter_changes:
            frozen = [decode_window(content) for content in stored]
        result = freeze_window(0, window, 60, seen, reported_amounts(frozen))
        frozen.append(result)
        stored.append(encode_window(result))
        report = orjson.loads(result.report)
        assert all(entry["window"] < window for entry in report["carried"])
        for entry in report["figures"] + report["carried"]:
            reported += UsageAmounts(
                entry["requests"], entry["tokens"], entry["samples"]
            )
    total = sum(served.values(), UsageAmounts())
    assert reported == total


def test_usage_later_than_the_bound_is_not_reported():
    # A new reporter reads MAX_LATE_WINDOWS frozen windows. Older usage may be in a
    # window that it does not know, so reporting it could count it twice.
    key = CounterKey("vm1", 1, "roads", "desk", 100)
    result = freeze_window(0, 101 + MAX_LATE_WINDOWS, 60, {key: UsageAmounts(1)}, {})
    assert orjson.loads(result.report)["carried"] == []
