"""Replication of finished samples to another zone, to limit the loss with an owner.

``ReplicaStore`` stores the samples that other owners send. ``SampleReplicator`` sends
the samples of one owned step, in batches, until the step is closed.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

import eventlet
from attrs import define, field

from ..membership import Members
from ..outcomes import Done, Outcome
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from .messages import sample_to_message, spec_to_message
from .model import Sample, StepId, StepSpec
from .step import InvalidPullError, StepState

__all__ = ["ReplicaStore", "SampleReplicator", "split_into_batches", "send_samples"]

# About 120 MB at 60 bytes per token; the least recently updated steps are evicted.
MAX_REPLICA_TOKENS = 2_000_000
REPLICA_LIFETIME_S = 900.0
MAX_BATCH_SAMPLES = 64
MAX_BATCH_TOKENS = 50_000
# Delay after each batch, in which further finished samples accumulate.
BATCH_DELAY_S = 0.05
RETRY_DELAY_S = 0.5
CALL_TIMEOUT_S = 2.0


@define(eq=False)
class ReplicaStore:
    """Replicas of the finished samples of steps that other daemons own.

    Parameters
    ----------
    max_tokens : int
        Bound on the tokens of all replicas; one step may exceed it.
    """

    max_tokens: int = MAX_REPLICA_TOKENS
    _steps: OrderedDict[StepId, StepState] = field(factory=OrderedDict)

    def merge(self, spec: StepSpec, samples: Iterable[Sample], received: bytes) -> None:
        """Add samples to the replica of a step and drop those that were received."""
        step = self._steps.get(spec.id)
        if step is None or not step.spec.requests_same_samples(spec):
            step = self._steps[spec.id] = StepState(spec)
        self._steps.move_to_end(spec.id)
        step.last_activity_at = boottime()
        try:
            step.mark_received(received)
        except InvalidPullError:
            return
        for sample in samples:
            step.fill_slot(sample)
        while len(self._steps) > 1 and self.token_count > self.max_tokens:
            self._steps.popitem(last=False)

    @property
    def token_count(self) -> int:
        """Number of tokens of all replicated samples."""
        return sum(step.buffered_tokens for step in self._steps.values())

    def get(self, step_id: StepId) -> StepState | None:
        """Return the replica of a step, or None."""
        return self._steps.get(step_id)

    def remove(self, step_id: StepId) -> StepState | None:
        """Remove the replica of a step and return it, or None."""
        return self._steps.pop(step_id, None)

    def expire(self) -> None:
        """Remove replicas that were not updated for ``REPLICA_LIFETIME_S``."""
        expired_before = boottime() - REPLICA_LIFETIME_S
        for step_id, step in list(self._steps.items()):
            if step.last_activity_at < expired_before:
                del self._steps[step_id]


def split_into_batches(samples: Iterable[Sample]) -> Iterator[list[Sample]]:
    """Split samples into batches of bounded size."""
    batch: list[Sample] = []
    tokens = 0
    for sample in samples:
        if batch and (
            len(batch) >= MAX_BATCH_SAMPLES
            or tokens + len(sample.tokens) > MAX_BATCH_TOKENS
        ):
            yield batch
            batch, tokens = [], 0
        batch.append(sample)
        tokens += len(sample.tokens)
    if batch:
        yield batch


def send_samples(
    peers: Peers, vm: str, step: StepState, samples: Iterable[Sample]
) -> Outcome[object]:
    """Send finished samples of a step to a member; idempotent."""
    outcome: Outcome[object] = Done(None)
    # Without samples, a request still transfers the specification and the received
    # slots.
    for batch in list(split_into_batches(samples)) or [[]]:
        request = peer_pb2.ReplicateSamplesRequest(
            spec=spec_to_message(step.spec),
            samples=[sample_to_message(sample) for sample in batch],
            received=step.received_bitmap,
        )
        outcome = peers.call(vm, "ReplicateSamples", request, CALL_TIMEOUT_S)
        if not isinstance(outcome, Done):
            return outcome
    return outcome


@define(eq=False)
class SampleReplicator:
    """Sends the finished samples of an owned step to its replica.

    Parameters
    ----------
    step : StepState
        State of the step.
    members, peers
        Used to select and call the replica.
    is_closed : callable
        Returns whether the step was closed here.
    """

    step: StepState
    members: Members
    peers: Peers
    is_closed: Callable[[], bool]
    _unsent_samples: list[Sample] = field(factory=list)
    _in_flight_count: int = 0
    _replica_vm: str = ""
    _wakeup: Notifier = field(factory=Notifier)

    @property
    def unconfirmed_count(self) -> int:
        """Number of finished samples that the replica has not confirmed."""
        return len(self._unsent_samples) + self._in_flight_count

    def enqueue(self, sample: Sample) -> None:
        """Queue a sample for the next batch."""
        self._unsent_samples.append(sample)
        if len(self._unsent_samples) == 1:
            self._wakeup.notify_all()

    def start(self) -> None:
        """Start the green thread that sends batches, with all buffered samples."""
        self._unsent_samples = self.step.buffered_samples()
        eventlet.spawn_n(self._run)

    def announce_close(self) -> None:
        """Notify the replica that the step is closed."""
        if self._replica_vm:
            request = peer_pb2.ReplicateSamplesRequest(
                spec=spec_to_message(self.step.spec), closed=True
            )
            self.peers.call(
                self._replica_vm, "ReplicateSamples", request, CALL_TIMEOUT_S
            )

    def _run(self) -> None:
        while not self.is_closed():
            replica = self._choose_replica()
            if replica != self._replica_vm:
                self._replica_vm, self._unsent_samples = (
                    replica,
                    self.step.buffered_samples(),
                )
            if not self._unsent_samples or not replica:
                self._wakeup.wait(RETRY_DELAY_S)
                continue
            samples, self._unsent_samples = self._unsent_samples, []
            unconfirmed = [
                sample for sample in samples if self.step.is_buffered(sample)
            ]
            self._in_flight_count = len(unconfirmed)
            outcome = send_samples(self.peers, replica, self.step, unconfirmed)
            self._in_flight_count = 0
            if not isinstance(outcome, Done):
                self._unsent_samples = unconfirmed + self._unsent_samples
                eventlet.sleep(RETRY_DELAY_S)
            eventlet.sleep(BATCH_DELAY_S)

    def _choose_replica(self) -> str:
        """Return the VM of the replica, or "" if no second member is live."""
        owners = self.members.owners(self.step.spec.id.key, 2)
        others = [m for m in owners if m.vm != self.members.self_member.vm]
        return others[0].vm if others else ""
