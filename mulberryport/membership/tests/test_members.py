"""Tests of members and ownership."""

import pytest
from attrs import evolve

from ...runtime import boottime
from .. import LIVE_TIMEOUT_S, Member, Members
from ..members import MISSED_HEARTBEATS, REMOTE_HEARTBEAT_PERIOD_S
from .builders import SEEDS, fleet_members, linked_fleet, member_of


def exchange(views: dict[str, Members], dead: frozenset[str] = frozenset()) -> None:
    """Exchange one heartbeat and its gossip between all peers, in both directions."""
    for vm, view in views.items():
        view._cached_until = float("-inf")
        for other in sorted(view.heartbeat_peers()):
            if dead & {vm, other} or other not in views:
                continue
            for receiver, sender in ((views[other], view), (view, views[other])):
                source = evolve(sender.self_member, heard_at=boottime())
                receiver.record_heartbeat(source)
                receiver.apply_gossip(source, sender.gossip_for(receiver.self_member))


def age(views: dict[str, Members], seconds: float) -> None:
    """Move all received heartbeats into the past by some seconds."""
    for view in views.values():
        view._members = {
            vm: evolve(member, heard_at=member.heard_at - seconds)
            for vm, member in view._members.items()
        }
        view._cached_until = float("-inf")


def test_owners_are_in_distinct_zones():
    # Guards against the loss of a zone taking an owner and its replica together.
    members = fleet_members(9)
    for key in map(str, range(50)):
        assert len({member.zone for member in members.owners(key, 3)}) == 3


def test_loss_of_a_member_moves_only_its_keys():
    members = fleet_members(9)
    keys = [str(number) for number in range(200)]
    before = {key: members.owners(key, 1)[0].vm for key in keys}
    members.forget("vm004")
    after = {key: members.owners(key, 1)[0].vm for key in keys}
    assert {key for key in keys if before[key] != after[key]} == {
        key for key in keys if before[key] == "vm004"
    }


def test_silent_member_is_not_live():
    members = fleet_members(2)
    heard_at = boottime() - LIVE_TIMEOUT_S - 1
    members.record_heartbeat(Member("vm9", "zone1", "127.0.0.1:9", 1, False, heard_at))
    assert "vm9" not in {member.vm for member in members.live()}


@pytest.mark.parametrize(("count", "zones"), [(8, 3), (60, 6)])
def test_every_member_discovers_all_others_from_the_seeds(count, zones):
    # Guards against daemons that part of the fleet never discovers.
    views = linked_fleet(count, zones)
    for _ in range(6):
        exchange(views)
    assert {len(view.live()) for view in views.values()} == {count}


def test_members_of_a_large_fleet_have_few_heartbeat_peers():
    # Guards against heartbeat traffic that grows with the square of the fleet. In 27
    # zones, most members exchange heartbeats within their zone only, and relays also
    # with two relays of each other zone and with the seeds.
    views = linked_fleet(216, 27)
    for _ in range(4):
        exchange(views)
    assert {len(view.live()) for view in views.values()} == {216}
    counts = sorted(len(view.heartbeat_peers()) for view in views.values())
    assert counts[len(counts) // 2] <= 7
    assert counts[-1] <= 7 + 2 * 26 + SEEDS


def test_dead_member_is_lost_by_all():
    # Guards against a dead member that others keep live by repeating old gossip.
    views = linked_fleet(60, 6)
    for _ in range(6):
        exchange(views)
    dead = frozenset({"vm017"})
    for _ in range(6):
        age(views, MISSED_HEARTBEATS * REMOTE_HEARTBEAT_PERIOD_S)
        exchange(views, dead)
    for vm, view in views.items():
        if vm not in dead:
            assert "vm017" not in {member.vm for member in view.live()}


def test_replaced_members_are_removed():
    # Guards against memory use that grows with each replaced VM.
    members = fleet_members(2)
    replaced = evolve(member_of(5, 3), heard_at=boottime() - 10_000)
    members.record_heartbeat(replaced)
    members.expire()
    assert replaced.vm not in {member.vm for member in members.known()}


def test_member_that_cannot_serve_yet_is_live_but_not_serving():
    # Guards against work for a daemon that has read no configuration yet.
    members = fleet_members(3)
    members.record_heartbeat(evolve(member_of(1, 3), serving=False))
    members.set_serving(False)
    assert len(members.live()) == len(members.staying()) == 3
    assert [member.vm for member in members.serving()] == ["vm002"]
    members.set_serving(True)
    assert [member.vm for member in members.serving()] == ["vm000", "vm002"]
