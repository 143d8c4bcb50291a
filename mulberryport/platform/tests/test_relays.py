"""Tests of the peers that relay calls to the store."""

from ...membership.tests.builders import fleet_members, member_of
from ...peering import peer_pb2
from ..relays import StoreRelays
from ..store import PlatformStore


def heartbeat_of(member, readable, relays=()):
    """Return the heartbeat of a member."""
    heartbeat = peer_pb2.Heartbeat(store_readable=readable, store_relays=relays)
    heartbeat.sender.vm, heartbeat.sender.zone = member.vm, member.zone
    return heartbeat


def test_members_learn_of_relays_that_they_do_not_hear():
    # Guards against a member of a large zone that the store turns away together with
    # the relays of its zone, while it serves others.
    heard, other = member_of(3, 3), member_of(6, 3)
    relay = StoreRelays(PlatformStore("127.0.0.1:1"), fleet_members(9, 3))
    relay.apply_heartbeat(heartbeat_of(heard, True))
    to_member, to_other_zone = peer_pb2.Heartbeat(), peer_pb2.Heartbeat()
    relay.add_relays(to_member, other)
    relay.add_relays(to_other_zone, member_of(1, 3))
    assert list(to_member.store_relays) == [heard.vm]
    assert not to_other_zone.store_relays
    member = StoreRelays(PlatformStore("127.0.0.1:1"), fleet_members(9, 3))
    message = heartbeat_of(member_of(0, 3), False, to_member.store_relays)
    member.apply_heartbeat(message)
    assert member.available_relays() == [heard.vm]
    # What was only passed on is not passed on again.
    again = peer_pb2.Heartbeat()
    member.add_relays(again, other)
    assert not again.store_relays


def test_member_that_cannot_read_the_store_is_no_relay():
    relay = StoreRelays(PlatformStore("127.0.0.1:1"), fleet_members(9, 3))
    relay.apply_heartbeat(heartbeat_of(member_of(3, 3), True))
    relay.apply_heartbeat(heartbeat_of(member_of(3, 3), False))
    assert relay.available_relays() == []
    heartbeat = peer_pb2.Heartbeat()
    relay.add_relays(heartbeat, member_of(6, 3))
    assert not heartbeat.store_relays
