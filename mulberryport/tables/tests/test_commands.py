"""Tests of accepted changes against a stand-in of the store."""

import pytest
from attrs import evolve

from ...outcomes import Done, NotDone, Unknown
from ...runtime.http import call_json
from .. import (
    Accepted,
    RevisionConflict,
    SnapshotHolder,
    change_tables,
    find_key,
    issue_key,
    read_head,
    read_snapshot,
    withdraw_key,
)
from ..model import Snapshot
from .builders import running_store, sample_tables


def add_tables(_):
    return sample_tables()


def test_keys_are_issued_and_withdrawn():
    with running_store() as store:
        change_tables(store, add_tables, change_id="a")
        key, outcome = issue_key(store, "roads", change_id="b")
        assert outcome == Done(Accepted(2, "b"))
        tables = read_snapshot(store).value.tables
        record = find_key(tables, key)
        assert record.workspace == "roads"
        assert key not in repr(tables)
        withdraw_key(store, record.key_id, change_id="c")
        assert find_key(read_snapshot(store).value.tables, key) is None


def test_racing_operators_lose_no_change():
    # Guards against a change that silently overwrites another one.
    with running_store() as store:
        change_tables(store, add_tables, change_id="a", base=0)
        outcome = change_tables(store, add_tables, change_id="b", base=0)
        assert outcome == Done(RevisionConflict(0, 1))


def test_lost_answer_is_settled_by_the_change_id():
    # Guards against an accepted change that is reported as failed or made twice.
    with running_store() as store:
        fault = {"lose_answers": True, "paths": ["/kv/config/head"]}
        change_tables(store, add_tables, change_id="a")
        call_json("POST", store.url + "/faults", fault, timeout=1)
        assert isinstance(read_head(store), Unknown)
        outcome = change_tables(store, lambda t: evolve(t, keys={}), change_id="b")
        assert isinstance(outcome, NotDone)
        call_json("POST", store.url + "/faults", {}, timeout=1)
        assert change_tables(store, add_tables, change_id="a") == Done(Accepted(1, "a"))


def test_revision_after_repairs_an_old_store():
    with running_store() as store:
        outcome = change_tables(store, add_tables, change_id="a", after=41)
        assert outcome == Done(Accepted(42, "a"))


@pytest.mark.parametrize("revision", [0, 4, 5])
def test_holder_never_reverts(revision):
    # Guards against a store that comes back with an old head.
    holder = SnapshotHolder()
    assert holder.adopt(Snapshot(5, "new"), {})
    assert not holder.adopt(Snapshot(revision, "old"), {})
    assert holder.snapshot.change_id == "new"
