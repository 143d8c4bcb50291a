"""Usage counters as peer messages."""

from ..peering import peer_pb2
from .counters import CounterKey, Figures

__all__ = ["from_message", "to_message"]


def to_message(key: CounterKey, figures: Figures) -> peer_pb2.UsageCounter:
    """Return a counter as a message."""
    return peer_pb2.UsageCounter(
        vm=key.vm,
        incarnation=key.incarnation,
        workspace=key.workspace,
        pool=key.pool,
        window=key.window,
        requests=figures.requests,
        tokens=figures.tokens,
        samples=figures.samples,
    )


def from_message(message: peer_pb2.UsageCounter) -> tuple[CounterKey, Figures]:
    """Return the counter that a message holds."""
    key = CounterKey(
        message.vm,
        message.incarnation,
        message.workspace,
        message.pool,
        message.window,
    )
    return key, Figures(message.requests, message.tokens, message.samples)
