"""Steps of this daemon, and the way to the owners of other steps.

The owner of a step is the first member in rendezvous order. Views of the members can
differ for some seconds, so that two daemons may own a step at the same time; the
received set that each pull carries, and the client's filter, keep delivery exact.
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
from .handover import fetch_copies, hand_over, serve_page
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
from .replicas import ReplicaStore, Replicator
from .review import review_steps
from .runner import StepRunner
from .scoring import make_scorer
from .step import InvalidPullError, StepState

__all__ = ["OpenResult", "PullResult", "RolloutService"]

CALL_TIMEOUT_S = 5.0
MAX_WAIT_S = 30.0
# A forwarded pull waits in slices, so that an owner that died or was paused is noticed
# within seconds and the trainer is not kept waiting for it.
FORWARD_SLICE_S = 1.0
PULL_TIMEOUT_S = 2.0
ADOPTION_TIMEOUT_S = 10.0


@frozen
class OpenResult:
    """Answer to the opening of a step.

    Parameters
    ----------
    conflict : bool
        Whether the step is open with another specification.
    """

    conflict: bool = False


@define(eq=False)
class RolloutService:
    """Opens steps, and serves pulls at the owner or by way of a peer."""

    members: Members
    peers: Peers
    dispatcher: Dispatcher
    counters: UsageCounters
    holder: SnapshotHolder
    replicas: ReplicaStore = field(factory=ReplicaStore)
    owned: OwnedSteps = field(factory=OwnedSteps)
    _adopting: dict[StepId, Notifier] = field(factory=dict)

    def register(self, server: PeerServer) -> None:
        """Serve the peer calls about steps."""
        server.register("OpenStep", self._serve_open)
        server.register("PullSamples", self._serve_pull)
        server.register("CloseStep", self._serve_close)
        server.register("ReplicateSamples", self._serve_replicate)
        server.register("FetchReplica", self._serve_fetch)

    def open(self, spec: StepSpec, received: bytes = b"") -> Outcome[OpenResult]:
        """Open a step at its owner; opening it again changes nothing.

        Raises
        ------
        InvalidPullError
            The bitmap of received slots does not fit the step.
        """
        StepState(spec).mark_received(received)
        owner = self._owner(spec.id)
        if owner == self.members.self_member.vm:
            return Done(self._open_here(spec, received))
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
            The owner refused the pull.
        """
        deadline = boottime() + min(wait, MAX_WAIT_S)
        while True:
            left = max(0.0, deadline - boottime())
            owner = self._owner(step_id)
            if owner == self.members.self_member.vm:
                return Done(
                    self._pull_here(step_id, weight_version, received, left, limit)
                )
            request = peer_pb2.PullSamplesRequest(
                id=id_to_message(step_id),
                weight_version=weight_version,
                received=received,
                wait=min(left, FORWARD_SLICE_S),
                limit=limit,
            )
            outcome = self._forward_pull(owner, request)
            if not isinstance(outcome, Done) or left <= FORWARD_SLICE_S:
                return outcome
            result = outcome.value
            if result.samples or result.superseded or not result.known:
                return outcome
            if not result.remaining:
                return outcome

    def _forward_pull(
        self, owner: str, request: peer_pb2.PullSamplesRequest
    ) -> Outcome[PullResult]:
        timeout = request.wait + PULL_TIMEOUT_S
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
        """Close a step; its samples are dropped."""
        owner = self._owner(step_id)
        if owner == self.members.self_member.vm:
            self._close_here(step_id)
        else:
            request = peer_pb2.CloseStepRequest(id=id_to_message(step_id))
            self.peers.call(owner, "CloseStep", request, CALL_TIMEOUT_S)

    def review(self) -> None:
        """Hand over, move or close the steps for which something changed."""
        review_steps(self.owned, self.holder.snapshot.tables)
        self.replicas.expire()
        me = self.members.self_member.vm
        for owned in self.owned.all():
            owner = self._owner(owned.step.spec.id)
            if owner != me:
                hand_over(self.owned, owned, self.peers, owner)

    def open_steps(self) -> tuple[StepState, ...]:
        """Return the steps that this daemon owns."""
        return tuple(owned.step for owned in self.owned.all())

    def describe(self) -> list[dict[str, Any]]:
        """Return the steps that this daemon owns, for operators."""
        return [
            {
                "step": owned.step.spec.id.key,
                "remaining": owned.step.remaining,
                "unfilled": owned.step.unfilled,
                "unreplicated": owned.replicator.waiting,
                "attempts": len(owned.runner.attempts),
                "hedges": owned.runner.hedging.started,
                "trainer_version": owned.step.trainer_version,
            }
            for owned in self.owned.all()
        ]

    def _owner(self, step_id: StepId) -> str:
        return self.members.owners(step_id.key, 1)[0].vm

    def _call_owner(
        self, owner: str, method: str, request: Any, timeout: float
    ) -> Outcome[Any]:
        """Call the owner, and once the member that it names instead."""
        outcome = self.peers.call(owner, method, request, timeout)
        if isinstance(outcome, Done) and outcome.value.moved_to:
            moved_to = outcome.value.moved_to
            if moved_to != self.members.self_member.vm:
                return self.peers.call(moved_to, method, request, timeout)
        return outcome

    def _open_here(self, spec: StepSpec, received: bytes) -> OpenResult:
        # A pull that adopts at the same time opens nothing if no copy exists.
        while self.owned.get(spec.id) is None:
            self._adopt(spec.id, spec, received)
        if self.owned.conflicts(spec):
            return OpenResult(conflict=True)
        return OpenResult()

    def _pull_here(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> PullResult:
        if self.owned.get(step_id) is None and not self.owned.was_closed(step_id):
            self._adopt(step_id, None, received)
        return self.owned.pull(step_id, weight_version, received, wait, limit)

    def _adopt(self, step_id: StepId, spec: StepSpec | None, received: bytes) -> None:
        """Own a step, with the finished samples that other members kept of it."""
        if step_id in self._adopting:
            self._adopting[step_id].wait(ADOPTION_TIMEOUT_S)
            return
        done = self._adopting[step_id] = Notifier()
        try:
            copies = fetch_copies(self.members, self.peers, step_id)
            kept = self.replicas.drop(step_id)
            if kept is not None:
                copies.append(kept)
            if spec is None:
                if not copies:
                    return
                spec = copies[0].spec
            step = StepState(spec)
            step.mark_received(received)
            for copy in copies:
                if copy.spec.same_request(spec):
                    step.mark_received(copy.received)
                    for sample in copy.finished():
                        step.fill(sample)
            self._own(step)
        finally:
            del self._adopting[step_id]
            done.notify_all()

    def _own(self, step: StepState) -> None:
        spec = step.spec
        scorer: Callable[[Sample], float] | None = None
        if spec.scoring_route:
            scorer = make_scorer(
                spec, self.dispatcher, lambda: self.holder.snapshot.tables
            )
        runner = StepRunner(
            step,
            EngineAccess(self.dispatcher.assign, self.dispatcher.directory.views),
            spec.pool,
            lambda sample: on_sample(sample),
            scorer,
            self.owned.may_hold,
        )
        replicator = Replicator(step, self.members, self.peers, lambda: runner.closed)

        def on_sample(sample: Sample) -> None:
            replicator.add(sample)
            counter = self.counters.add(
                spec.id.workspace, runner.pool, samples=1, tokens=len(sample.tokens)
            )
            self.counters.make_durable(counter)

        self.owned.add(OwnedStep(runner, replicator))

    def _close_here(self, step_id: StepId) -> None:
        self.owned.close(step_id, "closed by its trainer")
        self.replicas.drop(step_id)

    def _moved_to(self, step_id: StepId) -> str:
        """Return the member that owns a step if that is certainly another one."""
        owner = self._owner(step_id)
        if owner == self.members.self_member.vm or self.owned.get(step_id) is not None:
            return ""
        return owner

    def _serve_open(self, request: peer_pb2.OpenStepRequest) -> Any:
        spec = spec_from_message(request.spec)
        moved_to = self._moved_to(spec.id)
        if moved_to:
            return peer_pb2.OpenStepReply(moved_to=moved_to)
        result = self._open_here(spec, request.received)
        return peer_pb2.OpenStepReply(
            accepted=not result.conflict, conflict=result.conflict
        )

    def _serve_pull(self, request: peer_pb2.PullSamplesRequest) -> Any:
        step_id = id_from_message(request.id)
        moved_to = self._moved_to(step_id)
        if moved_to:
            return peer_pb2.PullSamplesReply(moved_to=moved_to)
        try:
            result = self._pull_here(
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

    def _serve_close(self, request: peer_pb2.CloseStepRequest) -> Any:
        self._close_here(id_from_message(request.id))
        return peer_pb2.Ack()

    def _serve_replicate(self, request: peer_pb2.ReplicateSamplesRequest) -> Any:
        spec = spec_from_message(request.spec)
        samples = [sample_from_message(message) for message in request.samples]
        owned = self.owned.get(spec.id)
        if request.closed:
            self.replicas.drop(spec.id)
        elif owned is not None and owned.step.spec.same_request(spec):
            for sample in samples:
                if owned.runner.fill(sample):
                    owned.replicator.add(sample)
            owned.runner.wake()
        elif owned is None and not self.owned.was_closed(spec.id):
            self.replicas.merge(spec, samples, request.received)
        return peer_pb2.Ack()

    def _serve_fetch(self, request: peer_pb2.FetchReplicaRequest) -> Any:
        step_id = id_from_message(request.id)
        owned = self.owned.get(step_id)
        step = owned.step if owned is not None else self.replicas.get(step_id)
        return serve_page(step, request.first)
