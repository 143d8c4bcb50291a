"""Tests of what programs do before they have read a table, or with an empty one."""

import pytest

from ...coordination import Mirror
from ...coordination.tests.builders import MemoryStore, until
from ...gateway import RefusalError
from ...jobs.tests.builders import JobDaemon, make_job
from ...journal.client import JOURNAL_PREFIX
from ...runtime.clock import boottime
from ...tables import Snapshot, SnapshotHolder, Tables, Workspace
from ..batches import BatchInterface
from ..storage import (
    RETIREMENT_PREFIX,
    StorageDaemon,
    StoragePlatform,
    StorageSettings,
    StorageVm,
)


def test_reading_a_job_needs_a_key_even_if_all_keys_were_withdrawn():
    # Guards against a table of keys that is empty being taken for a platform without
    # keys: the job was then reported as not existing.
    holder = SnapshotHolder()
    tables = Tables(workspaces={"roads": Workspace(name="roads")})
    holder.adopt(Snapshot(1, "first", tables), {})
    daemon = JobDaemon(MemoryStore())
    daemon.jobs.submit(make_job(), boottime() + 2)
    batches = BatchInterface(holder, daemon.jobs, lambda: 1000.0)
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/mulberryport/lots/job1",
        "HTTP_X_API_KEY": "withdrawn",
    }
    with pytest.raises(RefusalError) as refusal:
        batches.intercept(environ, lambda status, headers: None, None)
    assert refusal.value.status == 401
    daemon.die()


def test_unknown_key_is_not_refused_for_good_while_a_newer_configuration_is_missing():
    # Guards against a trainer that gives up because a daemon has not read its new key.
    holder = SnapshotHolder()
    tables = Tables(workspaces={"roads": Workspace(name="roads")})
    holder.adopt(Snapshot(1, "first", tables), {})
    batches = BatchInterface(holder, None, lambda: 1000.0, is_behind=lambda: True)
    environ = {
        "REQUEST_METHOD": "GET",
        "PATH_INFO": "/mulberryport/lots/job1",
        "HTTP_X_API_KEY": "added",
    }
    with pytest.raises(RefusalError) as refusal:
        batches.intercept(environ, lambda status, headers: None, None)
    assert refusal.value.status == 503


def make_storage_daemon(folder, store):
    """Return a storage daemon whose programs use a store in memory."""
    vm = StorageVm(
        id="disk1", zone="a", peer_address="127.0.0.1:1", data_folder=str(folder)
    )
    settings = StorageSettings(vm, StoragePlatform(store="127.0.0.1:2"))
    daemon = StorageDaemon(settings)
    daemon.store = store
    daemon.retirements = Mirror(store, RETIREMENT_PREFIX + "disk1")
    return daemon


def test_journal_is_not_registered_before_its_retirement_could_be_read(tmp_path):
    # Guards against jobs copied to a disk that is about to be removed, because its
    # restarted program took the retirement that it had not read for none.
    store = MemoryStore()
    store.write(RETIREMENT_PREFIX + "disk1", b"{}")
    daemon = make_storage_daemon(tmp_path, store)
    daemon._register_journal()
    assert JOURNAL_PREFIX + "disk1" not in store.items
    daemon.retirements.start()
    assert until(lambda: daemon.retirements.loaded)
    daemon._register_journal()
    assert JOURNAL_PREFIX + "disk1" not in store.items
    daemon.retirements.stop()


def test_journal_is_registered_once_no_retirement_was_found(tmp_path):
    store = MemoryStore()
    daemon = make_storage_daemon(tmp_path, store)
    daemon.retirements.start()
    assert until(lambda: daemon.retirements.loaded)
    daemon._register_journal()
    assert JOURNAL_PREFIX + "disk1" in store.items
    daemon.retirements.stop()
