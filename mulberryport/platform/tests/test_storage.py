"""Tests of the registration and the retirement of a journal."""

import orjson
import pytest

from ...coordination import Mirror
from ...coordination.tests.builders import MemoryStore, until
from ...jobs.tests.builders import LateStore
from ...journal import JOURNAL_PREFIX
from ..storage import (
    RETIREMENT_PREFIX,
    RETIREMENT_STATUS_PREFIX,
    StorageDaemon,
    StoragePlatform,
    StorageSettings,
    StorageVm,
)

RECORD_KEY = JOURNAL_PREFIX + "disk1"
REQUEST_KEY = RETIREMENT_PREFIX + "disk1"
STATUS_KEY = RETIREMENT_STATUS_PREFIX + "disk1"


def make_daemon(store, folder):
    """Return the daemon of a disk that uses a store without a network."""
    vm = StorageVm(
        id="disk1", zone="a", peer_address="127.0.0.1:1", data_folder=str(folder)
    )
    platform = StoragePlatform(store="127.0.0.1:1")
    daemon = StorageDaemon(StorageSettings(vm, platform))
    daemon.store = daemon.journal.repository.store = store
    daemon.retirements = Mirror(store, REQUEST_KEY)
    daemon.retirements.start()
    assert until(lambda: daemon.retirements.loaded)
    return daemon


@pytest.fixture
def store():
    return MemoryStore()


def request_retirement(store, daemon):
    """Request that the disk is emptied, and wait until its daemon knows."""
    store.write(REQUEST_KEY, b"{}")
    assert until(lambda: daemon.retirements.get(REQUEST_KEY))


def test_journal_is_registered_until_its_retirement_is_confirmed(store, tmp_path):
    daemon = make_daemon(store, tmp_path)
    daemon._register_journal()
    assert RECORD_KEY in store.items
    request_retirement(store, daemon)
    daemon._run_journal()
    assert RECORD_KEY not in store.items
    assert orjson.loads(store.items[STATUS_KEY].value) == {"state": "completed"}
    # The same disk may be used again later.
    store.remove(REQUEST_KEY)
    again = make_daemon(store, tmp_path)
    again._register_journal()
    assert RECORD_KEY in store.items
    daemon.retirements.stop()
    again.retirements.stop()


def test_late_registration_does_not_follow_the_confirmed_retirement(store, tmp_path):
    # Guards against daemons that write accepted jobs to a removed disk: each such call
    # takes its whole time limit, and its outcome is unknown.
    connection = LateStore(
        store, lambda transaction: any(p.key == RECORD_KEY for p in transaction.puts)
    )
    daemon = make_daemon(connection, tmp_path)
    daemon._register_journal()
    assert connection.late
    request_retirement(store, daemon)
    daemon._run_journal()
    assert STATUS_KEY in store.items
    connection.execute_late()
    assert RECORD_KEY not in store.items
    daemon.retirements.stop()


def test_late_confirmation_does_not_follow_a_new_registration(store, tmp_path):
    # Guards against the removal of a disk with jobs: the request was withdrawn and the
    # daemon restarted, so that it accepts jobs again.
    connection = LateStore(
        store, lambda transaction: any(p.key == STATUS_KEY for p in transaction.puts)
    )
    daemon = make_daemon(connection, tmp_path)
    daemon._register_journal()
    request_retirement(store, daemon)
    daemon._run_journal()
    assert connection.late
    daemon.retirements.stop()
    store.remove(REQUEST_KEY)
    again = make_daemon(store, tmp_path)
    again._register_journal()
    connection.execute_late()
    assert STATUS_KEY not in store.items
    assert RECORD_KEY in store.items
    again.retirements.stop()
