"""Tests of the journal of accepted jobs."""

import eventlet
import pytest

from ...coordination import Mirror
from ...coordination.tests.builders import MemoryStore, until
from ...jobs import JobArchive
from ...jobs.archive import LIVE_PREFIX
from ...jobs.codec import encode_job
from ...jobs.tests.builders import JobDaemon, make_job
from ...jobs.tests.test_service import finished, soon
from ...outcomes import Done, NotDone, Unknown
from ...peering import peer_pb2
from ..client import JOURNAL_PREFIX, JournalClient, JournalNode
from ..folder import JobFolder
from ..keeper import JournalKeeper


class Disks:
    """Programs of some disks, reached without a network."""

    def __init__(self, store, path, count=3):
        self.keepers = {
            f"disk{n}": JournalKeeper(
                JobFolder(path / f"disk{n}"), JobArchive(store), lambda: 1000.0, 120.0
            )
            for n in range(count)
        }
        self.lost: set[str] = set()
        self.silent: set[str] = set()
        for vm in self.keepers:
            record = JournalNode(vm, "a", "127.0.0.1:1").encode()
            store.write(JOURNAL_PREFIX + vm, record)

    def call_member(self, member, method, request, timeout):
        """Call a disk's program."""
        assert method == "KeepJob"
        if member.vm in self.lost:
            return NotDone("cannot connect")
        reply = self.keepers[member.vm]._serve_keep(request)
        return Unknown("silent") if member.vm in self.silent else Done(reply)

    def client(self, mirror):
        """Return a client that needs two copies."""
        return JournalClient(mirror, self, 2)


def test_a_kept_job_survives_a_restart_and_a_torn_one_does_not(tmp_path):
    folder = JobFolder(tmp_path)
    folder.keep("one", b"content")
    folder.keep("two", b"other content")
    torn = folder._file("two")
    torn.write_bytes(torn.read_bytes()[:-3])
    (tmp_path / "rest.part").write_bytes(b"x")
    again = JobFolder(tmp_path)
    assert [content for _, content in again.jobs()] == [b"content"]
    assert len(again) == 1


def test_a_full_disk_keeps_nothing_and_says_so(tmp_path, monkeypatch):
    folder = JobFolder(tmp_path)

    def full(*_):
        raise OSError(28, "no space left")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError):
        folder.keep("one", b"content")
    assert list(tmp_path.iterdir()) == []


def test_copies_that_are_needed_decide(tmp_path):
    # Guards against accepting a job that one lost disk would lose.
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    mirror = Mirror(store, LIVE_PREFIX)
    mirror.start()
    assert until(lambda: mirror.loaded)
    client = disks.client(mirror)
    assert client.keep(make_job("all")) == Done(True)
    disks.lost = {"disk0"}
    assert client.keep(make_job("two")) == Done(True)
    disks.lost = {"disk0", "disk1"}
    assert isinstance(client.keep(make_job("one")), Unknown)
    disks.lost = {"disk0", "disk1", "disk2"}
    assert isinstance(client.keep(make_job("none")), NotDone)
    disks.lost, disks.silent = set(), {"disk0", "disk1"}
    assert isinstance(client.keep(make_job("silent")), Unknown)
    mirror.stop()


def test_a_disk_brings_a_job_that_nobody_wrote_to_the_store(tmp_path):
    # Guards against losing a job whose daemon died before the store returned.
    store = MemoryStore()
    disks = Disks(store, tmp_path, 1)
    keeper = disks.keepers["disk0"]
    request = peer_pb2.KeepJobRequest(id="job1", job=encode_job(make_job()))
    with store.outage():
        assert keeper._serve_keep(request).kept
        keeper.turn()
        eventlet.sleep(1.1)
        keeper.turn()
        assert not keeper.empty
    keeper.turn()
    assert keeper.empty
    daemon = JobDaemon(store)
    assert finished(daemon)
    daemon.die()


def test_a_job_that_the_store_has_is_dropped_from_the_disk(tmp_path):
    store = MemoryStore()
    daemon = JobDaemon(store)
    daemon.jobs.submit(make_job(), soon())
    disks = Disks(store, tmp_path, 1)
    keeper = disks.keepers["disk0"]
    keeper._serve_keep(peer_pb2.KeepJobRequest(id="job1", job=encode_job(make_job())))
    keeper.close()
    keeper.turn()
    assert keeper.empty
    assert len([key for key in store.items if "/job/" in key]) == 1
    daemon.die()


def test_a_closed_disk_takes_no_jobs(tmp_path):
    # Guards against keeping jobs on a disk that is about to be taken away.
    keeper = Disks(MemoryStore(), tmp_path, 1).keepers["disk0"]
    keeper.close()
    assert not keeper._serve_keep(peer_pb2.KeepJobRequest(id="a", job=b"x")).kept


def test_a_job_is_accepted_and_generated_while_the_store_is_away(tmp_path):
    # Guards against steps that fail because they began in an outage.
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    keep = []
    daemon = JobDaemon(store, keep=lambda job: keep[0](job))
    keep.append(disks.client(daemon.mirror).keep)
    with store.outage():
        assert until(lambda: not daemon.mirror.connected)
        assert daemon.jobs.submit(make_job(), soon()) == Done(True)
        assert daemon.jobs.submit(make_job(), soon()) == Done(True)
        assert until(lambda: len(daemon.engine.scored) == 4)
        page = daemon.jobs.read("job1", "roads", 0, 0.0).value
        assert (page.total, page.results) == (4, ())
        assert not isinstance(daemon.jobs.end("job1", "roads"), Done)
    assert finished(daemon)
    assert len(daemon.engine.calls) == 4
    daemon.die()


def test_a_job_kept_on_disks_outlives_its_daemon(tmp_path):
    store = MemoryStore()
    disks = Disks(store, tmp_path)
    keep = []
    daemon = JobDaemon(store, "vm1", keep=lambda job: keep[0](job))
    keep.append(disks.client(daemon.mirror).keep)
    with store.outage():
        assert until(lambda: not daemon.mirror.connected)
        assert daemon.jobs.submit(make_job(), soon()) == Done(True)
        daemon.die()
        disks.lost = {"disk0"}
    eventlet.sleep(1.1)
    for _ in range(2):
        for vm in ("disk1", "disk2"):
            disks.keepers[vm].turn()
            eventlet.sleep(1.1)
    other = JobDaemon(store, "vm2")
    assert finished(other)
    other.die()
