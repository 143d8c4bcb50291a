"""Tests of the removal of old shards."""

import pytest
from attrs import evolve

from ...leases import Duty
from ...outcomes import Done
from ...runtime import boottime
from ...tables import Accepted, change_tables, read_snapshot
from ...tables.head import HISTORY_LENGTH, SHARD_PREFIX
from ...tables.tests.builders import sample_tables
from ..cleanup import MAX_REMOVALS, ShardCleanup
from .builders import MemoryStore


def with_weight(tables, weight):
    pools = tables.pools
    desk = evolve(pools["desk"], concurrency=weight)
    return evolve(tables, pools={**pools, "desk": desk})


def edit(store, number):
    """Make a change that replaces one shard."""
    change = change_tables(
        store,
        lambda _: with_weight(sample_tables(), number + 1),
        change_id=f"edit {number}",
    )
    assert isinstance(change.value, Accepted)


def shards(store):
    return store.list_keys(SHARD_PREFIX).value


@pytest.fixture
def duty():
    """Return a duty that is held for the length of a test."""
    duty = Duty("config-cleanup")
    duty.record_grant(1, boottime(), 600.0)
    return duty


def test_number_of_old_shards_is_bounded(duty):
    # Guards against a store that fills up, and against removal of shards that the
    # head or a recent one names.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    named = []
    for number in range(3 * HISTORY_LENGTH):
        edit(store, number)
        cleanup.turn()
        snapshot = read_snapshot(store).value
        named.append(set(snapshot.shards.values()))
        stored = {key.removeprefix(SHARD_PREFIX) for key in shards(store)}
        assert all(digests <= stored for digests in named[-HISTORY_LENGTH:])
        # One replaced shard for each revision of the history, beside the head's.
        assert len(stored) <= HISTORY_LENGTH + len(snapshot.shards) + 1


def test_calls_of_a_turn_are_bounded_and_need_the_duty(duty):
    # Guards against a burst of calls, and against a daemon that lost the duty.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    for number in range(2 * HISTORY_LENGTH):
        edit(store, number)
        if number < HISTORY_LENGTH:
            cleanup.turn()
    for number in range(HISTORY_LENGTH):
        store.write(f"{SHARD_PREFIX}junk{number}", b"x", 0)
    before = store.calls
    cleanup.turn()
    # Head, list and rewriting; a read and a removal for each (writes read, too).
    assert store.calls - before <= 4 + 3 * MAX_REMOVALS
    count = len(shards(store))
    duty.record_loss()
    cleanup.turn()
    assert len(shards(store)) == count


@pytest.mark.parametrize("moment", ["before the head", "after the head"])
def test_shard_that_is_used_again_is_not_removed(monkeypatch, duty, moment):
    # Guards against a head that names a shard which is removed at the same time.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    edit(store, 0)
    edit(store, 1)
    cleanup.turn()
    for number in range(2, HISTORY_LENGTH + 2):
        edit(store, number)
    rewrite = ShardCleanup._rewrite_head

    def interrupted(cleanup, head, version):
        if moment == "before the head":
            edit(store, 0)
            return rewrite(cleanup, head, version)
        result = rewrite(cleanup, head, version)
        edit(store, 0)
        return result

    monkeypatch.setattr(ShardCleanup, "_rewrite_head", interrupted)
    cleanup.turn()
    assert isinstance(read_snapshot(store), Done)


def test_change_prepared_before_a_removal_starts_again(duty):
    # Guards against a change whose shard was removed after it was found to exist.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    edit(store, 0)
    edit(store, 1)
    cleanup.turn()
    for number in range(2, HISTORY_LENGTH + 2):
        edit(store, number)
    write, interrupted = store.write, []

    def write_later(key, value, expected):
        if key == "config/head" and not interrupted:
            # The removal runs between the shards and the head of the change.
            interrupted.append(True)
            cleanup.turn()
        return write(key, value, expected)

    store.write = write_later
    base = read_snapshot(store).value.revision
    outcome = change_tables(
        store,
        lambda _: with_weight(sample_tables(), 1),
        change_id="again",
        base=base,
    )
    assert outcome == Done(Accepted(base + 1, "again"))
    assert isinstance(read_snapshot(store), Done)
