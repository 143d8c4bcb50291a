"""Tests of the components of an entry daemon that is not started."""

import pytest

from ...jobs.repository import LIVE_PREFIX
from ...membership.tests.builders import member_of
from ...peering import peer_pb2
from ...quarantine.tests.builders import (
    IDENTITY,
    OTHER_IDENTITY,
    crash_targets,
    make_crash,
)
from ...runtime import boottime
from ...tables import Snapshot, Tables
from ..daemon import MAX_BEHIND_S, MAX_WATCH_SILENCE_S, EntryDaemon
from ..settings import parse_entry_settings
from .builders import SETTINGS


def make_daemon() -> EntryDaemon:
    text = SETTINGS.format(
        vm="vm1",
        caller="127.0.0.1:8001",
        ready="127.0.0.1:8002",
        peer="127.0.0.1:8003",
        store="127.0.0.1:8004",
        seeds="",
        extra="",
    )
    return EntryDaemon(parse_entry_settings(text, "entry.ini"))


def test_crashes_are_shared_by_gateway_heartbeats_and_notices():
    # Guards against a daemon that keeps its crashes to itself or does not use them.
    daemon, other, third = make_daemon(), make_daemon(), make_daemon()
    assert daemon.gateway.crashes is daemon.crashes
    crash_targets(daemon.crashes, make_crash("t", boottime()))
    heartbeat, _ = daemon.peers.make_heartbeat(member_of(1, 1), None)
    heartbeat.sender.vm = "vm2"
    other.peers.on_heartbeat(heartbeat)
    assert other.crashes.is_suspect(IDENTITY, boottime())
    third.peer_server.notices.apply(daemon.peers.notices.make(member_of(2, 1)))
    assert third.crashes.is_suspect(IDENTITY, boottime())
    assert daemon.peers.notices is daemon.peer_server.notices


def test_metrics_count_blocked_and_suspect_requests():
    # Guards against a daemon without an operator port that hides its blocks.
    daemon = make_daemon()
    now = boottime()
    for number in range(3):
        crash_targets(daemon.crashes, make_crash(f"t{number}", now - 10 * number))
    crash_targets(daemon.crashes, make_crash("t", now), identity=OTHER_IDENTITY)
    (content,) = daemon._serve_metrics({}, lambda status, headers: None)
    assert b"mulberryport_blocked_requests 1" in content
    assert b"mulberryport_suspect_requests 1" in content


def test_a_daemon_that_does_not_follow_the_configuration_is_not_ready():
    # Guards against callers that are sent to a daemon with withdrawn keys.
    daemon = make_daemon()
    daemon.snapshot_holder.adopt(Snapshot(1, "first", Tables()), {})
    daemon.mirrors.registrations.mirror._revision = 1
    mirror = daemon.mirrors.configuration
    assert not daemon.not_ready_reasons()
    mirror.expect_revision(5)
    assert not daemon.not_ready_reasons()
    mirror._behind_since -= MAX_BEHIND_S
    assert daemon.not_ready_reasons() == ["another daemon has a newer configuration"]
    mirror._revision = 5
    assert not daemon.not_ready_reasons()
    mirror._polled_at -= MAX_WATCH_SILENCE_S
    assert daemon.not_ready_reasons() == ["the configuration is not followed"]


@pytest.mark.parametrize(("age_s", "is_withheld"), [(0.2, True), (9.0, False)])
def test_items_are_withheld_only_while_the_store_serves_others(age_s, is_withheld):
    # Guards against items of a job that others have ended, and against an outage of the
    # whole store, in which no job can end, that stops the generation of texts.
    daemon = make_daemon()
    daemon.mirrors.live_keys._answered_at = boottime() - 10.0
    daemon.store._answered_at = boottime() - 10.0
    heartbeat = peer_pb2.Heartbeat(store_readable=True, store_answer_age=age_s)
    heartbeat.sender.vm = "vm2"
    daemon._store_relays.apply_heartbeat(heartbeat)
    assert daemon.jobs.may_be_outdated() is is_withheld
    daemon.mirrors.live_keys._answered_at = boottime()
    assert not daemon.jobs.may_be_outdated()


def test_heartbeats_tell_when_the_store_answered():
    # Guards against a daemon that takes one which makes no calls for one that the
    # store serves.
    daemon, other = make_daemon(), make_daemon()
    assert not daemon.peers.make_heartbeat(member_of(1, 1), None)[0].store_answer_age
    daemon.store._answered_at = boottime() - 3.0
    heartbeat, _ = daemon.peers.make_heartbeat(member_of(1, 1), None)
    heartbeat.sender.vm = "vm2"
    other.peers.on_heartbeat(heartbeat)
    assert 2.9 < boottime() - other._store_relays.peers_answered_at < 4.0


def test_a_watch_of_the_store_is_as_old_as_the_last_answer_of_the_store():
    # Guards against texts and scores that stop in an outage of the whole store at the
    # daemons that watch it: their watch had been open for long without a change.
    daemon = make_daemon()
    daemon.mirrors.watches[LIVE_PREFIX]._distance = 0
    daemon.mirrors.live_keys._answered_at = boottime() - 20.0
    daemon.store._answered_at = boottime() - 4.0
    daemon.store._is_directly_reachable = False
    heartbeat = peer_pb2.Heartbeat(store_readable=True, store_answer_age=3.0)
    heartbeat.sender.vm = "vm2"
    daemon._store_relays.apply_heartbeat(heartbeat)
    assert not daemon.jobs.may_be_outdated()
    heartbeat.store_answer_age = 0.5
    daemon._store_relays.apply_heartbeat(heartbeat)
    assert daemon.jobs.may_be_outdated()
