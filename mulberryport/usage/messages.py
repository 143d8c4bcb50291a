"""Conversion of usage counters to and from peer messages."""

from ..peering import peer_pb2
from .counters import CounterKey, UsageAmounts

__all__ = ["from_message", "to_message"]


def to_message(key: CounterKey, amounts: UsageAmounts) -> peer_pb2.UsageCounter:
    """Convert a counter to a peer message."""
    return peer_pb2.UsageCounter(
        vm=key.vm,
        incarnation=key.incarnation,
        workspace=key.workspace,
        pool=key.pool,
        window=key.window,
        requests=amounts.requests,
        tokens=amounts.tokens,
        samples=amounts.samples,
    )


def from_message(message: peer_pb2.UsageCounter) -> tuple[CounterKey, UsageAmounts]:
    """Convert a peer message to a counter key and its amounts."""
    key = CounterKey(
        message.vm,
        message.incarnation,
        message.workspace,
        message.pool,
        message.window,
    )
    return key, UsageAmounts(message.requests, message.tokens, message.samples)
