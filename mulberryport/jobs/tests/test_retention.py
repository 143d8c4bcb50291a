"""Tests of how long jobs are kept.

Guards against a job that is deleted by its age while it is open, or before its last
results could be read, and against a store that is never emptied.
"""

import eventlet
import pytest

from ...outcomes import Done
from .. import service as service_module
from ..repository import HEAD_PREFIX, JobRepository
from .builders import Engine, JobDaemon, MemoryStore, make_job, until
from .test_service import deadline_in, read_all, wait_for_results

RETENTION_S = 0.3
LONG_AGO = 1000.0 - 50.0


def keys_of_job(store):
    """Return the keys of the store that belong to the job."""
    return sorted(key for key in store.items if "job1" in key)


def start_daemon(store, vm="vm1", **values):
    """Return a daemon that retains jobs for a short time."""
    daemon = JobDaemon(store, vm, **values)
    daemon.jobs.retention = RETENTION_S
    return daemon


def outlive_retention():
    """Wait until the retention has passed, and the daemons have run since."""
    eventlet.sleep(RETENTION_S + 0.2)


def test_an_open_job_is_kept_at_all_daemons_until_it_is_finished():
    store = MemoryStore()
    owner = start_daemon(store, engine=Engine(pause=0.4))
    other = start_daemon(store, "vm2")
    owner.jobs.submit(make_job(submitted_at=LONG_AGO), deadline_in())
    assert until(lambda: "job1" in other.jobs.registry.heads)
    outlive_retention()
    for daemon in (owner, other):
        assert read_all(daemon) == []
        body = daemon.jobs.read_item_body("job1", "roads", "job1-0")
        assert body == Done(b"\x00\xff")
    # The last results are read after the job is finished.
    assert wait_for_results(other)
    assert [state for _, state, *_ in read_all(owner)] == ["completed"] * 4
    owner.die()
    other.die()


def test_an_open_job_outlives_its_owners():
    store = MemoryStore()
    reader = start_daemon(store, "reader")
    reader.jobs._ownership_manager.stop()
    for vm in ("vm1", "vm2"):
        owner = start_daemon(store, vm, engine=Engine(pause=60.0))
        if vm == "vm1":
            owner.jobs.submit(make_job(submitted_at=LONG_AGO), deadline_in())
        assert until(lambda: "job1" in owner.jobs.registry.owned)  # noqa: B023
        outlive_retention()
        assert read_all(reader) == []
        owner.die()
    last = start_daemon(store, "vm3")
    assert wait_for_results(last)
    assert len(read_all(reader)) == 4
    last.die()
    reader.die()


@pytest.mark.parametrize("is_ended", [False, True])
def test_a_closed_job_is_kept_for_its_retention_and_then_deleted(is_ended, monkeypatch):
    monkeypatch.setattr(service_module, "EXPIRED_HEAD_RETENTION_S", RETENTION_S)
    store = MemoryStore()
    daemon = start_daemon(store, engine=Engine(pause=60.0 if is_ended else 0.0))
    daemon.jobs.submit(make_job(submitted_at=LONG_AGO), deadline_in())
    if is_ended:
        assert daemon.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: not daemon.jobs.registry.heads["job1"].open)
    assert len(read_all(daemon)) == (0 if is_ended else 4)
    assert daemon.jobs.end("job1", "roads") == Done(True)
    head = HEAD_PREFIX + "job1"
    assert until(lambda: keys_of_job(store) == [head])
    assert daemon.jobs.read("job1", "roads", 0, 0.0) == Done(None)
    assert daemon.jobs.read_item_body("job1", "roads", "job1-0") == Done(None)
    assert until(lambda: keys_of_job(store) == [])
    assert daemon.jobs.read("job1", "roads", 0, 0.0) == Done(None)
    daemon.die()


def test_a_closed_job_is_kept_until_its_retention_since_the_submission():
    store = MemoryStore()
    daemon = start_daemon(store)
    daemon.jobs.submit(make_job(submitted_at=daemon.now), deadline_in())
    assert wait_for_results(daemon)
    outlive_retention()
    assert len(read_all(daemon)) == 4
    daemon.now += 1.0
    assert until(lambda: keys_of_job(store) == [HEAD_PREFIX + "job1"])
    daemon.die()


def test_an_expired_job_is_not_created_again():
    # Guards against items of an ended job that run again from a copy on a disk.
    store = MemoryStore()
    daemon = start_daemon(store)
    job = make_job(submitted_at=LONG_AGO)
    daemon.jobs.submit(job, deadline_in())
    assert until(lambda: keys_of_job(store) == [HEAD_PREFIX + "job1"], 5.0)
    calls = len(daemon.engine.calls)
    assert JobRepository(store).read_head("job1").value is not None
    daemon.jobs.submit(job, deadline_in())
    eventlet.sleep(0.2)
    assert keys_of_job(store) == [HEAD_PREFIX + "job1"]
    assert len(daemon.engine.calls) == calls
    daemon.die()
