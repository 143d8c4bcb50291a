"""Tests of the on-disk journal of accepted jobs."""

from pathlib import Path

import eventlet
import pytest

from ...coordination import Mirror
from ...coordination.tests.builders import MemoryStore, until
from ...jobs import JobRepository
from ...jobs.codec import decode_job, encode_job
from ...jobs.repository import (
    EXPIRED,
    HEAD_PREFIX,
    LIVE_PREFIX,
    MAX_ID_BYTES,
    MAX_RECORD_BYTES,
)
from ...jobs.tests.builders import JobDaemon, make_job, make_large_job
from ...jobs.tests.test_service import deadline_in, wait_for_results
from ...outcomes import Done, NotDone, Unknown
from ...peering import peer_pb2
from ..client import JOURNAL_PREFIX, JournalClient, JournalNode
from ..file_store import JobFileStore
from ..service import JournalService


class Disks:
    """Journal services of several disks, called without a network."""

    def __init__(self, store, path, count=3):
        self.services = {
            f"disk{n}": JournalService(
                JobFileStore(path / f"disk{n}"),
                JobRepository(store),
                120.0,
            )
            for n in range(count)
        }
        self.lost: set[str] = set()
        self.silent: set[str] = set()
        for vm in self.services:
            record = JournalNode(vm, "a", "127.0.0.1:1").encode()
            store.write(JOURNAL_PREFIX + vm, record)

    def call_member(self, member, method, request, timeout):
        """Call the journal service of a disk."""
        if member.vm in self.lost:
            return NotDone("cannot connect")
        service = self.services[member.vm]
        methods = {"KeepJob": service._serve_keep, "HoldsJob": service._serve_holds}
        reply = methods[method](request)
        return Unknown("silent") if member.vm in self.silent else Done(reply)

    def client(self, mirror):
        """Return a client that requires two copies."""
        return JournalClient(mirror, self, 2)

    def upload_all(self):
        """Upload the jobs of all disks."""
        for service in self.services.values():
            service.close()
            service.upload_jobs()


def reader_with_disks(path):
    """Return disks, a daemon that asks them about jobs, and their client."""
    store = MemoryStore()
    disks, reader = Disks(store, path), JobDaemon(store)
    client = disks.client(reader.mirror)
    reader.jobs.registry.is_journaled = client.holds
    return disks, reader, client


def test_job_survives_restart_and_torn_file_is_deleted(tmp_path):
    file_store = JobFileStore(tmp_path)
    file_store.persist("one", b"content")
    file_store.persist("two", b"other content")
    torn = file_store._file_path("two")
    torn.write_bytes(torn.read_bytes()[:-3])
    (tmp_path / "rest.part").write_bytes(b"x")
    again = JobFileStore(tmp_path)
    assert [content for _, content in again.jobs()] == [b"content"]
    assert len(again) == 1


def test_full_disk_raises_and_leaves_no_file(tmp_path, monkeypatch):
    file_store = JobFileStore(tmp_path)

    def full(*_):
        raise OSError(28, "no space left")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError):
        file_store.persist("one", b"content")
    assert list(tmp_path.iterdir()) == []


def test_outcome_depends_on_required_copies(tmp_path):
    # Guards against accepting a job that the loss of one disk would lose.
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    mirror = Mirror(store, LIVE_PREFIX)
    mirror.start()
    assert until(lambda: mirror.loaded)
    client = disks.client(mirror)
    assert client.persist(make_job("all")) == Done(True)
    disks.lost = {"disk0"}
    assert client.persist(make_job("two")) == Done(True)
    disks.lost = {"disk0", "disk1"}
    assert isinstance(client.persist(make_job("one")), Unknown)
    disks.lost = {"disk0", "disk1", "disk2"}
    assert isinstance(client.persist(make_job("none")), NotDone)
    disks.lost, disks.silent = set(), {"disk0", "disk1"}
    assert isinstance(client.persist(make_job("silent")), Unknown)
    mirror.stop()


def test_journal_uploads_job_that_the_store_lacks(tmp_path):
    # Guards against losing a job whose daemon died before the store recovered.
    store = MemoryStore()
    disks = Disks(store, tmp_path, 1)
    service = disks.services["disk0"]
    request = peer_pb2.KeepJobRequest(id="job1", job=encode_job(make_job()))
    with store.outage():
        assert service._serve_keep(request).kept
        service.upload_jobs()
        eventlet.sleep(1.1)
        service.upload_jobs()
        assert not service.is_empty
    service.upload_jobs()
    assert service.is_empty
    daemon = JobDaemon(store)
    assert wait_for_results(daemon)
    daemon.die()


def test_job_that_the_store_has_is_deleted_from_the_journal(tmp_path):
    store = MemoryStore()
    daemon = JobDaemon(store)
    daemon.jobs.submit(make_job(), deadline_in())
    disks = Disks(store, tmp_path, 1)
    service = disks.services["disk0"]
    service._serve_keep(peer_pb2.KeepJobRequest(id="job1", job=encode_job(make_job())))
    service.close()
    service.upload_jobs()
    assert service.is_empty
    assert len([key for key in store.items if "/job/" in key]) == 1
    daemon.die()


