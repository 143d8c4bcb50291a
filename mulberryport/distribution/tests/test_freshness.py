"""Tests of the decision whether a daemon would know of withdrawn keys."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ...outcomes import Done
from ...tables import change_tables, issue_key, withdraw_key
from ...tables.tests.builders import sample_tables
from .. import FleetView, keys_usable
from .builders import SimulatedFleet, simulated_time

BOUND_S = 5.0
property_test = settings(derandomize=True, deadline=None, max_examples=100)


@property_test
@given(st.lists(st.integers(0, 3), min_size=2, max_size=12))
def test_at_most_one_partition_accepts_keys(groups):
    # Guards against two partitions of a fleet that both assume the store to be down.
    sizes = [groups.count(group) for group in set(groups)]
    usable = [size for size in sizes if keys_usable(FleetView(60.0, len(groups), size))]
    assert len(usable) <= 1
    assert all(2 * size > len(groups) for size in usable)


@property_test
@given(st.integers(1, 12), st.integers(0, 12), st.booleans())
def test_a_fresh_confirmation_is_enough_and_an_old_one_needs_a_majority(
    members, without, alone
):
    # Guards against refusing keys while the store can be read, and against accepting
    # them on a daemon that cannot know of a withdrawal.
    assert keys_usable(FleetView(4.0, members, without, alone))
    usable = keys_usable(FleetView(4.1, members, without, alone))
    assert usable == (2 * without > members and (members > 1 or alone))


def start_fleet(patch, size, **options):
    fleet = SimulatedFleet(simulated_time(patch), size, **options)
    change_tables(fleet.store, lambda _: sample_tables(), change_id="tables")
    _, outcome = issue_key(fleet.store, "roads", change_id="key")
    fleet.run(3)
    assert usable(fleet) == set(fleet.daemons)
    assert {d.snapshot_holder.snapshot.revision for d in fleet.daemons.values()} == {2}
    assert isinstance(outcome, Done)
    return fleet


def usable(fleet):
    return {vm for vm, daemon in fleet.daemons.items() if daemon.keys_usable()}


def vms(*numbers):
    return {f"vm{number}" for number in numbers}


@pytest.mark.parametrize(
    ("groups", "without_store", "accepting"),
    [
        # The store is down for all daemons.
        ([vms(*range(6))], vms(*range(6)), vms(*range(6))),
        # A minority is partitioned, without and with access to the store.
        ([vms(0, 1), vms(2, 3, 4, 5)], vms(0, 1), vms(2, 3, 4, 5)),
        ([vms(0, 1), vms(2, 3, 4, 5)], vms(2, 3, 4, 5), vms(*range(6))),
        # An even split and a single partitioned daemon, while the store is down.
        ([vms(0, 1, 2), vms(3, 4, 5)], vms(*range(6)), set()),
        ([vms(0), vms(1, 2, 3, 4, 5)], vms(*range(6)), vms(1, 2, 3, 4, 5)),
        # One daemon cannot read the store, but receives heartbeats of those that can.
        ([vms(*range(6))], vms(0), vms(*range(6))),
    ],
)
def test_partitions_without_the_store(monkeypatch, groups, without_store, accepting):
    # Guards against a partition that accepts withdrawn keys, and against refusing all
    # requests during an outage of the store.
    fleet = start_fleet(monkeypatch, 6)
    fleet.cut(groups, without_store)
    fleet.run(BOUND_S)
    assert usable(fleet) == accepting
    fleet.run(60)
    assert usable(fleet) == accepting
    fleet.cut([fleet.daemons], [])
    fleet.run(2)
    assert usable(fleet) == set(fleet.daemons)


def test_store_outage_does_not_interrupt_the_service(monkeypatch):
    # Guards against refusals between the time at which the confirmation becomes too old
    # and the arrival of the peers' reports.
    fleet = start_fleet(monkeypatch, 8)
    fleet.cut([fleet.daemons], fleet.daemons)
    for _ in range(20):
        fleet.run(0.5)
        assert usable(fleet) == set(fleet.daemons)


def test_daemon_without_peers_assumes_an_unreadable_store_to_be_down(monkeypatch):
    fleet = start_fleet(monkeypatch, 1)
    fleet.cut([fleet.daemons], fleet.daemons)
    fleet.run(60)
    assert usable(fleet) == {"vm0"}


@property_test
@given(st.data())
def test_withdrawn_key_is_refused_within_the_bound(data):
    # Guards against accepting a key that an operator withdrew while parts of the fleet
    # are partitioned from each other and from the store.
    with pytest.MonkeyPatch.context() as patch:
        size = data.draw(st.integers(2, 7))
        fleet = start_fleet(patch, size)
        names = sorted(fleet.daemons)
        sides = data.draw(st.lists(st.integers(0, 2), min_size=size, max_size=size))
        groups = [
            {vm for vm, side in zip(names, sides, strict=True) if side == number}
            for number in range(3)
        ]
        without = data.draw(st.sets(st.sampled_from(names)))
        fleet.cut(groups, without)
        fleet.run(data.draw(st.sampled_from([0, 1, 3.5, 10])))
        record = next(
            iter(fleet.daemons["vm0"].snapshot_holder.snapshot.tables.keys.values())
        )
        assert isinstance(withdraw_key(fleet.store, record.key_id, change_id="w"), Done)
        fleet.run(BOUND_S)
        for _ in range(10):
            for vm in usable(fleet):
                holder = fleet.daemons[vm].snapshot_holder
                group = next(group for group in groups if vm in group)
                # The only exception: a majority that cannot read the store.
                majority = 2 * len(group & without) > size
                assert majority or holder.snapshot.revision == 3
            fleet.run(1)
        fleet.cut([names], [])
        fleet.run(BOUND_S)
        assert usable(fleet) == set(names)
        revisions = {
            d.snapshot_holder.snapshot.revision for d in fleet.daemons.values()
        }
        assert revisions == {3}


def test_daemon_that_cannot_follow_its_peers_refuses_keys(monkeypatch):
    # Guards against counting peers that can read the store as cut off from it.
    fleet = start_fleet(monkeypatch, 6)
    fleet.without_fetch = fleet.without_store = {"vm5"}
    change_tables(fleet.store, lambda tables: tables, change_id="next")
    fleet.run(BOUND_S)
    assert usable(fleet) == vms(0, 1, 2, 3, 4)


def test_delayed_heartbeat_confirms_nothing(monkeypatch):
    # Guards against a paused process that treats old heartbeats in its buffers as
    # current when it resumes.
    fleet = start_fleet(monkeypatch, 6)
    late = [fleet.heartbeat(f"vm{number}", "vm5") for number in range(5)]
    fleet.time.now += 60
    for heartbeat in late:
        heartbeat.config.store_unreadable = True
        fleet.deliver(heartbeat, "vm5")
    assert not fleet.daemons["vm5"].keys_usable()
