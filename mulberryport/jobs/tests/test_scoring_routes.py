"""Tests of items whose scoring call or path has no usable route for a time.

Guards against a condition that may pass being taken for an end: items with a complete
text were committed as errored while a configuration had no route for their scores.
"""

import eventlet
import pytest
from attrs import evolve

from ...tables import PLAIN_SERVICE, Pool, Route
from .builders import Engine, JobDaemon, MemoryStore, make_job, make_tables, until
from .test_service import deadline_in, read_all, wait_for_results

ABSENCE_S = 0.5
# What a target could read as a path of another route than the one it is sent to.
AMBIGUOUS_PATH = "/score/a%2fb"


def make_scored_job(items=2, path="/score/"):
    """Return a job whose scoring calls have a path."""
    job = make_job(items=items)
    return evolve(
        job,
        items=tuple(
            evolve(item, scoring=evolve(item.scoring, path=path)) for item in job.items
        ),
    )


def without_route(tables):
    """Return tables without the route of scoring calls."""
    return evolve(tables, routes={"drafts": tables.routes["drafts"]})


def with_other_path(tables):
    """Return tables whose route of scoring calls does not match them."""
    route = evolve(tables.routes["score"], path="/other/")
    return evolve(tables, routes={**tables.routes, "score": route})


def with_ambiguous_path(tables):
    """Return tables in which the path belongs to two routes."""
    route = Route(name="inner", path="/score/a/", pool="desk")
    return evolve(tables, routes={**tables.routes, "inner": route})


def without_targets(tables):
    """Return tables whose route of scoring calls has a pool without targets."""
    route = evolve(tables.routes["score"], pool="empty")
    return evolve(
        tables,
        routes={**tables.routes, "score": route},
        pools={**tables.pools, "empty": Pool(name="empty", kind=PLAIN_SERVICE)},
    )


def adopt(daemon, revision, change=lambda tables: tables):
    """Adopt the usual tables, changed, under a revision."""
    tables = change(make_tables())
    daemon.adopt_tables(revision, routes=tables.routes, pools=tables.pools)


@pytest.mark.parametrize(
    "change", [without_route, with_other_path, with_ambiguous_path, without_targets]
)
def test_scores_wait_for_their_route_without_another_run(change):
    daemon = JobDaemon(MemoryStore())
    adopt(daemon, 2, change)
    daemon.jobs.submit(make_scored_job(path=AMBIGUOUS_PATH), deadline_in())
    eventlet.sleep(ABSENCE_S)
    assert read_all(daemon) == [] and daemon.engine.scored == []
    adopt(daemon, 3)
    assert wait_for_results(daemon, 2)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    assert len(daemon.engine.calls) == 2
    daemon.die()


def test_route_of_scores_that_changes_in_quick_succession_ends_no_item():
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.05))
    daemon.jobs.submit(make_scored_job(items=40), deadline_in())
    for revision in range(2, 12):
        adopt(daemon, 2 * revision, without_route if revision % 2 else with_other_path)
        eventlet.sleep(0.05)
        adopt(daemon, 2 * revision + 1)
        eventlet.sleep(0.05)
    assert wait_for_results(daemon, 40)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    daemon.die()


def test_scores_wait_while_the_owner_changes():
    store = MemoryStore()
    first = JobDaemon(store, "vm1")
    second = JobDaemon(store, "vm2")
    for daemon in (first, second):
        adopt(daemon, 2, without_route)
    first.jobs.submit(make_scored_job(), deadline_in())
    assert until(lambda: len(first.engine.calls) == 2)
    first.die()
    assert until(lambda: "job1" in second.jobs.registry.owned)
    eventlet.sleep(ABSENCE_S)
    assert read_all(second) == []
    adopt(second, 3)
    assert wait_for_results(second, 2)
    assert {result[1] for result in read_all(second)} == {"completed"}
    second.die()


def test_scores_without_a_route_are_given_up_at_the_age_limit():
    daemon = JobDaemon(MemoryStore())
    adopt(daemon, 2, without_route)
    daemon.jobs.submit(make_scored_job(), deadline_in())
    assert until(lambda: len(daemon.engine.calls) == 2)
    daemon.now += 100.0
    assert wait_for_results(daemon, 2)
    assert {result[1] for result in read_all(daemon)} == {"errored"}
    daemon.die()


def test_items_that_wait_for_a_route_of_scores_leave_their_turn_to_others():
    # Guards against engines that are idle because texts without a score hold all turns.
    items = 200
    daemon = JobDaemon(MemoryStore())
    adopt(daemon, 2, without_route)
    daemon.jobs.submit(make_scored_job(items), deadline_in())
    assert until(lambda: len({item for item, *_ in daemon.engine.calls}) == items)
    eventlet.sleep(ABSENCE_S)
    calls = len(daemon.engine.calls)
    adopt(daemon, 3)
    assert wait_for_results(daemon, items)
    assert {result[1] for result in read_all(daemon)} == {"completed"}
    assert len(daemon.engine.calls) == calls
    daemon.die()


@pytest.mark.parametrize("age_s", [0.0, 100.0])
def test_items_whose_own_path_is_ambiguous_wait_until_the_age_limit(age_s):
    daemon = JobDaemon(MemoryStore())
    route = Route(name="inner", path="/drafts/a/", pool="desk")
    routes = make_tables().routes
    daemon.adopt_tables(2, routes={**routes, "inner": route})
    job = make_job(items=1)
    item = evolve(job.items[0], path="/drafts/a%2fb")
    daemon.jobs.submit(evolve(job, items=(item,)), deadline_in())
    eventlet.sleep(ABSENCE_S)
    assert read_all(daemon) == [] and daemon.engine.calls == []
    daemon.now += age_s
    if not age_s:
        adopt(daemon, 3)
    assert wait_for_results(daemon, 1)
    assert read_all(daemon)[0][1] == ("errored" if age_s else "completed")
    daemon.die()
