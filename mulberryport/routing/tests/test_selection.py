"""Tests of target selection."""

from collections import Counter

from ..candidates import CandidateSet
from ..selection import choose_target
from .builders import report, scheduler, view, work


def count_choices(views, connected, times=200, **values):
    """Return how often each target is selected."""
    pool_scheduler = scheduler(views)
    pool_scheduler.targets.connected = lambda: connected
    return Counter(
        choose_target(
            pool_scheduler.targets,
            work(restartable=True, **values),
            pool_scheduler.generator,
        ).id
        for _ in range(times)
    )


def test_a_target_with_an_idle_connection_is_preferred():
    # Guards against many daemons with few requests each that select targets at random
    # and therefore open a new connection for almost every request.
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(20)]
    assert count_choices(views, {"t7"}) == {"t7": 200}


def test_a_busy_target_is_not_preferred_for_its_connection():
    # Guards against daemons that overload the targets to which they are connected.
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(4)]
    views.append(view("busy", report=report(running=4), report_age=0.0))
    assert "busy" not in count_choices(views, {"busy"})


def test_a_target_that_was_tried_is_not_chosen_for_its_connection():
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(3)]
    assert "t1" not in count_choices(views, {"t1"}, exclude=frozenset({"t1"}))


def test_connections_to_targets_of_other_pools_are_ignored():
    views = [view("t1", report=report(), report_age=0.0)]
    assert count_choices(views, {"other"}) == {"t1": 200}
    assert CandidateSet("a").connected() == frozenset()


def test_an_idle_target_is_chosen_by_requests_that_prefer_it():
    # Guards against a suspect request that runs beside others and takes them with it.
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(3)]
    pool_scheduler = scheduler(views)
    for name in ("t0", "t2"):
        pool_scheduler.targets.get(name).own_requests = 1

    def choices(**values):
        return {
            choose_target(
                pool_scheduler.targets,
                work(restartable=True, **values),
                pool_scheduler.generator,
            ).id
            for _ in range(100)
        }

    pool_scheduler.targets.connected = lambda: {"t0"}
    assert choices(prefers_idle=True) == {"t1"}
    assert "t0" in choices()
    # A target that has just failed is idle, but not preferred.
    pool_scheduler.targets.get("t1").failure_penalty = 0.5
    assert "t1" not in choices(prefers_idle=True)
