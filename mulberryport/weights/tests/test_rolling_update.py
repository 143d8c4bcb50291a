"""Waves of weight loads: capacity floor, pace and retries."""

from ...routing import LoadReport, TargetView
from ..rolling_update import MAX_RETRY_DELAY_S, MIN_SERVING_FRACTION, RollingUpdate


def views_of(versions):
    return [
        TargetView(
            id=f"e{n:03}",
            address="127.0.0.1:1",
            zone="z",
            pool="p",
            kind="model-engine",
            report=LoadReport(0, 0, 16, version),
            report_age=0.1,
        )
        for n, version in enumerate(versions)
    ]


def test_capacity_stays_above_the_floor_and_all_targets_are_reached():
    # Guards against a pool whose targets all load at the same time, and against
    # targets that are forgotten.
    wave, now = RollingUpdate(), 100.0
    versions = [1] * 20
    for _ in range(20):
        chosen = wave.start_loads(views_of(versions), 2, now)
        assert len(wave.loading) <= 20 * (1 - MIN_SERVING_FRACTION)
        assert not wave.start_loads(views_of(versions), 2, now)
        for view in chosen:
            wave.record_success(view.id, 2, now)
            versions[int(view.id[1:])] = 2
        now += 1.0
    assert versions == [2] * 20


def test_single_target_loads_and_a_lagging_report_orders_nothing_twice():
    # Guards against a small pool that never gets new weights, and against orders
    # that are repeated until the next load report.
    wave = RollingUpdate()
    (view,) = views_of([1])
    assert wave.start_loads([view], 2, 100.0) == [view]
    wave.record_success(view.id, 2, 100.0)
    assert not wave.start_loads([view], 2, 100.05)
    # A later report with the old version means that the engine was restarted.
    assert wave.start_loads([view], 2, 101.0) == [view]


def test_failed_loads_slow_the_wave_and_are_tried_again():
    # Guards against a weight store at its rate limit that is asked at full rate,
    # and against targets left on their old version for good.
    wave, now = RollingUpdate(), 100.0
    views = views_of([1] * 40)
    chosen = wave.start_loads(views, 2, now)
    assert len(chosen) == 10
    for view in chosen:
        wave.record_failure(view.id, now)
    assert len(wave.start_loads(views, 2, now)) == 1
    for target in wave.loading:
        wave.record_failure(target, now)
    tried = set()
    while len(tried) < 40:
        now += MAX_RETRY_DELAY_S
        for view in wave.start_loads(views, 2, now):
            assert view.id not in tried
            tried.add(view.id)
            wave.record_success(view.id, 2, now)
        views = [v for v in views if v.id not in tried]
