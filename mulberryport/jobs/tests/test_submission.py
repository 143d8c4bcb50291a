"""Tests of the submission of jobs while a daemon cannot reach the store itself."""

import pytest
from attrs import define

from ...outcomes import Done, NotDone, Unknown
from ...peering import peer_pb2
from ...runtime.clock import boottime
from ..codec import encode_job
from ..repository import MAX_ID_BYTES, MAX_RECORD_BYTES, RecordTooLargeError
from .builders import (
    JobDaemon,
    LateStore,
    MemoryStore,
    make_job,
    make_large_job,
    until,
)
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


@pytest.mark.parametrize("is_down", [False, True])
@pytest.mark.parametrize(
    "job",
    [make_large_job(MAX_RECORD_BYTES), make_job("j" * (MAX_ID_BYTES + 1))],
    ids=["size", "id"],
)
def test_a_job_that_the_store_cannot_hold_is_rejected_at_once(job, is_down):
    # Guards against a job that is accepted into the journal in an outage and can never
    # be uploaded: only its owner knew it, and all other daemons answered 404.
    store, journal = MemoryStore(), []
    daemon = cut_daemon(store, journal)
    store.down = is_down
    started_at = boottime()
    with pytest.raises(RecordTooLargeError):
        daemon.jobs.submit(job, deadline_in())
    assert boottime() - started_at < 1.0
    request = peer_pb2.SubmitJobRequest(job=encode_job(job), patience=0.4)
    reply = daemon.jobs._submitter.serve_submit(request)
    assert reply.result == peer_pb2.SubmitJobReply.NOT_ACCEPTED
    assert not journal and not daemon.jobs.registry.owned
    daemon.die()


def test_the_largest_job_that_is_accepted_fits_the_store():
    # Guards against bounds at the acceptance and at the store that differ.
    store, journal = MemoryStore(), []
    daemon = cut_daemon(store, journal)
    job = make_large_job(MAX_RECORD_BYTES - 1000)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    assert journal == ["job1"]
    created = daemon.jobs.registry.repository.create(job, "", 0)
    assert isinstance(created, Done)
    assert daemon.jobs.registry.repository.read_job("job1") == Done(job)
    daemon.die()


def test_a_job_that_a_peer_may_have_created_is_not_refused_as_not_run():
    # Guards against a false promise: the call by way of a peer had no answer in time,
    # and after it neither the disks nor the store could be reached.
    store = MemoryStore()
    connection = LateStore(store)
    watch = CutWatch(store)
    daemon = JobDaemon(
        connection,
        mirrored=watch,
        persist=lambda job: NotDone("no disk"),
        has_store_relays=lambda: not connection.late,
    )
    watch.is_cut = True
    assert until(lambda: not daemon.mirror.connected)

    def lose_answer(transaction):
        if not any("/job/" in put.key for put in transaction.puts):
            return False
        store.down = True
        connection.is_late = lambda transaction: False
        return True

    connection.is_late = lose_answer
    outcome = daemon.jobs.submit(make_job(), deadline_in(1.0))
    assert isinstance(outcome, Unknown)
    daemon.die()
