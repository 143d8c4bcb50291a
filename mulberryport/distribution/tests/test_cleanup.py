"""Tests of the garbage collection of unreferenced shards."""

import pytest
from attrs import evolve

from ...leases import Duty
from ...outcomes import Done
from ...runtime import boottime
from ...tables import Accepted, change_tables, read_snapshot
from ...tables.head import HISTORY_LENGTH, SHARD_PREFIX
from ...tables.tests.builders import sample_tables
from ..cleanup import MAX_REMOVALS_PER_RUN, ShardCleanup
from .builders import MemoryStore


def with_concurrency(tables, concurrency):
    pools = tables.pools
    desk = evolve(pools["desk"], concurrency=concurrency)
    return evolve(tables, pools={**pools, "desk": desk})


def edit(store, number):
    """Change the tables so that one shard is replaced."""
    change = change_tables(
        store,
        lambda _: with_concurrency(sample_tables(), number + 1),
        change_id=f"edit {number}",
    )
    assert isinstance(change.value, Accepted)


def shards(store):
    return store.list_keys(SHARD_PREFIX).value


@pytest.fixture
def duty():
    """Return a duty that is held for the duration of a test."""
    duty = Duty("config-cleanup")
    duty.record_grant(1, boottime(), 600.0)
    return duty


def test_number_of_old_shards_is_bounded(duty):
    # Guards against unbounded growth of the store, and against removing shards that
    # the current head or a recent one references.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    referenced = []
    for number in range(3 * HISTORY_LENGTH):
        edit(store, number)
        cleanup.run_once()
        snapshot = read_snapshot(store).value
        referenced.append(set(snapshot.shards.values()))
        stored = {key.removeprefix(SHARD_PREFIX) for key in shards(store)}
        assert all(digests <= stored for digests in referenced[-HISTORY_LENGTH:])
        # One replaced shard per revision of the history, in addition to the head's.
        assert len(stored) <= HISTORY_LENGTH + len(snapshot.shards) + 1


def test_calls_of_a_run_are_bounded_and_need_the_duty(duty):
    # Guards against a burst of store calls, and against removals by a daemon that lost
    # the duty.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    for number in range(2 * HISTORY_LENGTH):
        edit(store, number)
        if number < HISTORY_LENGTH:
            cleanup.run_once()
    for number in range(HISTORY_LENGTH):
        store.write(f"{SHARD_PREFIX}junk{number}", b"x", 0)
    before = store.calls
    cleanup.run_once()
    # Reading the head, the list and the rewrite; a read and a removal per shard. Writes
    # of the in-memory store count as reads too.
    assert store.calls - before <= 4 + 3 * MAX_REMOVALS_PER_RUN
    count = len(shards(store))
    duty.record_loss()
    cleanup.run_once()
    assert len(shards(store)) == count


@pytest.mark.parametrize("moment", ["before the head", "after the head"])
def test_shard_that_is_referenced_again_is_not_removed(monkeypatch, duty, moment):
    # Guards against a head that references a shard which is removed concurrently.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    edit(store, 0)
    edit(store, 1)
    cleanup.run_once()
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
    cleanup.run_once()
    assert isinstance(read_snapshot(store), Done)


def test_change_prepared_before_a_removal_is_retried(duty):
    # Guards against a change whose shard is removed after the change found it in the
    # store and before it writes the head.
    store = MemoryStore()
    cleanup = ShardCleanup(store, duty)
    edit(store, 0)
    edit(store, 1)
    cleanup.run_once()
    for number in range(2, HISTORY_LENGTH + 2):
        edit(store, number)
    write, interrupted = store.write, []

    def write_later(key, value, expected):
        if key == "config/head" and not interrupted:
            # The removal runs after the change wrote its shards, before its head.
            interrupted.append(True)
            cleanup.run_once()
        return write(key, value, expected)

    store.write = write_later
    base = read_snapshot(store).value.revision
    outcome = change_tables(
        store,
        lambda _: with_concurrency(sample_tables(), 1),
        change_id="again",
        base=base,
    )
    assert outcome == Done(Accepted(base + 1, "again"))
    assert isinstance(read_snapshot(store), Done)
