"""Tests of changes to the tables against a stand-in of the store."""

import pytest
from attrs import evolve

from ...outcomes import Done, NotDone, Unknown
from ...runtime.http import call_json
from .. import (
    Accepted,
    KeyRecord,
    RevisionConflict,
    SnapshotHolder,
    Tables,
    change_tables,
    find_key,
    issue_key,
    read_head,
    read_snapshot,
    withdraw_key,
)
from ..head import SHARD_PREFIX
from ..model import Snapshot
from .builders import drop_head_write_responses, running_store, sample_tables


def set_sample_tables(_):
    return sample_tables()


def test_keys_are_issued_and_withdrawn():
    with running_store() as store:
        change_tables(store, set_sample_tables, change_id="a")
        key, outcome = issue_key(store, "roads", change_id="b")
        assert outcome == Done(Accepted(2, "b"))
        tables = read_snapshot(store).value.tables
        record = find_key(tables, key)
        assert record.workspace == "roads"
        assert key not in repr(tables)
        withdraw_key(store, record.key_id, change_id="c")
        assert find_key(read_snapshot(store).value.tables, key) is None


def test_concurrent_change_is_reported_as_conflict():
    # Guards against a change that silently overwrites a concurrent one.
    with running_store() as store:
        change_tables(store, set_sample_tables, change_id="a", base=0)
        outcome = change_tables(store, set_sample_tables, change_id="b", base=0)
        assert outcome == Done(RevisionConflict(0, 1))


def test_repeated_change_id_resolves_a_lost_response():
    # Guards against reporting an accepted change as failed, or applying it twice.
    with running_store() as store:
        fault = {"lose_answers": True, "paths": ["/kv/config/head"]}
        change_tables(store, set_sample_tables, change_id="a")
        call_json("POST", store.url + "/faults", fault, timeout=1)
        assert isinstance(read_head(store), Unknown)
        outcome = change_tables(store, lambda t: evolve(t, keys={}), change_id="b")
        assert isinstance(outcome, NotDone)
        call_json("POST", store.url + "/faults", {}, timeout=1)
        assert change_tables(store, set_sample_tables, change_id="a") == Done(
            Accepted(1, "a")
        )


@pytest.mark.parametrize(
    "effects", [["taken"], ["untaken"], ["untaken", "taken"], ["taken", "untaken"]]
)
def test_lost_head_write_is_resolved(effects):
    # Guards against reporting an unknown outcome, or applying a change twice, when the
    # state of the store shows the outcome.
    with running_store(
        lambda app: drop_head_write_responses(app, effects, [])
    ) as store:
        assert change_tables(store, set_sample_tables, change_id="a") == Done(
            Accepted(1, "a")
        )
        assert read_snapshot(store).value.revision == 1


@pytest.mark.parametrize("effect", ["taken", "untaken"])
def test_lost_head_write_followed_by_another_change_is_resolved(effect):
    # Guards against reporting the wrong winner of a race after a lost response.
    concurrent_changes = []
    with running_store(
        lambda app: drop_head_write_responses(app, [effect], concurrent_changes)
    ) as store:
        concurrent_changes.append(
            lambda: change_tables(store, set_sample_tables, change_id="other")
        )
        outcome = change_tables(store, set_sample_tables, change_id="a", base=0)
    taken = effect == "taken"
    assert outcome == Done(Accepted(2, "a") if taken else RevisionConflict(0, 1))


def test_unresolved_write_is_unknown_and_can_be_repeated():
    # Guards against reporting a definite outcome after all responses were lost.
    effects = ["taken", "untaken", "untaken", "untaken"]
    with running_store(
        lambda app: drop_head_write_responses(app, effects, [])
    ) as store:
        lost = change_tables(store, set_sample_tables, change_id="a", base=0)
        assert isinstance(lost, Unknown)
        again = change_tables(store, set_sample_tables, change_id="a", base=0)
        assert again == Done(Accepted(1, "a"))


def test_missing_shard_is_replaced_only_by_a_repair():
    # Guards against a store that cannot be repaired once a shard is missing.
    with running_store() as store:
        change_tables(store, set_sample_tables, change_id="a")
        head = read_head(store).value[0]
        key = SHARD_PREFIX + head.shards["routes"]
        store.remove(key, store.read(key).value.version)
        outcome = change_tables(store, set_sample_tables, change_id="b")
        assert isinstance(outcome, NotDone)
        outcome = change_tables(store, set_sample_tables, change_id="c", repair=True)
        assert outcome == Done(Accepted(2, "c"))
        assert read_snapshot(store).value.tables == sample_tables()


def test_issued_key_replaces_given_keys():
    # Guards against valid but unknown keys left behind by a repeated issue.
    with running_store() as store:
        change_tables(store, set_sample_tables, change_id="a")
        lost, _ = issue_key(store, "roads", change_id="b")
        replaced_id = find_key(read_snapshot(store).value.tables, lost).key_id
        key, _ = issue_key(store, "roads", change_id="c", replaced_ids=[replaced_id])
        tables = read_snapshot(store).value.tables
        assert find_key(tables, lost) is None
        assert find_key(tables, key).workspace == "roads"


def test_new_revision_exceeds_the_given_one():
    with running_store() as store:
        outcome = change_tables(store, set_sample_tables, change_id="a", after=41)
        assert outcome == Done(Accepted(42, "a"))


@pytest.mark.parametrize("revision", [0, 4, 5])
def test_holder_never_reverts(revision):
    # Guards against adopting an old head from a store that was restored from a copy.
    holder = SnapshotHolder()
    assert holder.adopt(Snapshot(5, "new"), {})
    assert not holder.adopt(Snapshot(revision, "old"), {})
    assert holder.snapshot.change_id == "new"


def test_holder_notifies_of_withdrawn_keys():
    # Guards against streams that stay open after their key was withdrawn.
    kept, moved, gone = "a" * 64, "b" * 64, "c" * 64
    holder, withdrawn = SnapshotHolder(), []
    holder.subscribe(lambda _: 1 / 0)
    holder.subscribe_withdrawals(withdrawn.append)
    for revision, owners in enumerate(
        [{kept: "w", moved: "w", gone: "w"}, {kept: "w", moved: "v"}, {kept: "w"}], 1
    ):
        keys = {digest: KeyRecord(digest, w) for digest, w in owners.items()}
        holder.adopt(Snapshot(revision, f"c{revision}", Tables(keys=keys)), {})
    assert withdrawn == [frozenset({moved, gone}), frozenset({moved})]
