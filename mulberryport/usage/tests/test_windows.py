"""Merging of counters and the arithmetic of late usage."""

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from ..counters import CounterKey, Figures, merge_counters
from ..windows import (
    LATE_WINDOWS,
    counted_so_far,
    decode_window,
    encode_window,
    freeze_window,
)

amounts = st.builds(Figures, st.integers(0, 50), st.integers(0, 500), st.integers(0, 5))
keys = st.builds(
    CounterKey,
    st.sampled_from(["vm1", "vm2"]),
    st.integers(1, 2),
    st.sampled_from(["roads", "hauliers"]),
    st.just("desk"),
    st.integers(100, 103),
)
copies = st.dictionaries(keys, amounts, max_size=8)


def merged(*parts: dict[CounterKey, Figures]) -> dict[CounterKey, Figures]:
    result: dict[CounterKey, Figures] = {}
    for part in parts:
        merge_counters(result, part.items())
    return result


@settings(derandomize=True, deadline=None, max_examples=200)
@given(copies, copies, copies)
def test_merging_counts_no_copy_twice_and_depends_on_no_order(first, second, third):
    # Guards against usage that is counted twice because a copy arrived twice, by
    # another way, or after a newer one.
    assert merged(first, first) == merged(first)
    assert merged(first, second) == merged(second, first)
    assert merged(merged(first, second), third) == merged(first, merged(second, third))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    st.lists(st.tuples(keys, amounts, st.integers(0, 6), st.booleans()), max_size=20),
    st.sets(st.integers(100, 108)),
)
def test_all_reports_together_equal_all_counted_service(events, changes):
    """Each increment is served at some window and seen some windows later.

    Guards against late increments that are lost or reported twice, also when the
    reporter changes and knows only what the store has.
    """
    increments = [
        (key, figures, key.window + late, twice) for key, figures, late, twice in events
    ]
    served: dict[CounterKey, Figures] = {}
    seen: dict[CounterKey, Figures] = {}
    stored: list[bytes] = []
    frozen = []
    reported = Figures()
    for window in range(100, 111):
        for key, figures, visible_at, _ in increments:
            if visible_at == window:
                served[key] = served.get(key, Figures()) + figures
                # The copy that the reporter sees is cumulative.
                merge_counters(seen, [(key, served[key])])
        if window in changes:
            frozen = [decode_window(content) for content in stored]
        result = freeze_window(0, window, 60, seen, counted_so_far(frozen))
        frozen.append(result)
        stored.append(encode_window(result))
        report = orjson.loads(result.report)
        assert all(entry["window"] < window for entry in report["carried"])
        for entry in report["figures"] + report["carried"]:
            reported += Figures(entry["requests"], entry["tokens"], entry["samples"])
    total = sum(served.values(), Figures())
    assert reported == total


def test_usage_later_than_the_bound_is_not_reported():
    # A new reporter reads LATE_WINDOWS frozen windows; older usage could already be
    # in a window that it does not know, and would be reported twice.
    key = CounterKey("vm1", 1, "roads", "desk", 100)
    result = freeze_window(0, 101 + LATE_WINDOWS, 60, {key: Figures(1)}, {})
    assert orjson.loads(result.report)["carried"] == []
