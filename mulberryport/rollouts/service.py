"""Service that opens, serves and closes steps, here or at their owners.

The owner of a step is the first member in rendezvous order. Daemons can differ for some
seconds in their view of the members, so two daemons may own a step at the same time.
Each sample is still delivered exactly once, because each pull contains the slots that
the trainer has received and the client filters duplicates.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from ..membership import Members
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..tables import SnapshotHolder
from ..targets import Dispatcher
from ..usage import UsageCounters
from .attempts import EngineAccess
from .handover import fetch_replicas, hand_over, make_replica_page
from .messages import (
    id_from_message,
    id_to_message,
    sample_from_message,
    sample_to_message,
    spec_from_message,
    spec_to_message,
)
from .model import Sample, StepId, StepSpec
from .owned import OwnedStep, OwnedSteps, PullResult
from .reconciliation import reconcile_steps
from .replicas import ReplicaStore, SampleReplicator
from .runner import StepRunner
from .scoring import make_scorer
from .step import InvalidPullError, StepState

__all__ = ["OpenResult", "PullResult", "RolloutService"]

CALL_TIMEOUT_S = 5.0
MAX_WAIT_S = 30.0
# The wait of a forwarded pull is split into several calls, so that a failed or paused
# owner is detected within seconds instead of blocking the trainer.
MAX_FORWARDED_WAIT_S = 1.0
PULL_TIMEOUT_MARGIN_S = 2.0
ADOPTION_TIMEOUT_S = 10.0


@frozen
class OpenResult:
    """Result of opening a step.

    Parameters
    ----------
    conflict : bool
        Whether the step is already open with a different specification.
    """

    conflict: bool = False


@define(eq=False)
class RolloutService:
    """Opens steps and serves pulls, locally or by forwarding them to the owner."""

    members: Members
    peers: Peers
    dispatcher: Dispatcher
    counters: UsageCounters
    holder: SnapshotHolder
    replicas: ReplicaStore = field(factory=ReplicaStore)
    owned_steps: OwnedSteps = field(factory=OwnedSteps)
    _adoptions: dict[StepId, Notifier] = field(factory=dict)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the peer calls for steps."""
        server.register("OpenStep", self._handle_open)
        server.register("PullSamples", self._handle_pull)
        server.register("CloseStep", self._handle_close)
        server.register("ReplicateSamples", self._handle_replicate)
        server.register("FetchReplica", self._handle_fetch)

    def open(self, spec: StepSpec, received: bytes = b"") -> Outcome[OpenResult]:
        """Open a step at its owner; idempotent.

        Raises
        ------
        InvalidPullError
            If the bitmap of received slots does not match the step.
        """
        StepState(spec).mark_received(received)
        owner = self._owner_vm(spec.id)
        if owner == self.members.self_member.vm:
            return Done(self._open_locally(spec, received))
        request = peer_pb2.OpenStepRequest(
            spec=spec_to_message(spec), received=received
        )
        outcome = self._call_owner(owner, "OpenStep", request, CALL_TIMEOUT_S)
        if not isinstance(outcome, Done):
            return outcome
        reply = outcome.value
        if not reply.accepted and not reply.conflict:
            return NotDone(reply.error or "the step's owner is changing")
        return Done(OpenResult(reply.conflict))

    def pull(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> Outcome[PullResult]:
        """Return samples of a step that its trainer has not received.

        Raises
        ------
        InvalidPullError
            If the owner rejected the pull.
        """
        deadline = boottime() + min(wait, MAX_WAIT_S)
        while True:
            remaining_wait = max(0.0, deadline - boottime())
            owner = self._owner_vm(step_id)
            if owner == self.members.self_member.vm:
                return Done(
                    self._pull_locally(
                        step_id, weight_version, received, remaining_wait, limit
                    )
                )
            request = peer_pb2.PullSamplesRequest(
                id=id_to_message(step_id),
                weight_version=weight_version,
                received=received,
                wait=min(remaining_wait, MAX_FORWARDED_WAIT_S),
                limit=limit,
            )
            outcome = self._forward_pull(owner, request)
            if not isinstance(outcome, Done) or remaining_wait <= MAX_FORWARDED_WAIT_S:
                return outcome
            result = outcome.value
            if result.samples or result.superseded or not result.known:
                return outcome
            if not result.remaining:
                return outcome

    def _forward_pull(
        self, owner: str, request: peer_pb2.PullSamplesRequest
    ) -> Outcome[PullResult]:
        timeout = request.wait + PULL_TIMEOUT_MARGIN_S
        outcome = self._call_owner(owner, "PullSamples", request, timeout)
        if not isinstance(outcome, Done):
            return outcome
        reply = outcome.value
        if reply.error:
            raise InvalidPullError(reply.error)
        if reply.moved_to:
            return NotDone("the step's owner is changing")
        samples = tuple(sample_from_message(message) for message in reply.samples)
        return Done(PullResult(reply.known, samples, reply.remaining, reply.superseded))

    def close(self, step_id: StepId) -> None:
        """Close a step and discard its samples."""
        owner = self._owner_vm(step_id)
        if owner == self.members.self_member.vm:
            self._close_locally(step_id)
        else:
            request = peer_pb2.CloseStepRequest(id=id_to_message(step_id))
            self.peers.call(owner, "CloseStep", request, CALL_TIMEOUT_S)

    def reconcile(self) -> None:
        """Apply changes of routes, pools and membership to the owned steps.

        Abandoned steps and those of withdrawn routes are closed, steps with a new
        owner are handed over, and expired replicas are removed.
        """
        # Without a configuration, every route would look withdrawn.
        if self.holder.snapshot.revision:
            reconcile_steps(self.owned_steps, self.holder.snapshot.tables)
        self.replicas.expire()
        self_vm = self.members.self_member.vm
        for owned_step in self.owned_steps.all():
            owner = self._owner_vm(owned_step.step.spec.id)
            if owner != self_vm:
                hand_over(self.owned_steps, owned_step, self.peers, owner)

    def open_steps(self) -> tuple[StepState, ...]:
        """Return the states of the steps that this daemon owns."""
        return tuple(owned_step.step for owned_step in self.owned_steps.all())

    def describe(self) -> list[dict[str, Any]]:
        """Return a summary of each owned step for the operator interface."""
        return [
            {
                "step": owned_step.step.spec.id.key,
                "remaining": owned_step.step.remaining,
                "unfilled": owned_step.step.unfilled,
                "unreplicated": owned_step.replicator.unconfirmed_count,
                "attempts": len(owned_step.runner.attempts),
                "hedges": owned_step.runner.hedging.started_count,
                "trainer_version": owned_step.step.trainer_version,
            }
            for owned_step in self.owned_steps.all()
        ]

    def _owner_vm(self, step_id: StepId) -> str:
        return self.members.owners(step_id.key, 1)[0].vm

    def _call_owner(
        self, owner: str, method: str, request: Any, timeout: float
    ) -> Outcome[Any]:
        """Call the owner and follow at most one redirection to another member."""
        outcome = self.peers.call(owner, method, request, timeout)
        if isinstance(outcome, Done) and outcome.value.moved_to:
            moved_to = outcome.value.moved_to
            if moved_to != self.members.self_member.vm:
                return self.peers.call(moved_to, method, request, timeout)
        return outcome

    def _open_locally(self, spec: StepSpec, received: bytes) -> OpenResult:
        # The wait for a concurrent adoption by a pull does not suffice: without any
        # replica, that adoption opens no step.
        while self.owned_steps.get(spec.id) is None:
            self._adopt(spec.id, spec, received)
        if self.owned_steps.has_conflict(spec):
            return OpenResult(conflict=True)
        return OpenResult()

    def _pull_locally(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> PullResult:
        if self.owned_steps.get(step_id) is None and not self.owned_steps.was_closed(
            step_id
        ):
            self._adopt(step_id, None, received)
        return self.owned_steps.pull(step_id, weight_version, received, wait, limit)

    def _adopt(self, step_id: StepId, spec: StepSpec | None, received: bytes) -> None:
        """Become the owner of a step and load its samples from all replicas.

        Without a specification, the step is opened only if a replica provides one. A
        concurrent adoption of the same step is awaited instead.
        """
        if step_id in self._adoptions:
            self._adoptions[step_id].wait(ADOPTION_TIMEOUT_S)
            return
        adopted = self._adoptions[step_id] = Notifier()
        try:
            replicas = fetch_replicas(self.members, self.peers, step_id)
            local_replica = self.replicas.remove(step_id)
            if local_replica is not None:
                replicas.append(local_replica)
            if spec is None:
                if not replicas:
                    return
                spec = replicas[0].spec
            step = StepState(spec)
            step.mark_received(received)
            for replica in replicas:
                if replica.spec.requests_same_samples(spec):
                    step.mark_received(replica.received_bitmap)
                    for sample in replica.buffered_samples():
                        step.fill_slot(sample)
            self._start_step(step)
        finally:
            del self._adoptions[step_id]
            adopted.notify_all()

    def _start_step(self, step: StepState) -> None:
        spec = step.spec
        score_sample: Callable[[Sample], float] | None = None
        if spec.scoring_route:
            score_sample = make_scorer(
                spec, self.dispatcher, lambda: self.holder.snapshot.tables
            )
        runner = StepRunner(
            step,
            EngineAccess(self.dispatcher.assign, self.dispatcher.directory.views),
            spec.pool,
            lambda sample: on_sample(sample),
            score_sample,
            self.owned_steps.has_buffer_room,
        )
        replicator = SampleReplicator(
            step, self.members, self.peers, lambda: runner.is_closed
        )

        def on_sample(sample: Sample) -> None:
            replicator.enqueue(sample)
            counter_key = self.counters.add(
                spec.id.workspace, runner.pool, samples=1, tokens=len(sample.tokens)
            )
            self.counters.make_durable(counter_key)

        self.owned_steps.add(OwnedStep(runner, replicator))

    def _close_locally(self, step_id: StepId) -> None:
        self.owned_steps.close(step_id, "closed by its trainer")
        self.replicas.remove(step_id)

    def _other_owner(self, step_id: StepId) -> str:
        """Return the VM of a step's owner, or "" if this daemon can serve the step."""
        owner = self._owner_vm(step_id)
        if (
            owner == self.members.self_member.vm
            or self.owned_steps.get(step_id) is not None
        ):
            return ""
        return owner

    def _handle_open(self, request: peer_pb2.OpenStepRequest) -> Any:
        spec = spec_from_message(request.spec)
        moved_to = self._other_owner(spec.id)
        if moved_to:
            return peer_pb2.OpenStepReply(moved_to=moved_to)
        result = self._open_locally(spec, request.received)
        return peer_pb2.OpenStepReply(
            accepted=not result.conflict, conflict=result.conflict
        )

    def _handle_pull(self, request: peer_pb2.PullSamplesRequest) -> Any:
        step_id = id_from_message(request.id)
        moved_to = self._other_owner(step_id)
        if moved_to:
            return peer_pb2.PullSamplesReply(moved_to=moved_to)
        try:
            result = self._pull_locally(
                step_id,
                request.weight_version,
                request.received,
                min(request.wait, MAX_WAIT_S),
                request.limit,
            )
        except InvalidPullError as error:
            return peer_pb2.PullSamplesReply(known=True, error=str(error))
        return peer_pb2.PullSamplesReply(
            known=result.known,
            samples=[sample_to_message(sample) for sample in result.samples],
            remaining=result.remaining,
            superseded=result.superseded,
        )

    def _handle_close(self, request: peer_pb2.CloseStepRequest) -> Any:
        self._close_locally(id_from_message(request.id))
        return peer_pb2.Ack()

    def _handle_replicate(self, request: peer_pb2.ReplicateSamplesRequest) -> Any:
        spec = spec_from_message(request.spec)
        samples = [sample_from_message(message) for message in request.samples]
        owned_step = self.owned_steps.get(spec.id)
        if request.closed:
            self.replicas.remove(spec.id)
        elif owned_step is not None and owned_step.step.spec.requests_same_samples(
            spec
        ):
            for sample in samples:
                if owned_step.runner.fill_slot(sample):
                    owned_step.replicator.enqueue(sample)
            owned_step.runner.wake()
        elif owned_step is None and not self.owned_steps.was_closed(spec.id):
            self.replicas.merge(spec, samples, request.received)
        return peer_pb2.Ack()

    def _handle_fetch(self, request: peer_pb2.FetchReplicaRequest) -> Any:
        step_id = id_from_message(request.id)
        owned_step = self.owned_steps.get(step_id)
        step = owned_step.step if owned_step is not None else self.replicas.get(step_id)
        return make_replica_page(step, request.first)
