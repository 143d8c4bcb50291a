"""Steps of this daemon, and the way to the owners of other steps."""

from typing import Any

import eventlet
from attrs import define, field, frozen

from ..membership import Members
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..targets import Dispatcher
from ..telemetry import define as define_event
from ..telemetry import log
from ..usage import UsageCounters
from .attempts import StepRunner
from .messages import (
    id_from_message,
    id_to_message,
    sample_from_message,
    sample_to_message,
    spec_from_message,
    spec_to_message,
)
from .model import Sample, StepId, StepSpec
from .step import StepState

__all__ = ["PullResult", "RolloutService"]

STEP_OPENED = define_event(910, "step_opened", "info", "This daemon owns a new step.")
STEP_CLOSED = define_event(911, "step_closed", "info", "A step was closed.")

CALL_TIMEOUT_S = 5.0
PULL_POLL_S = 0.02
MAX_WAIT_S = 30.0


@frozen
class PullResult:
    """Answer to a pull.

    Parameters
    ----------
    known : bool
        False if the owner does not know the step, so that it must be opened again.
    samples : tuple of Sample
        Samples that the trainer has not received.
    remaining : int
        Slots that the trainer has not received.
    """

    known: bool
    samples: tuple[Sample, ...] = ()
    remaining: int = 0


@define(eq=False)
class RolloutService:
    """Opens steps, and serves pulls at the owner or by way of a peer."""

    members: Members
    peers: Peers
    dispatcher: Dispatcher
    counters: UsageCounters
    _runners: dict[StepId, StepRunner] = field(factory=dict)

    def register(self, server: PeerServer) -> None:
        """Serve the peer calls about steps."""
        server.register("OpenStep", self._serve_open)
        server.register("PullSamples", self._serve_pull)
        server.register("CloseStep", self._serve_close)

    def open(self, spec: StepSpec) -> Outcome[bool]:
        """Open a step at its owner; opening it again changes nothing."""
        owner = self._owner(spec.id)
        if owner == self.members.self_member.vm:
            self._open_here(spec)
            return Done(True)
        request = peer_pb2.OpenStepRequest(spec=spec_to_message(spec))
        outcome = self.peers.call(owner, "OpenStep", request, CALL_TIMEOUT_S)
        if isinstance(outcome, Done) and not outcome.value.accepted:
            return NotDone(outcome.value.error)
        return Done(True) if isinstance(outcome, Done) else outcome

    def pull(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> Outcome[PullResult]:
        """Return samples of a step that its trainer has not received."""
        wait = min(wait, MAX_WAIT_S)
        owner = self._owner(step_id)
        if owner == self.members.self_member.vm:
            result = self._pull_here(step_id, weight_version, received, wait, limit)
            return Done(result)
        request = peer_pb2.PullSamplesRequest(
            id=id_to_message(step_id),
            weight_version=weight_version,
            received=received,
            wait=wait,
            limit=limit,
        )
        timeout = wait + CALL_TIMEOUT_S
        outcome = self.peers.call(owner, "PullSamples", request, timeout)
        if not isinstance(outcome, Done):
            return outcome
        reply = outcome.value
        samples = tuple(sample_from_message(message) for message in reply.samples)
        return Done(PullResult(reply.known, samples, reply.remaining))

    def close(self, step_id: StepId) -> None:
        """Close a step; its samples are dropped."""
        owner = self._owner(step_id)
        if owner == self.members.self_member.vm:
            self._close_here(step_id)
        else:
            request = peer_pb2.CloseStepRequest(id=id_to_message(step_id))
            self.peers.call(owner, "CloseStep", request, CALL_TIMEOUT_S)

    def open_steps(self) -> tuple[StepState, ...]:
        """Return the steps that this daemon owns."""
        return tuple(runner.step for runner in self._runners.values())

    def _owner(self, step_id: StepId) -> str:
        return self.members.owners(step_id.key, 1)[0].vm

    def _open_here(self, spec: StepSpec) -> None:
        if spec.id in self._runners:
            return
        step = StepState(spec)

        def count(sample: Sample) -> None:
            tokens = len(sample.tokens)
            self.counters.settle(
                self.counters.add(
                    spec.id.workspace, spec.pool, samples=1, tokens=tokens
                )
            )

        runner = StepRunner(step, self.dispatcher, count)
        self._runners[spec.id] = runner
        runner.start()
        log(STEP_OPENED, step=spec.id.key, slots=spec.slots)

    def _pull_here(
        self,
        step_id: StepId,
        weight_version: int,
        received: bytes,
        wait: float,
        limit: int,
    ) -> PullResult:
        deadline = boottime() + wait
        while True:
            runner = self._runners.get(step_id)
            if runner is None:
                return PullResult(False)
            samples = runner.step.pull(weight_version, received, limit)
            if samples or not runner.step.remaining or boottime() >= deadline:
                return PullResult(True, tuple(samples), runner.step.remaining)
            eventlet.sleep(PULL_POLL_S)

    def _close_here(self, step_id: StepId) -> None:
        runner = self._runners.pop(step_id, None)
        if runner is not None:
            runner.close()
            log(STEP_CLOSED, step=step_id.key)

    def _serve_open(self, request: peer_pb2.OpenStepRequest) -> Any:
        self._open_here(spec_from_message(request.spec))
        return peer_pb2.OpenStepReply(accepted=True)

    def _serve_pull(self, request: peer_pb2.PullSamplesRequest) -> Any:
        result = self._pull_here(
            id_from_message(request.id),
            request.weight_version,
            request.received,
            min(request.wait, MAX_WAIT_S),
            request.limit,
        )
        return peer_pb2.PullSamplesReply(
            known=result.known,
            samples=[sample_to_message(sample) for sample in result.samples],
            remaining=result.remaining,
        )

    def _serve_close(self, request: peer_pb2.CloseStepRequest) -> Any:
        self._close_here(id_from_message(request.id))
        return peer_pb2.Ack()
