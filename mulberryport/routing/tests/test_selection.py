"""Tests of the selection of targets; no network is needed."""

from collections import Counter

from ..candidates import CandidateSet
from ..selection import choose_target
from .builders import report, scheduler, view, work


def choices(views, connected, times=200, **values):
    """Return how often each target is chosen."""
    made = scheduler(views)
    made.targets.connected = lambda: connected
    return Counter(
        choose_target(made.targets, work(restartable=True, **values), made.generator).id
        for _ in range(times)
    )


def test_a_target_with_an_idle_connection_is_preferred():
    # Pattern: many daemons with few requests each, which open one connection after
    # the other if they choose at random.
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(20)]
    assert choices(views, {"t7"}) == {"t7": 200}


def test_a_busy_target_is_not_preferred_for_its_connection():
    # Guards against daemons that overload the target they know.
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(4)]
    views.append(view("busy", report=report(running=4), report_age=0.0))
    assert "busy" not in choices(views, {"busy"})


def test_a_target_that_was_tried_is_not_chosen_for_its_connection():
    views = [view(f"t{n}", report=report(), report_age=0.0) for n in range(3)]
    assert "t1" not in choices(views, {"t1"}, exclude=frozenset({"t1"}))


def test_connections_to_targets_of_other_pools_mean_nothing():
    views = [view("t1", report=report(), report_age=0.0)]
    assert choices(views, {"other"}) == {"t1": 200}
    assert CandidateSet("a").connected() == frozenset()
