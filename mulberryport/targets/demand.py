"""Traffic of the daemons in heartbeats; this module changes messages only.

Each heartbeat tells how many requests of each workspace run and wait at its
sender, so that the daemons can share a pool fairly without a common queue, and
which targets it has ejected.
"""

from ..peering import peer_pb2
from .dispatcher import Dispatcher, Traffic

__all__ = ["add_demand", "take_demand"]


def add_demand(
    heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher
) -> peer_pb2.Heartbeat:
    """Add the traffic of this daemon to a heartbeat and return it."""
    for pool, traffic in dispatcher.traffic().items():
        message = heartbeat.traffic.add(pool=pool)
        for workspace, requests in traffic.demand.items():
            message.workspaces.add(workspace=workspace, requests=int(requests))
        for target, age in traffic.ejected.items():
            message.ejected.add(target=target, age_ms=int(age * 1000))
    return heartbeat


def take_demand(heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher) -> None:
    """Learn the traffic of another daemon from its heartbeat."""
    traffic = {
        message.pool: Traffic(
            {w.workspace: float(w.requests) for w in message.workspaces},
            {e.target: e.age_ms / 1000 for e in message.ejected},
        )
        for message in heartbeat.traffic
    }
    dispatcher.use_traffic(heartbeat.sender.vm, traffic)
