"""Tests of the submission of jobs while a daemon cannot reach the store itself."""

import pytest
from attrs import define

from ...outcomes import Done, NotDone
from ...runtime.clock import boottime
from .builders import JobDaemon, MemoryStore, make_job, until
from .test_service import deadline_in


@define(eq=False)
class CutWatch:
    """Connection to a store that can be cut, over which a daemon keeps its mirror."""

    store: MemoryStore
    is_cut: bool = False

    def list(self, prefix):
        """List a prefix."""
        return NotDone("cut") if self.is_cut else self.store.list(prefix)

    def watch(self, prefix, after, wait):
        """Watch a prefix for a short time."""
        if self.is_cut:
            return NotDone("cut")
        return self.store.watch(prefix, after, min(wait, 0.05))


def cut_daemon(store, journal, **values):
    """Return a daemon whose mirror has lost the store, and which has a journal."""
    watch = CutWatch(store)
    daemon = JobDaemon(
        store,
        mirrored=watch,
        persist=lambda job: journal.append(job.id) or Done(True),
        **values,
    )
    watch.is_cut = True
    assert until(lambda: not daemon.mirror.connected)
    return daemon


def test_a_job_goes_to_the_store_if_other_daemons_reach_it():
    # Guards against a job that is accepted into the journal by the one daemon that lost
    # its path to the store: daemons with the store answered 404 for it.
    store, journal = MemoryStore(), []
    daemon = cut_daemon(store, journal, has_store_relays=lambda: True)
    assert daemon.jobs.submit(make_job(), deadline_in()) == Done(True)
    assert not journal
    assert any(key.endswith("/job/job1") for key in store.items)
    daemon.die()


@pytest.mark.parametrize("is_reported", [False, True])
def test_a_job_goes_into_the_journal_if_no_daemon_reaches_the_store(is_reported):
    # Guards against jobs that are refused in an outage, also while old reports still
    # say that the store serves other daemons.
    store, journal = MemoryStore(), []
    daemon = cut_daemon(store, journal, has_store_relays=lambda: is_reported)
    store.down = True
    started_at = boottime()
    assert daemon.jobs.submit(make_job(), deadline_in()) == Done(True)
    assert journal == ["job1"]
    assert boottime() - started_at < 1.0
    daemon.die()
