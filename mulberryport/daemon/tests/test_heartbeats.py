"""Tests of the content of heartbeats."""

from ...membership import Member, Members
from ...peering import peer_pb2
from ...runtime.clock import boottime
from ...tables import SnapshotHolder
from ..heartbeats import Heartbeats


class StoreStatus:
    """Access to a store that always answers."""

    store_readable = True

    def apply_heartbeat(self, heartbeat):
        """Ignore what peers report."""


class Sender:
    """Supplies the sender of heartbeats."""

    def __init__(self, members):
        self._members = members

    def sender(self):
        """Return the identity of this daemon."""
        member = self._members.self_member
        return peer_pb2.Sender(
            vm=member.vm,
            zone=member.zone,
            peer_address=member.peer_address,
            incarnation=member.incarnation,
        )


def make_heartbeats(vm, zone="a"):
    """Return the heartbeats of a daemon."""
    members = Members(Member(vm, zone, f"127.0.0.1:{vm[2:]}", 1))
    return Heartbeats(members, SnapshotHolder(), StoreStatus(), Sender(members))


def send(sender, receiver):
    """Send one heartbeat."""
    heartbeat, _ = sender.make_heartbeat(receiver.members.self_member, None)
    receiver.apply_heartbeat(heartbeat)


def test_daemon_that_cannot_serve_yet_says_so():
    # Guards against work for a daemon that has read no configuration yet.
    first, second = make_heartbeats("vm1"), make_heartbeats("vm2")
    second.members.set_serving(False)
    send(second, first)
    assert first.members.get("vm2").serving is False
    second.members.set_serving(True)
    send(second, first)
    assert first.members.get("vm2").serving is True


def test_gossip_says_which_members_cannot_serve_yet():
    # Guards against work for such a daemon by members that do not hear it themselves.
    first, relay = make_heartbeats("vm1"), make_heartbeats("vm2", "b")
    relay.members.record_heartbeat(
        Member("vm3", "b", "127.0.0.1:3", 1, False, boottime(), serving=False)
    )
    send(relay, first)
    (reported,) = [m for m in first.members.live() if m.vm == "vm3"]
    assert reported.serving is False


def test_heartbeat_of_an_older_build_counts_as_serving():
    # Guards against peers of an older build that get no work during an upgrade.
    members = make_heartbeats("vm1").members
    heartbeats = Heartbeats(members, SnapshotHolder(), StoreStatus(), Sender(members))
    heartbeats.apply_heartbeat(
        peer_pb2.Heartbeat(
            sender=peer_pb2.Sender(vm="vm2", zone="a", peer_address="x", incarnation=1),
            members=[peer_pb2.MemberInfo(vm="vm3", zone="a", incarnation=1)],
            members_complete=True,
        )
    )
    assert all(member.serving for member in members.live())
    assert len(members.live()) == 3
