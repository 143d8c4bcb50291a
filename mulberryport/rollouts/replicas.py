"""Copies of finished samples in another zone, so that losing an owner loses little.

``ReplicaStore`` keeps what other owners send here; ``Replicator`` sends the samples
of one owned step, in batches, until the step is closed.
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

__all__ = ["ReplicaStore", "Replicator", "batches", "send_samples"]

# Some 120 MB at 60 bytes a token; above it the step touched longest ago is dropped.
MAX_REPLICA_TOKENS = 2_000_000
REPLICA_LIFETIME_S = 900.0
BATCH_SAMPLES = 64
BATCH_TOKENS = 50_000
# Time in which finished samples gather to a batch.
GATHER_S = 0.05
RETRY_S = 0.5
CALL_TIMEOUT_S = 2.0


@define(eq=False)
class ReplicaStore:
    """Finished samples of steps that other daemons own.

    Parameters
    ----------
    max_tokens : int
        Bound of the memory.
    """

    max_tokens: int = MAX_REPLICA_TOKENS
    _steps: OrderedDict[StepId, StepState] = field(factory=OrderedDict)

    def merge(self, spec: StepSpec, samples: Iterable[Sample], received: bytes) -> None:
        """Keep samples of a step and drop those that its trainer has."""
        step = self._steps.get(spec.id)
        if step is None or not step.spec.same_request(spec):
            step = self._steps[spec.id] = StepState(spec)
        self._steps.move_to_end(spec.id)
        step.touched_at = boottime()
        try:
            step.mark_received(received)
        except InvalidPullError:
            return
        for sample in samples:
            step.fill(sample)
        while len(self._steps) > 1 and self.tokens > self.max_tokens:
            self._steps.popitem(last=False)

    @property
    def tokens(self) -> int:
        """Tokens of all samples that are kept."""
        return sum(step.held_tokens for step in self._steps.values())

    def get(self, step_id: StepId) -> StepState | None:
        """Return what is kept of a step."""
        return self._steps.get(step_id)

    def drop(self, step_id: StepId) -> StepState | None:
        """Stop keeping a step and return what was kept of it."""
        return self._steps.pop(step_id, None)

    def expire(self) -> None:
        """Drop steps whose owner was not heard for a long time."""
        limit = boottime() - REPLICA_LIFETIME_S
        for step_id, step in list(self._steps.items()):
            if step.touched_at < limit:
                del self._steps[step_id]


def batches(samples: Iterable[Sample]) -> Iterator[list[Sample]]:
    """Split samples into messages of bounded size."""
    batch: list[Sample] = []
    tokens = 0
    for sample in samples:
        if batch and (
            len(batch) >= BATCH_SAMPLES or tokens + len(sample.tokens) > BATCH_TOKENS
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
    """Send finished samples of a step to a member; repeating it is harmless."""
    outcome: Outcome[object] = Done(None)
    # Without samples, the specification and the received set are still of use.
    for batch in list(batches(samples)) or [[]]:
        request = peer_pb2.ReplicateSamplesRequest(
            spec=spec_to_message(step.spec),
            samples=[sample_to_message(sample) for sample in batch],
            received=step.received,
        )
        outcome = peers.call(vm, "ReplicateSamples", request, CALL_TIMEOUT_S)
        if not isinstance(outcome, Done):
            return outcome
    return outcome


@define(eq=False)
class Replicator:
    """Sends the finished samples of an owned step to its replica.

    Parameters
    ----------
    step : StepState
        The step.
    members, peers
        Whom to send them to.
    closed : callable
        Whether the step was closed here.
    """

    step: StepState
    members: Members
    peers: Peers
    closed: Callable[[], bool]
    _unsent: list[Sample] = field(factory=list)
    _sending: int = 0
    _replica: str = ""
    _wake: Notifier = field(factory=Notifier)

    @property
    def waiting(self) -> int:
        """Finished samples that the replica has not confirmed."""
        return len(self._unsent) + self._sending

    def add(self, sample: Sample) -> None:
        """Send a sample with the next batch."""
        self._unsent.append(sample)
        if len(self._unsent) == 1:
            self._wake.notify_all()

    def start(self) -> None:
        """Start to send."""
        self._unsent = self.step.finished()
        eventlet.spawn_n(self._run)

    def forget(self) -> None:
        """Tell the replica that the step is closed."""
        if self._replica:
            request = peer_pb2.ReplicateSamplesRequest(
                spec=spec_to_message(self.step.spec), closed=True
            )
            self.peers.call(self._replica, "ReplicateSamples", request, CALL_TIMEOUT_S)

    def _run(self) -> None:
        while not self.closed():
            replica = self._choose()
            if replica != self._replica:
                self._replica, self._unsent = replica, self.step.finished()
            if not self._unsent or not replica:
                self._wake.wait(RETRY_S)
                continue
            samples, self._unsent = self._unsent, []
            wanted = [sample for sample in samples if self.step.holds(sample)]
            self._sending = len(wanted)
            outcome = send_samples(self.peers, replica, self.step, wanted)
            self._sending = 0
            if not isinstance(outcome, Done):
                self._unsent = wanted + self._unsent
                eventlet.sleep(RETRY_S)
            eventlet.sleep(GATHER_S)

    def _choose(self) -> str:
        """Return the member that keeps the replica; empty if there is no second."""
        owners = self.members.owners(self.step.spec.id.key, 2)
        others = [m for m in owners if m.vm != self.members.self_member.vm]
        return others[0].vm if others else ""
