"""Tests of streams that are taken up at daemons that know other facts than the first.

Guards against a daemon that refuses what another one did not write: whether the record
of versions tells where a stream began follows from which versions and limits of routes
a daemon has seen, and daemons start, and see changes, at different times.
"""

import eventlet
import pytest

from ...coordination.tests.builders import MemoryStore
from .. import origins
from ..origins import ORIGINS_PREFIX
from .test_origins import NEW, OLD, Daemon, Fleet

LONG_S = 900.0


@pytest.fixture(autouse=True)
def short_delay(monkeypatch):
    """Let origins wait for a short time before they are written."""
    monkeypatch.setattr(origins, "MIN_WRITE_DELAY_S", 0.05)


def written(store):
    """Return the number of origins that the store has."""
    return sum(key.startswith(ORIGINS_PREFIX) for key in store.items)


def write_due(daemon):
    """Let a daemon write its origins once they are due."""
    eventlet.sleep(0.06)
    daemon.origins.run_once()


def list_canary(*daemons):
    """Let daemons see a target of another version, which leaves again."""
    for daemon in daemons:
        daemon.list("old", "new")
        daemon.list("old")


def test_streams_go_on_after_a_target_of_another_version_has_left():
    fleet = Fleet(MemoryStore())
    list_canary(*fleet.daemons.values())
    fleet.daemons["vm0"].begin("r1", OLD)
    fleet.kill("vm0")
    assert all(daemon.find("r1") == OLD for daemon in fleet.others("vm0"))


def test_streams_of_a_daemon_that_never_saw_the_other_version_go_on():
    # A daemon that was replaced after the version had left; its peers saw that version.
    store = MemoryStore()
    first, other = Daemon(store, "old"), Daemon(store, "old")
    list_canary(other)
    first.begin("r1", OLD)
    write_due(first)
    assert other.find("r1") == OLD


@pytest.mark.parametrize("limits", [(90.0, 90.0), (LONG_S, LONG_S), (60.0, 90.0)])
def test_streams_of_routes_with_a_long_or_raised_limit_go_on(limits):
    store = MemoryStore()
    first = Daemon(store, "old")
    first.begin("r1", OLD, limits[0])
    write_due(first)
    assert Daemon(store, "old").find("r1", limits[1]) == OLD


def test_streams_of_a_route_that_was_renamed_go_on():
    store = MemoryStore()
    first = Daemon(store, "old")
    first.begin("r1", OLD)
    write_due(first)
    assert Daemon(store, "old").find("r1", route="renamed") == OLD


def test_what_is_not_known_for_certain_is_refused():
    # Before the origin is written, a daemon that knows of another version must not
    # guess.
    store = MemoryStore()
    first, other = Daemon(store, "old"), Daemon(store, "old")
    list_canary(other)
    first.begin("r1", OLD)
    assert other.find("r1") is None
    assert Daemon(store, "old").find("r1", longest_s=90.0) is None


def test_origins_are_written_in_groups():
    # Guards against a write of the store for each stream.
    store = MemoryStore()
    daemon = Daemon(store, "old")
    for number in range(50):
        daemon.begin(f"r{number}", OLD)
    daemon.origins.run_once()
    assert written(store) == 0
    calls = store.calls
    write_due(daemon)
    assert written(store) == 50
    # One lease, and two transactions of 30 entries at most.
    assert store.calls - calls == 3


def test_streams_that_end_soon_are_not_written():
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD)
    daemon.origins.end(next(iter(daemon.origins._streams)))
    write_due(daemon)
    assert written(store) == 0


def test_the_whole_fleet_writes_within_a_limit(monkeypatch):
    # Guards against writes of the store that grow with the fleet.
    monkeypatch.setattr(origins, "MAX_WRITES_PER_S", 2.0)
    fleet = Fleet(MemoryStore(), count=4)
    daemon = fleet.daemons["vm0"]
    daemon.begin("r1", OLD)
    write_due(daemon)
    assert written(daemon.origins.store) == 0
    assert daemon.origins._write_delay_s() == 2.0


@pytest.mark.parametrize("is_long", [False, True])
def test_origins_of_long_streams_outlast_their_lease(monkeypatch, is_long):
    # Guards against a stream that runs for minutes and is refused then.
    monkeypatch.setattr(origins, "REWRITE_INTERVAL_S", 0.1)
    monkeypatch.setattr(origins, "LEASE_ROTATION_S", 0.1)
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD, LONG_S if is_long else 10.0)
    write_due(daemon)
    first_lease = daemon.origins._lease
    eventlet.sleep(0.15)
    daemon.origins.run_once()
    write_due(daemon)
    store.expire(first_lease)
    assert written(store) == is_long


def test_long_streams_stay_in_memory_for_as_long_as_they_may_be_taken_up(monkeypatch):
    monkeypatch.setattr(origins, "STREAM_LIFETIME_S", 0.05)
    store = MemoryStore()
    daemon = Daemon(store, "old")
    daemon.begin("r1", OLD, LONG_S)
    eventlet.sleep(0.1)
    daemon.begin("r2", OLD, 0.0)
    store.down = True
    assert daemon.find("r1", LONG_S) == OLD


def test_a_stream_that_another_daemon_went_on_with_can_be_taken_up_again():
    # Guards against an origin that ends with the lease of a daemon that is gone.
    store = MemoryStore()
    first, second = Daemon(store, "old", "new"), Daemon(store, "old", "new")
    first.begin("r1", NEW, LONG_S)
    first.origins.run_once()
    (key,) = first.origins._streams
    second.origins.resume(key, "notes", second.find("r1", LONG_S), LONG_S)
    store.expire(first.origins._lease)
    second.origins.run_once()
    assert Daemon(store, "old", "new").find("r1", LONG_S) == NEW


def test_streams_of_one_version_are_copied_while_the_store_is_away():
    # Guards against streams that nobody knows after an outage and a killed daemon.
    store = MemoryStore()
    fleet = Fleet(store)
    first = fleet.daemons["vm0"]
    first.begin("r0", OLD)
    first.begin("r1", OLD)
    with store.outage():
        write_due(first)
    fleet.kill("vm0")
    list_canary(fleet.daemons["vm2"])
    assert fleet.daemons["vm2"].find("r1") == OLD


def test_all_streams_are_copied_in_a_long_outage(monkeypatch):
    # Guards against copies that are made of the first streams only.
    monkeypatch.setattr(origins, "MAX_COPIES_PER_RUN", 4)
    fleet = Fleet(MemoryStore())
    first = fleet.daemons["vm0"]
    for number in range(10):
        first.begin(f"r{number}", OLD)
    with first.origins.store.outage():
        for _ in range(3):
            write_due(first)
    assert all(stream.is_copied for stream in first.origins._streams.values())
