"""Encoding and decoding of traffic reports in heartbeats.

Each heartbeat states the number of running and queued requests of each workspace at
its sender, so that the daemons share a pool fairly without a common queue, and the
targets that the sender has ejected. In a large availability zone most members exchange
heartbeats with relays only; the relays pass on what the other members reported.
"""

from collections.abc import Sequence

from attrs import define, field, frozen

from ..membership import Member, Members
from ..peering import peer_pb2
from ..runtime.clock import boottime
from .dispatcher import Dispatcher, TrafficReport

__all__ = ["TrafficExchange", "add_traffic", "apply_traffic"]

# Three heartbeat periods.
REPORT_LIFETIME_S = 3.0


def add_traffic(
    heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher
) -> peer_pb2.Heartbeat:
    """Add the traffic of this daemon to a heartbeat and return the heartbeat."""
    for pool, traffic in dispatcher.local_traffic().items():
        message = heartbeat.traffic.add(pool=pool)
        for workspace, requests in traffic.demand.items():
            message.workspaces.add(workspace=workspace, requests=int(requests))
        for target, age in traffic.ejected.items():
            message.ejected.add(target=target, age_ms=int(age * 1000))
    return heartbeat


def apply_traffic(heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher) -> None:
    """Apply the traffic in another daemon's heartbeat to the dispatcher."""
    _apply_reports(heartbeat.sender.vm, heartbeat.traffic, dispatcher)


def _apply_reports(
    vm: str, messages: Sequence[peer_pb2.PoolTraffic], dispatcher: Dispatcher
) -> None:
    traffic = {
        message.pool: TrafficReport(
            {w.workspace: float(w.requests) for w in message.workspaces},
            {e.target: e.age_ms / 1000 for e in message.ejected},
        )
        for message in messages
    }
    dispatcher.apply_remote_traffic(vm, traffic)


@frozen
class ReceivedTraffic:
    """Traffic that a member reported, and the boot time of its receipt."""

    received_at: float
    zone: str
    messages: Sequence[peer_pb2.PoolTraffic]


@define(eq=False)
class TrafficExchange:
    """Reports the traffic of this daemon and, as a relay, of other members.

    Parameters
    ----------
    dispatcher : Dispatcher
        Supplies the traffic of this daemon and receives that of the others.
    members : Members
        The members, of which this daemon may be a relay.
    """

    dispatcher: Dispatcher
    members: Members
    _received: dict[str, ReceivedTraffic] = field(factory=dict)

    def add(self, heartbeat: peer_pb2.Heartbeat, peer: Member) -> None:
        """Add traffic to a heartbeat for a peer."""
        add_traffic(heartbeat, self.dispatcher)
        zone = self.members.self_member.zone
        if peer.zone != zone or not self.members.is_relay():
            return
        self._remove_outdated()
        for vm, received in self._received.items():
            if vm != peer.vm and received.zone == zone:
                heartbeat.relayed_traffic.add(vm=vm, traffic=received.messages)

    def apply(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Apply the traffic in a heartbeat of a peer."""
        apply_traffic(heartbeat, self.dispatcher)
        for relayed in heartbeat.relayed_traffic:
            if relayed.vm != self.members.self_member.vm:
                _apply_reports(relayed.vm, relayed.traffic, self.dispatcher)
        sender = heartbeat.sender
        self._received.pop(sender.vm, None)
        if heartbeat.traffic:
            self._remove_outdated()
            self._received[sender.vm] = ReceivedTraffic(
                boottime(), sender.zone, heartbeat.traffic
            )

    def _remove_outdated(self) -> None:
        oldest = boottime() - REPORT_LIFETIME_S
        self._received = {
            vm: received
            for vm, received in self._received.items()
            if received.received_at > oldest
        }
