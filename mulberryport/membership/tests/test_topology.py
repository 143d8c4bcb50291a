"""Tests of the heartbeat topology."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ..topology import (
    accepts_gossip,
    gossip_for,
    heartbeat_peers,
    is_relay,
    relays,
)
from .builders import member_of


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(2, 60), st.integers(1, 8))
def test_heartbeat_peers_connect_the_whole_fleet(count, zones):
    # Guards against a topology in which gossip cannot reach a part of the fleet.
    fleet = [member_of(number, zones) for number in range(count)]
    edges = {
        own.vm: heartbeat_peers(own, fleet, [m for m in fleet if m != own], ())
        for own in fleet
    }
    # A stream carries heartbeats in both directions, whichever member opens it.
    for vm, peers in list(edges.items()):
        for peer in peers:
            edges[peer].add(vm)
    reached, frontier = {fleet[0].vm}, [fleet[0].vm]
    while frontier:
        vm = frontier.pop()
        for other in edges[vm] - reached:
            reached.add(other)
            frontier.append(other)
    assert reached == set(edges)


def test_gossip_is_forwarded_once():
    # Guards against cycles of members that repeat each other's outdated gossip.
    own, same_zone, remote = member_of(0, 3), member_of(3, 3), member_of(1, 3)
    assert accepts_gossip(own, same_zone, remote)
    assert accepts_gossip(own, remote, member_of(4, 3))
    assert accepts_gossip(own, same_zone, member_of(6, 3))
    assert not accepts_gossip(own, remote, member_of(2, 3))
    # A member of the zone is reported only by those that hear it themselves.
    other = member_of(6, 3)
    for peer_zone in ("zone0", "zone1", "zone2"):
        reported = gossip_for(own, peer_zone, [same_zone], [remote])
        assert other not in reported
        assert (remote in reported) == (peer_zone == own.zone)


def test_members_of_a_large_zone_call_its_relays_only():
    # Guards against heartbeats that grow with the square of a zone: with 33 members
    # each in five zones, they were a large part of a daemon's processor time.
    fleet = [member_of(number, 5) for number in range(165)]
    counts = []
    for own in fleet:
        known = [member for member in fleet if member != own]
        peers = heartbeat_peers(own, fleet, known, {"seed0", "seed1"})
        counts.append(len(peers))
        if not is_relay(own, fleet):
            zone_relays = {member.vm for member in relays(own.zone, fleet)}
            assert peers == zone_relays
    assert max(counts) <= 1 + 2 * 4 + 2


def test_members_call_others_while_the_relays_of_their_zone_are_lost():
    # Guards against members that stay apart after most of their zone was killed.
    fleet = [member_of(number, 5) for number in range(165)]
    for own in fleet:
        known = [member for member in fleet if member != own]
        alone = heartbeat_peers(own, [own], known, {"seed0"})
        assert {"seed0"} < alone
        assert len(alone) <= 6 + 2 + 1 + 2 * 4 + 1
        # The first live members in rendezvous order are called as the new relays.
        lost = {member.vm for member in relays(own.zone, fleet)} - {own.vm}
        live = [member for member in fleet if member.vm not in lost]
        new_relays = {member.vm for member in relays(own.zone, live)} - {own.vm}
        assert new_relays <= heartbeat_peers(own, live, known, {"seed0"})
