"""Tests of rolling updates: minimum serving capacity, concurrency and retries."""

from ...routing import LoadReport, TargetView
from ..rolling_update import MAX_RETRY_DELAY_S, MIN_SERVING_FRACTION, RollingUpdate


def make_views(versions):
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


def test_serving_capacity_stays_above_the_minimum_and_all_targets_are_updated():
    # Guards against a pool whose targets all load at the same time, and against
    # targets that are never updated.
    update, now = RollingUpdate(), 100.0
    versions = [1] * 20
    for _ in range(20):
        chosen = update.start_loads(make_views(versions), 2, now)
        assert len(update.loading) <= 20 * (1 - MIN_SERVING_FRACTION)
        assert not update.start_loads(make_views(versions), 2, now)
        for view in chosen:
            update.record_success(view.id, 2, now)
            versions[int(view.id[1:])] = 2
        now += 1.0
    assert versions == [2] * 20


def test_single_target_loads_and_a_stale_report_causes_no_second_order():
    # Guards against a small pool that never gets new weights, and against orders
    # that are repeated until the next load report.
    update = RollingUpdate()
    (view,) = make_views([1])
    assert update.start_loads([view], 2, 100.0) == [view]
    update.record_success(view.id, 2, 100.0)
    assert not update.start_loads([view], 2, 100.05)
    # A later report with the old version means that the engine was restarted.
    assert update.start_loads([view], 2, 101.0) == [view]


def test_failed_loads_reduce_concurrency_and_are_retried():
    # Guards against full load on a weight store that is at its rate limit, and
    # against targets that keep their old version permanently.
    update, now = RollingUpdate(), 100.0
    views = make_views([1] * 40)
    chosen = update.start_loads(views, 2, now)
    assert len(chosen) == 10
    for view in chosen:
        update.record_failure(view.id, now)
    assert len(update.start_loads(views, 2, now)) == 1
    for target in update.loading:
        update.record_failure(target, now)
    tried = set()
    while len(tried) < 40:
        now += MAX_RETRY_DELAY_S
        for view in update.start_loads(views, 2, now):
            assert view.id not in tried
            tried.add(view.id)
            update.record_success(view.id, 2, now)
        views = [v for v in views if v.id not in tried]
