"""Tests of traffic reports that relays pass on."""

from ...membership import Members
from ...membership.tests.builders import fleet_members, member_of
from ...peering import peer_pb2
from .. import Dispatcher, TargetDirectory
from .. import traffic as traffic_module
from ..traffic import TrafficExchange


class RecordingDispatcher(Dispatcher):
    """Dispatcher without traffic that records the reports of other daemons."""

    def __init__(self):
        super().__init__(TargetDirectory(), "zone0")
        self.reports = {}

    def apply_remote_traffic(self, daemon, traffic):
        """Record a report."""
        self.reports[daemon] = traffic


def heartbeat_of(member, requests):
    """Return the heartbeat of a member with requests of one workspace."""
    heartbeat = peer_pb2.Heartbeat()
    heartbeat.sender.vm, heartbeat.sender.zone = member.vm, member.zone
    if requests:
        pool = heartbeat.traffic.add(pool="p")
        pool.workspaces.add(workspace="w", requests=requests)
    return heartbeat


def relay_and_zone():
    """Return the exchange of a relay of a zone, and the zone's other members."""
    fleet = fleet_members(60, 3).live()
    for own in fleet:
        members = Members(own)
        for other in fleet:
            if other.vm != own.vm:
                members.record_heartbeat(other)
        if members.is_relay():
            zone = [m for m in fleet if m.zone == own.zone and m.vm != own.vm]
            return TrafficExchange(RecordingDispatcher(), members), zone
    raise AssertionError("no relay")


def test_relay_passes_on_the_traffic_of_its_zone():
    # Guards against unfair shares in a large zone, whose members hear only relays.
    relay, zone = relay_and_zone()
    first, second, third = zone[:3]
    relay.apply(heartbeat_of(first, 4))
    relay.apply(heartbeat_of(second, 7))
    relay.apply(heartbeat_of(member_of(1, 3), 9))
    heartbeat = peer_pb2.Heartbeat()
    relay.add(heartbeat, third)
    receiver = TrafficExchange(RecordingDispatcher(), Members(third))
    heartbeat.sender.vm = relay.members.self_member.vm
    receiver.apply(heartbeat)
    reports = receiver.dispatcher.reports
    demand = {vm: r["p"].demand["w"] for vm, r in reports.items() if r}
    assert demand[first.vm] == 4.0
    assert demand[second.vm] == 7.0
    own = relay.members.self_member
    assert set(demand) - {first.vm, second.vm} <= (
        {member_of(1, 3).vm} if own.zone == member_of(1, 3).zone else set()
    )
    # A member gets no report of itself, and other zones get none.
    to_first = peer_pb2.Heartbeat()
    relay.add(to_first, first)
    assert first.vm not in {relayed.vm for relayed in to_first.relayed_traffic}
    elsewhere = next(m for m in relay.members.live() if m.zone != own.zone)
    to_other_zone = peer_pb2.Heartbeat()
    relay.add(to_other_zone, elsewhere)
    assert not to_other_zone.relayed_traffic


def test_outdated_traffic_is_not_passed_on(monkeypatch):
    # Guards against demand of daemons that are gone, and against its memory.
    relay, zone = relay_and_zone()
    relay.apply(heartbeat_of(zone[0], 4))
    relay.apply(heartbeat_of(zone[1], 4))
    relay.apply(heartbeat_of(zone[1], 0))
    monkeypatch.setattr(traffic_module, "REPORT_LIFETIME_S", 0.0)
    heartbeat = peer_pb2.Heartbeat()
    relay.add(heartbeat, zone[2])
    assert not heartbeat.relayed_traffic
    assert not relay._received
