"""Tests of the timer service."""

import eventlet

from ...runtime.clock import boottime
from ..timers import MIN_DELAY_SHARE, TimerService


def test_periods_that_are_multiples_are_due_at_the_same_instants():
    # Guards against a process at rest that wakes up for each timer by itself.
    service = TimerService()
    runs = []
    for number in range(4):
        service.subscribe(f"fast {number}", 0.05, lambda: runs.append(boottime()))
        eventlet.sleep(0.007)
    service.subscribe("slow", 0.1, lambda: runs.append(boottime()))
    eventlet.sleep(0.4)
    service.stop()
    instants = {round(run / 0.01) for run in runs}
    assert len(runs) >= 20
    assert len(instants) <= len(runs) / 2


def test_subscription_runs_once_a_period():
    # Guards against an instant that counts twice when a timer fires early.
    service = TimerService()
    runs = []
    period_s = 0.02
    service.subscribe("example", period_s, lambda: runs.append(boottime()))
    eventlet.sleep(0.5)
    service.stop()
    gaps = [later - earlier for earlier, later in zip(runs, runs[1:], strict=False)]
    assert len(runs) <= 26
    # A run that is late on a busy machine may be followed by the next one soon.
    assert min(gaps) >= MIN_DELAY_SHARE * period_s
    assert sorted(gaps)[len(gaps) // 2] > 0.5 * period_s


def test_long_callback_skips_runs():
    # Guards against delayed runs that accumulate behind a slow callback.
    service = TimerService()
    runs = []

    def callback():
        runs.append(1)
        eventlet.sleep(0.11)

    service.subscribe("example", 0.02, callback)
    eventlet.sleep(0.5)
    service.stop()
    assert len(runs) <= 5
