"""Agreement of the daemons on which request with an idempotency key runs.

The rendezvous owner of a key decides, after a replica in another zone has taken
the claim too. The daemon that runs the request reports the result to both.
"""

import secrets
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field, frozen

from ..membership import Members
from ..outcomes import Done, Outcome
from ..peering import peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .decisions import Owner
from .messages import (
    answer_from_message,
    answer_to_message,
    record_from_message,
    record_to_message,
)
from .records import Answer, RecordId, RecordState, RecordTable

__all__ = ["Claim", "IdempotencyService"]

HANDED_OVER = define_event(
    610, "idempotency_handed_over", "info", "Idempotency records were handed over."
)

CALL_TIMEOUT_S = 1.0
# How long a second request waits for the first one with its key.
MAX_WAIT_S = 30.0
# One call waits only this long, so that a paused owner is noticed.
WAIT_SLICE_S = 2.0
OWNERS_TRIED = 3
HAND_OVER_BATCH = 64

Decision = peer_pb2.ClaimIdempotencyReply.Decision
Result = peer_pb2.CompleteIdempotencyRequest.Result
STATES = {
    Result.NOT_RUN: RecordState.NOT_RUN,
    Result.ANSWERED: RecordState.ANSWERED,
    Result.UNKNOWN: RecordState.UNKNOWN,
}


@frozen
class Claim:
    """What was decided about a request.

    Parameters
    ----------
    decision : str
        ``run``, ``answered``, ``running``, ``unknown``, ``mismatch``, ``full``, or
        ``unreachable`` if no owner answered.
    """

    decision: str
    key: RecordId
    id: str
    holders: tuple[str, ...] = ()
    answer: Answer | None = None


@define(eq=False)
class IdempotencyService:
    """Claims keys for this daemon's requests, and serves the claims of others.

    Parameters
    ----------
    members : Members
        Who owns which key.
    call : callable
        Calls a method of a peer: VM, method, request, timeout.
    """

    members: Members
    call: Callable[[str, str, Any, float], Outcome[Any]]
    table: RecordTable = field(factory=RecordTable)
    owner: Owner = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Connect the deciding part."""
        self.owner = Owner(self.members, self._call, self.table)

    def register(self, server: Any) -> None:
        """Serve the peer calls about records."""
        server.register("ClaimIdempotency", self.owner.answer)
        server.register("CompleteIdempotency", self._serve_complete)
        server.register("HandOverIdempotency", self._serve_hand_over)

    def turn(self) -> None:
        """Note the members and forget expired records; called periodically."""
        self.owner.history.note(self.members.live())
        self.table.expire()

    def claim(
        self, key: RecordId, request_digest: str, retry: bool, timeout: float
    ) -> Claim:
        """Ask whether a request with a key may run.

        Parameters
        ----------
        key : RecordId
            The key.
        request_digest : str
            Digest of the request.
        retry : bool
            Whether the caller says that it is a retry.
        timeout : float
            Seconds until the request's answer must be complete.
        """
        self.owner.history.note(self.members.live())
        member = self.members.self_member
        request = peer_pb2.ClaimIdempotencyRequest(
            workspace=key.workspace,
            key_digest=key.key_digest,
            request_digest=request_digest,
            retry=retry,
            uncertain=self.owner.is_uncertain(key),
            wait=min(timeout, WAIT_SLICE_S),
            claim=secrets.token_hex(8),
            lifetime=timeout,
            vm=member.vm,
            incarnation=member.incarnation,
        )
        owners = self.owner.candidates(key)[:OWNERS_TRIED]
        failed = Claim("unreachable", key, request.claim, tuple(owners))
        deadline = boottime() + min(timeout, MAX_WAIT_S)
        try:
            while (claim := self._claim_once(key, request, owners)) is not None:
                if claim.decision != "running" or boottime() >= deadline:
                    return claim
        except BaseException:
            # The claim may have been taken; its request does not run any more.
            eventlet.spawn_n(self.complete, failed, Result.NOT_RUN)
            raise
        eventlet.spawn_n(self.complete, failed, Result.NOT_RUN)
        return failed

    def _claim_once(
        self, key: RecordId, request: Any, owners: list[str]
    ) -> Claim | None:
        """Claim at the first owner that answers; None if there is none."""
        timeout = request.wait + CALL_TIMEOUT_S
        for owner in owners:
            outcome = self._call(owner, "ClaimIdempotency", request, timeout)
            if isinstance(outcome, Done):
                return _claim(key, request.claim, outcome.value)
        return None

    def complete(self, claim: Claim, result: int, answer: Answer | None = None) -> None:
        """Tell the holders of a record how the run ended."""
        request = peer_pb2.CompleteIdempotencyRequest(
            workspace=claim.key.workspace,
            key_digest=claim.key.key_digest,
            claim=claim.id,
            result=result,
        )
        if answer is not None:
            request.answer.CopyFrom(answer_to_message(answer))
        calls = [
            eventlet.spawn(
                self._call, vm, "CompleteIdempotency", request, CALL_TIMEOUT_S
            )
            for vm in claim.holders
        ]
        for running in calls:
            running.wait()

    def hand_over(self) -> None:
        """Give all records to the members that own them now."""
        records = [record_to_message(*item) for item in self.table.items()]
        for member in self.members.live()[1:]:
            batches = [
                records[n : n + HAND_OVER_BATCH]
                for n in range(0, len(records), HAND_OVER_BATCH)
            ] or [[]]
            for number, batch in enumerate(batches, 1):
                request = peer_pb2.HandOverIdempotencyRequest(
                    records=batch, complete=number == len(batches)
                )
                outcome = self._call(
                    member.vm, "HandOverIdempotency", request, CALL_TIMEOUT_S
                )
                if not isinstance(outcome, Done):
                    break
        log(HANDED_OVER, records=len(records))

    def _call(self, vm: str, method: str, request: Any, timeout: float) -> Outcome[Any]:
        if vm != self.members.self_member.vm:
            copy = type(request)()
            copy.CopyFrom(request)
            return self.call(vm, method, copy, timeout)
        if method == "ClaimIdempotency":
            return Done(self.owner.answer(request))
        return Done(self._serve_complete(request))

    def _serve_complete(self, request: peer_pb2.CompleteIdempotencyRequest) -> Any:
        key = RecordId(request.workspace, request.key_digest)
        answered = request.HasField("answer")
        answer = answer_from_message(request.answer) if answered else None
        self.table.change(key, request.claim, STATES[request.result], answer)
        return peer_pb2.Ack()

    def _serve_hand_over(self, request: peer_pb2.HandOverIdempotencyRequest) -> Any:
        own = self.members.self_member.vm
        for message in request.records:
            key, record = record_from_message(message)
            if own in self.owner.candidates(key)[:2]:
                self.owner.adopt(key, record)
        if request.complete:
            self.owner.history.retire(request.sender.vm, request.sender.incarnation)
        return peer_pb2.Ack()


def _claim(key: RecordId, claim: str, reply: peer_pb2.ClaimIdempotencyReply) -> Claim:
    if reply.full:
        return Claim("full", key, claim)
    names = {
        Decision.RUN: "run",
        Decision.ANSWERED: "answered",
        Decision.RUNNING: "running",
        Decision.MISMATCH: "mismatch",
    }
    answered = reply.HasField("answer")
    return Claim(
        names.get(reply.decision, "unknown"),
        key,
        claim,
        tuple(reply.holders),
        answer_from_message(reply.answer) if answered else None,
    )
