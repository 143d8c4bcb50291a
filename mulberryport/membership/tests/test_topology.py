"""Tests of the heartbeat topology."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ..topology import accepts_gossip, heartbeat_peers
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
    assert not accepts_gossip(own, same_zone, member_of(6, 3))
    assert not accepts_gossip(own, remote, member_of(2, 3))