def test_closed_journal_refuses_jobs(tmp_path):
    # Guards against writing jobs to a disk that is about to be removed.
    service = Disks(MemoryStore(), tmp_path, 1).services["disk0"]
    service.close()
    assert not service._serve_keep(peer_pb2.KeepJobRequest(id="a", job=b"x")).kept


def test_job_is_accepted_and_generated_during_store_outage(tmp_path):
    # Guards against failing steps that start during a store outage.
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    persist = []
    daemon = JobDaemon(store, persist=lambda job: persist[0](job))
    persist.append(disks.client(daemon.mirror).persist)
    with store.outage():
        assert until(lambda: not daemon.mirror.connected)
        assert daemon.jobs.submit(make_job(), deadline_in()) == Done(True)
        assert daemon.jobs.submit(make_job(), deadline_in()) == Done(True)
        assert until(lambda: len(daemon.engine.scored) == 4)
        page = daemon.jobs.read("job1", "roads", 0, 0.0).value
        assert (page.total, page.results) == (4, ())
        assert not isinstance(daemon.jobs.end("job1", "roads"), Done)
    assert wait_for_results(daemon)
    assert len(daemon.engine.calls) == 4
    daemon.die()


def test_journaled_job_survives_the_loss_of_its_daemon(tmp_path):
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    persist = []
    daemon = JobDaemon(store, "vm1", persist=lambda job: persist[0](job))
    persist.append(disks.client(daemon.mirror).persist)
    with store.outage():
        assert until(lambda: not daemon.mirror.connected)
        assert daemon.jobs.submit(make_job(), deadline_in()) == Done(True)
        daemon.die()
        disks.lost = {"disk0"}
    eventlet.sleep(1.1)
    for _ in range(2):
        for vm in ("disk1", "disk2"):
            disks.services[vm].upload_jobs()
            eventlet.sleep(1.1)
    other = JobDaemon(store, "vm2")
    assert wait_for_results(other)
    other.die()


def keep(service, job):
    """Write a job to a journal."""
    request = peer_pb2.KeepJobRequest(id=job.id, job=encode_job(job))
    return service._serve_keep(request).kept


def test_journal_refuses_a_job_that_the_store_cannot_hold(tmp_path):
    # Guards against a job on disk that can never be uploaded.
    service = Disks(MemoryStore(), tmp_path, 1).services["disk0"]
    assert not keep(service, make_large_job(MAX_RECORD_BYTES))
    assert not keep(service, make_job("j" * (MAX_ID_BYTES + 1)))
    assert service.is_empty


@pytest.mark.parametrize(
    "stuck",
    [encode_job(make_large_job(MAX_RECORD_BYTES, "stuck")), b"\xff of a later build"],
    ids=["too large", "not readable"],
)
def test_a_job_that_cannot_be_uploaded_keeps_back_no_other(tmp_path, stuck):
    # Guards against jobs that stay on the disk behind one that the store refuses, and
    # against a job that is deleted because this build cannot read it.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    service.file_store.persist("stuck", stuck)
    jobs = [make_job(f"job{n}") for n in range(8)]
    assert all(keep(service, job) for job in jobs)
    service.close()
    service.upload_jobs()
    uploaded = [key for key in store.items if key.startswith(HEAD_PREFIX)]
    assert len(uploaded) == len(jobs)
    assert [content for _, content in service.file_store.jobs()] == [stuck]


def test_a_job_that_cannot_be_uploaded_is_dropped_after_its_retention(tmp_path):
    # Guards against a disk that can never be emptied.
    service = Disks(MemoryStore(), tmp_path, 1).services["disk0"]
    service.retention = 0.1
    service.file_store.persist("stuck", b"\xff of a later build")
    service.close()
    service.upload_jobs()
    assert not service.is_empty
    eventlet.sleep(0.2)
    service.upload_jobs()
    assert service.is_empty


def test_a_job_is_uploaded_however_old_it_is(tmp_path):
    # Guards against an accepted job that is lost in a long outage of the store, or by a
    # time of day that jumps.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    service.retention = 0.0
    assert keep(service, make_job(submitted_at=-1e6))
    service.close()
    service.upload_jobs()
    assert JobRepository(store).read_head("job1").value.open
    assert service.is_empty


def test_a_job_that_the_store_does_not_take_now_stays_on_the_disk(
    tmp_path, monkeypatch
):
    # Guards against an accepted job that is dropped because writes fail for a while.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    service.retention = 0.0
    assert keep(service, make_job())
    service.close()
    with monkeypatch.context() as patch:
        refuse = NotDone("too many calls")
        patch.setattr(MemoryStore, "commit", lambda self, transaction: refuse)
        for _ in range(3):
            eventlet.sleep(0.02)
            service.upload_jobs()
    assert not service.is_empty
    service.upload_jobs()
    assert service.is_empty
    assert JobRepository(store).read_head("job1").value is not None


