"""Encoding and decoding of traffic reports in heartbeats.

Each heartbeat states the number of running and queued requests of each workspace at
its sender, so that the daemons share a pool fairly without a common queue, and the
targets that the sender has ejected.
"""

from ..peering import peer_pb2
from .dispatcher import Dispatcher, TrafficReport

__all__ = ["add_traffic", "apply_traffic"]


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
    traffic = {
        message.pool: TrafficReport(
            {w.workspace: float(w.requests) for w in message.workspaces},
            {e.target: e.age_ms / 1000 for e in message.ejected},
        )
        for message in heartbeat.traffic
    }
    dispatcher.apply_remote_traffic(heartbeat.sender.vm, traffic)
