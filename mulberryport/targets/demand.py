"""Demand of the daemons in heartbeats; this module changes messages only.

Each heartbeat tells how many requests of each workspace run and wait at its
sender, so that the daemons can share a pool fairly without a common queue.
"""

from ..peering import peer_pb2
from .dispatcher import Dispatcher

__all__ = ["add_demand", "take_demand"]


def add_demand(
    heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher
) -> peer_pb2.Heartbeat:
    """Add the demand of this daemon to a heartbeat and return it."""
    for pool, counts in dispatcher.demand().items():
        message = heartbeat.demand.add(pool=pool)
        for workspace, requests in counts.items():
            message.workspaces.add(workspace=workspace, requests=int(requests))
    return heartbeat


def take_demand(heartbeat: peer_pb2.Heartbeat, dispatcher: Dispatcher) -> None:
    """Learn the demand of another daemon from its heartbeat."""
    dispatcher.use_demand(
        heartbeat.sender.vm,
        {
            message.pool: {w.workspace: float(w.requests) for w in message.workspaces}
            for message in heartbeat.demand
        },
    )
