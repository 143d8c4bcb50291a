"""Tests of the engine latency tracker."""

from ..engine_latency import EngineLatencyTracker


def record_events(tracker, intervals, seconds=2.0):
    """Record events of several engines at fixed intervals."""
    for name, interval_s in intervals.items():
        for number in range(int(seconds / interval_s)):
            tracker.record(name, interval_s, number * interval_s)


def test_slow_engine_is_detected_within_a_few_events():
    # One engine of a pool becomes 3.4 times slower.
    tracker = EngineLatencyTracker()
    record_events(tracker, {"a": 0.04, "b": 0.045, "c": 0.05})
    assert tracker.slow_engines(2.0) == frozenset()
    events = 0
    while not tracker.is_slow("a", 2.0):
        events += 1
        tracker.record("a", 0.136, 2.0)
    assert events <= 8


def test_full_engine_is_not_classified_as_slow():
    # A full engine generates events half as fast as an idle one.
    tracker = EngineLatencyTracker()
    record_events(tracker, {"a": 0.035, "b": 0.035, "c": 0.06})
    assert tracker.slow_engines(2.0) == frozenset()


def test_slow_classification_expires_without_new_events():
    # Guards against avoiding an engine forever once it was slow.
    tracker = EngineLatencyTracker()
    record_events(tracker, {"a": 0.04, "b": 0.2})
    assert tracker.slow_engines(2.0) == {"b"}
    for number in range(50):
        tracker.record("a", 0.04, 2.0 + number * 0.1)
    assert tracker.slow_engines(7.0) == frozenset()


def test_single_engine_is_never_classified_as_slow():
    tracker = EngineLatencyTracker()
    record_events(tracker, {"a": 0.5})
    assert tracker.slow_engines(2.0) == frozenset()