def test_a_copy_of_an_expired_job_is_not_uploaded(tmp_path):
    # Guards against items of a job that has ended, which run again.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    assert keep(service, make_job())
    repository = JobRepository(store)
    head, _ = repository.create(make_job(), "", 0).value
    repository.end("job1", head)
    repository.expire("job1", repository.read_head("job1").value)
    service.close()
    service.upload_jobs()
    assert service.is_empty
    assert repository.read_head("job1").value.state == EXPIRED


def test_journal_reads_one_job_at_a_time(tmp_path, monkeypatch):
    # Guards against a storage daemon that reads all large jobs into memory at once.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    for n in range(4):
        assert keep(service, make_job(f"job{n}"))
    service.close()
    calls, read_bytes, decode = [], Path.read_bytes, decode_job
    monkeypatch.setattr(
        Path, "read_bytes", lambda file: calls.append("read") or read_bytes(file)
    )
    monkeypatch.setattr(
        "mulberryport.journal.service.decode_job",
        lambda content: calls.append("upload") or decode(content),
    )
    service.upload_jobs()
    assert calls == ["read", "upload"] * 4


def test_a_large_job_has_more_time_on_its_way_to_the_disks(tmp_path):
    # Guards against a large job that is never accepted over a slow link.
    store = MemoryStore()
    disks, timeouts = Disks(store, tmp_path), []
    mirror = Mirror(store, LIVE_PREFIX)
    mirror.start()
    assert until(lambda: mirror.loaded)

    def call_member(member, method, request, timeout):
        timeouts.append(timeout)
        return Disks.call_member(disks, member, method, request, timeout)

    disks.call_member = call_member
    disks.client(mirror).persist(make_job("small"))
    disks.client(mirror).persist(make_large_job(8_000_000, "large"))
    assert min(timeouts[3:]) >= max(timeouts[:3]) + 1.9
    mirror.stop()


def test_job_that_only_disks_keep_is_not_reported_as_missing(tmp_path):
    # Guards against 404 for a job that a daemon accepted which the store turned away,
    # at daemons that the store serves and that noticed no outage.
    disks, reader, client = reader_with_disks(tmp_path)
    assert client.persist(make_job()) == Done(True)
    assert isinstance(reader.jobs.read("job1", "roads", 0, 0.0), NotDone)
    assert isinstance(reader.jobs.end("job1", "roads"), NotDone)
    assert reader.jobs.read("none", "roads", 0, 0.0) == Done(None)
    disks.upload_all()
    assert reader.jobs.read("job1", "roads", 0, 0.0).value.total == 4
    reader.die()


def test_job_is_reported_as_missing_only_if_too_few_disks_may_have_it(tmp_path):
    # Guards against 404 because the disks that have the job do not answer.
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    mirror = Mirror(store, LIVE_PREFIX)
    mirror.start()
    assert until(lambda: mirror.loaded)
    client = disks.client(mirror)
    assert client.holds("job1") == Done(False)
    disks.lost = {"disk0"}
    assert client.persist(make_job()) == Done(True)
    assert client.holds("job1") == Done(True)
    # Two copies were required: two disks that do not answer may have them.
    disks.lost = {"disk1", "disk2"}
    assert isinstance(client.holds("job1"), NotDone)
    disks.lost = {"disk1"}
    assert client.holds("job1") == Done(True)
    assert client.holds("other") == Done(False)
    mirror.stop()


def test_job_that_is_uploaded_meanwhile_is_found(tmp_path):
    # Guards against 404 for a job that a disk uploads between the question to the store
    # and that to the disks.
    disks, reader, client = reader_with_disks(tmp_path)
    assert client.persist(make_job()) == Done(True)

    def upload_first(job_id):
        disks.upload_all()
        return client.holds(job_id)

    reader.jobs.registry.is_journaled = upload_first
    assert reader.jobs.read("job1", "roads", 0, 0.0).value.total == 4
    reader.die()


def test_a_job_whose_head_cannot_be_read_keeps_back_no_other(tmp_path):
    # Guards against jobs that stay on the disk behind one whose record in the store is
    # malformed, which looks like a store that does not answer.
    store = MemoryStore()
    service = Disks(store, tmp_path, 1).services["disk0"]
    jobs = [make_job(f"job{n}") for n in range(6)]
    assert all(keep(service, job) for job in jobs)
    for number in range(3):
        store.write(f"{HEAD_PREFIX}job{number}", b"?")
    service.close()
    for _ in range(4):
        service.upload_jobs()
    uploaded = {key for key in store.items if key.startswith(HEAD_PREFIX)}
    assert {f"{HEAD_PREFIX}job{n}" for n in range(3, 6)} <= uploaded
    assert len(service.file_store) == 3
