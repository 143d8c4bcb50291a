"""Tests of the components of a daemon that is not started."""

from ...membership.tests.builders import member_of
from ...peering import peer_pb2
from ...quarantine.tests.builders import IDENTITY, crash_targets, make_crash
from ...runtime import boottime
from ...settings import parse_settings
from ...settings.tests.builders import settings_text
from ..process import Daemon


def make_daemon() -> Daemon:
    return Daemon(parse_settings(settings_text(), "daemon.ini"))


def test_heartbeats_and_notices_carry_crash_records():
    # Guards against a daemon that keeps its crashes to itself.
    daemon, other, third = make_daemon(), make_daemon(), make_daemon()
    peer = member_of(1, 1)
    crash_targets(daemon.crashes, make_crash("t", boottime()))
    heartbeat, _ = daemon.peers.make_heartbeat(peer, None)
    heartbeat.sender.vm = "vm2"
    other.peers.on_heartbeat(heartbeat)
    assert other.crashes.is_suspect(IDENTITY, boottime())
    notice = daemon.peers.notices.make(member_of(2, 1))
    assert isinstance(notice, peer_pb2.Heartbeat)
    third.peer_server.notices.apply(notice)
    assert third.crashes.is_suspect(IDENTITY, boottime())
    assert daemon.peers.notices is daemon.peer_server.notices
