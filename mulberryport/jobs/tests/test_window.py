"""Tests of jobs with more items than compete for targets at once.

Guards against a daemon that spends its processor on items that wait, and against items
that never get their turn.
"""

import eventlet
import pytest
from attrs import evolve

from ...outcomes import Done
from ...runtime.clock import boottime
from ...runtime.tests.builders import longest_gap
from .. import window as window_module
from ..window import ItemWindow
from .builders import Engine, JobDaemon, MemoryStore, make_job, until
from .test_service import read_all, wait_for_results

MAX_GAP_S = 0.5


def competing(daemon, job_id):
    """Return the items of a job that compete for targets, and those that run."""
    owned = daemon.jobs.registry.owned[job_id]
    return len(owned._item_threads) - owned._slot_count, owned._slot_count


def test_a_job_of_very_many_items_is_worked_on():
    # Guards against a daemon in which waiting items leave no time to send any.
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.02))
    pools = daemon.snapshot_holder.snapshot.tables.pools
    engines = evolve(pools["engines"], queue=4096)
    daemon.change_tables(pools={**pools, "engines": engines})
    job = make_job(items=10_000, scored=False)
    assert daemon.jobs.submit(job, boottime() + 20) == Done(True)
    eventlet.sleep(0.5)
    with longest_gap() as gap:
        assert until(lambda: len(daemon.engine.calls) >= 400, 10.0)
        assert gap() < MAX_GAP_S
    waiting, running = competing(daemon, "job1")
    assert waiting <= window_module.MAX_COMPETING_ITEMS and running == 16
    daemon.jobs.end("job1", "roads")
    daemon.die()


@pytest.fixture
def small_window(monkeypatch):
    """Let few items compete."""
    monkeypatch.setattr(window_module, "MAX_COMPETING_ITEMS", 8)
    monkeypatch.setattr(window_module, "MIN_COMPETING_ITEMS_PER_JOB", 2)


@pytest.mark.usefixtures("small_window")
def test_all_items_of_several_jobs_get_their_turn():
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.005))
    for name in ("job1", "job2", "job3"):
        daemon.jobs.submit(make_job(name, items=60), boottime() + 2)
    for name in ("job1", "job2", "job3"):
        assert wait_for_results(daemon, 60, name, 20.0)
        assert len({item for item, *_ in read_all(daemon, name)}) == 60
    assert until(lambda: not daemon.jobs.registry.owned)
    assert daemon.jobs._context.window.items_per_job(4096) == 8
    daemon.die()


@pytest.mark.usefixtures("small_window")
def test_a_job_does_not_wait_behind_a_larger_one():
    # Guards against a job whose items start only when those of others are finished.
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.01))
    daemon.jobs.submit(make_job("large", items=2000), boottime() + 2)
    daemon.jobs.submit(make_job("small", items=20), boottime() + 2)
    assert wait_for_results(daemon, 20, "small", 10.0)
    assert "large" in daemon.jobs.registry.owned
    daemon.jobs.end("large", "roads")
    daemon.die()


@pytest.mark.usefixtures("small_window")
def test_items_that_wait_are_given_up_in_time():
    # Guards against items that are listed only long after they may be given up.
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=60.0))
    daemon.jobs.submit(make_job(items=500), boottime() + 2)
    assert until(lambda: competing(daemon, "job1")[1] == 16)
    daemon.now += 100.0
    daemon.change_tables()
    owned = daemon.jobs.registry.owned["job1"]
    assert until(lambda: len(owned.committed) >= 500 - 16, 15.0)
    assert {state for _, state, *_ in read_all(daemon)[:400]} == {"errored"}
    daemon.die()


@pytest.mark.usefixtures("small_window")
def test_a_closed_job_starts_no_more_items():
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=0.01))
    daemon.jobs.submit(make_job(items=500), boottime() + 2)
    assert until(lambda: len(daemon.engine.calls) > 16)
    owned = daemon.jobs.registry.owned["job1"]
    daemon.jobs.end("job1", "roads")
    calls = len(daemon.engine.calls)
    eventlet.sleep(0.2)
    assert len(daemon.engine.calls) == calls
    assert not owned._item_threads and not owned._waiting_items
    daemon.die()


def test_items_that_run_leave_the_window_to_others():
    # Guards against slots that stay empty because running items fill the window.
    window = ItemWindow()
    window.add("job1")
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=60.0))
    daemon.jobs.submit(make_job(items=2000, scored=False), boottime() + 5)
    expected = window.items_per_job(queue_length=100)
    assert until(lambda: competing(daemon, "job1") == (expected, 16))
    daemon.die()
