"""Tests of adopting heads from the store and from peers, and of rejecting them."""

import pytest
from attrs import evolve

from ...outcomes import Done, NotDone
from ...peering import peer_pb2
from ...store import Entry
from ...tables import change_tables
from ...tables.head import HEAD_KEY, Head, encode_head
from ...tables.tests.builders import sample_tables
from ...telemetry import logs
from .builders import SimulatedFleet, simulated_time


@pytest.fixture
def fleet(monkeypatch):
    """Return six daemons that have adopted revision 3."""
    fleet = SimulatedFleet(simulated_time(monkeypatch), 6)
    for change_id in ("a", "b", "c"):
        change_tables(fleet.store, lambda _: sample_tables(), change_id=change_id)
    fleet.run(3)
    logs._recent_entries.clear()
    return fleet


def revisions(fleet):
    return {
        daemon.snapshot_holder.snapshot.revision for daemon in fleet.daemons.values()
    }


def events(name):
    return [entry for entry in logs.recent_entries() if entry["event"] == name]


def all_usable(fleet):
    return all(daemon.keys_usable() for daemon in fleet.daemons.values())


def test_only_two_readers_of_a_zone_call_the_store(fleet):
    # Guards against a rate of store calls that grows with the fleet.
    before = {vm: daemon.store.calls for vm, daemon in fleet.daemons.items()}
    fleet.run(30)
    rates = [(d.store.calls - before[vm]) / 30 for vm, d in fleet.daemons.items()]
    assert sum(rate > 0 for rate in rates) == 4
    assert max(rates) <= 4


def test_other_daemons_stay_current_when_both_readers_are_lost(fleet):
    # Guards against a zone that receives no revisions because its readers are lost.
    readers = {vm for vm, daemon in fleet.daemons.items() if daemon._is_reader()}
    others = set(fleet.daemons) - readers
    fleet.cut([readers, others], readers)
    change_tables(fleet.store, lambda tables: tables, change_id="d")
    fleet.run(5)
    assert {fleet.daemons[vm].snapshot_holder.snapshot.revision for vm in others} == {4}


def test_restarted_daemon_takes_the_newest_revision_from_peers(fleet):
    # Guards against a daemon that needs the store in order to start.
    fleet.cut([fleet.daemons], fleet.daemons)
    fleet.daemons["vm5"] = SimulatedFleet(fleet.time, 6, fleet.store).daemons["vm5"]
    restarted = fleet.daemons["vm5"]
    restarted.peers.call = fleet._caller("vm5")
    restarted.store.reachable = lambda: False
    fleet.run(10)
    assert restarted.snapshot_holder.snapshot.revision == 3
    assert all_usable(fleet)


def test_old_head_of_a_restored_store_is_not_adopted(fleet):
    # Guards against a store restored from a backup that reverts routes and keys.
    old = fleet.store.entries[HEAD_KEY]
    change_tables(fleet.store, lambda tables: tables, change_id="d")
    fleet.run(3)
    fleet.store.entries[HEAD_KEY] = old
    fleet.run(30)
    assert revisions(fleet) == {4}
    # One log entry per reader; the old head is an ancestor of the one in force.
    assert len(events("stale_revision")) == 4
    assert all_usable(fleet)


def test_change_on_a_restored_store_makes_keys_unusable_until_the_repair(fleet):
    # Guards against a withdrawal that the store accepted and no daemon adopts.
    fleet.store.entries.clear()
    fleet.run(30)
    assert all_usable(fleet)
    change_tables(fleet.store, lambda _: sample_tables(), change_id="lost")
    fleet.run(5)
    assert revisions(fleet) == {3}
    assert not any(daemon.keys_usable() for daemon in fleet.daemons.values())
    change_tables(fleet.store, lambda _: sample_tables(), change_id="e", after=3)
    fleet.run(5)
    assert revisions(fleet) == {4}
    assert all_usable(fleet)


def test_two_heads_with_one_revision_are_resolved_by_the_next(fleet):
    # Guards against daemons that keep different tables under one revision number.
    fleet.store.entries.clear()
    for change_id in ("x", "y", "z"):
        change_tables(fleet.store, lambda _: sample_tables(), change_id=change_id)
    fleet.run(5)
    changes = {d.snapshot_holder.snapshot.change_id for d in fleet.daemons.values()}
    assert changes == {"c"}
    assert events("revision_diverged")
    change_tables(fleet.store, lambda tables: tables, change_id="next")
    fleet.run(5)
    assert {d.snapshot_holder.snapshot.change_id for d in fleet.daemons.values()} == {
        "next"
    }


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"{}",
        encode_head(Head(9, "x", {"routes": "ab" * 32}, ("x",))),
        encode_head(Head(2**60, "x", {}, ("x",))),
    ],
)
def test_malformed_head_in_the_store_changes_nothing(fleet, value):
    # Guards against a malformed value in the store that interrupts or changes the
    # service.
    good = fleet.store.entries[HEAD_KEY]
    fleet.store.entries[HEAD_KEY] = Entry(value, 999)
    for _ in range(30):
        fleet.run(1)
        assert all_usable(fleet)
    assert revisions(fleet) == {3}
    assert len(events("configuration_refused")) >= 4
    fleet.store.entries[HEAD_KEY] = evolve(good, version=1000)
    change_tables(fleet.store, lambda tables: tables, change_id="next")
    fleet.run(5)
    assert revisions(fleet) == {4}


def test_malformed_replies_of_a_peer_change_nothing(fleet):
    # Guards against a defective daemon whose malformed data spreads to the others.
    daemon = fleet.daemons["vm0"]
    head = evolve(daemon._head, revision=9, shards={"routes": "ab" * 32})
    for reply in (
        peer_pb2.FetchConfigReply(head=b"\xff"),
        peer_pb2.FetchConfigReply(head=encode_head(head)),
        peer_pb2.FetchConfigReply(head=encode_head(head), shards={"ab" * 32: b"[]"}),
    ):
        daemon.peers.call = lambda *_, reply=reply: Done(reply)
        daemon.apply_heartbeat(
            peer_pb2.Heartbeat(sender=peer_pb2.Sender(vm="vm1"), revision=9)
        )
        assert daemon.snapshot_holder.snapshot.revision == 3
    assert len(events("configuration_refused")) == 3
    daemon.peers.call = lambda *_: NotDone("no link")
    daemon.apply_heartbeat(
        peer_pb2.Heartbeat(sender=peer_pb2.Sender(vm="vm1"), revision=9)
    )
    assert len(events("configuration_refused")) == 3


def test_lower_head_read_before_a_newer_adoption_logs_no_error(fleet):
    # Guards against a false error when a newer revision is adopted while a reply of
    # the store is in transit.
    daemon = fleet.daemons["vm0"]
    before, old = fleet.time.now, fleet.store.entries[HEAD_KEY]
    change_tables(fleet.store, lambda tables: tables, change_id="d")
    fleet.run(3)
    daemon._apply_head_entry(old.value, before, old)
    assert not events("stale_revision")
