"""Tests of the on-disk journal of accepted jobs."""

import eventlet
import pytest

from ...coordination import Mirror
from ...coordination.tests.builders import MemoryStore, until
from ...jobs import JobRepository
from ...jobs.codec import encode_job
from ...jobs.repository import LIVE_PREFIX
from ...jobs.tests.builders import JobDaemon, make_job
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
                lambda: 1000.0,
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
        assert method == "KeepJob"
        if member.vm in self.lost:
            return NotDone("cannot connect")
        reply = self.services[member.vm]._serve_keep(request)
        return Unknown("silent") if member.vm in self.silent else Done(reply)

    def client(self, mirror):
        """Return a client that requires two copies."""
        return JournalClient(mirror, self, 2)


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
