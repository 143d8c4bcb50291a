"""Agreement between daemons on which request with an idempotency key runs.

The rendezvous owner of a key decides, after a replica, in another zone if possible,
has stored the claim too. The daemon that runs the request reports the result to both.
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
from .decisions import ClaimCoordinator
from .messages import (
    record_from_message,
    record_to_message,
    response_from_message,
    response_to_message,
)
from .records import RecordKey, RecordState, RecordTable, StoredResponse

__all__ = ["Claim", "IdempotencyService"]

HANDED_OVER = define_event(
    610,
    "idempotency_handed_over",
    "info",
    "Idempotency records were sent to the other members.",
)

CALL_TIMEOUT_S = 1.0
# Longest time that a request waits for an earlier one with the same key.
MAX_WAIT_S = 30.0
# Longest wait within one call, so that a paused owner is detected.
MAX_CALL_WAIT_S = 2.0
MAX_OWNER_ATTEMPTS = 3
HAND_OVER_BATCH = 64

Decision = peer_pb2.ClaimIdempotencyReply.Decision
Result = peer_pb2.CompleteIdempotencyRequest.Result
RESULT_STATES = {
    Result.NOT_RUN: RecordState.NOT_RUN,
    Result.ANSWERED: RecordState.ANSWERED,
    Result.UNKNOWN: RecordState.UNKNOWN,
}


@frozen
class Claim:
    """The decision on a request with an idempotency key.

    Parameters
    ----------
    decision : str
        ``run``, ``answered``, ``running``, ``unknown``, ``mismatch``, ``full``, or
        ``unreachable`` if no owner replied.
    """

    decision: str
    key: RecordKey
    id: str
    holders: tuple[str, ...] = ()
    response: StoredResponse | None = None


@define(eq=False)
class IdempotencyService:
    """Claims keys for this daemon's requests and handles claims of other daemons.

    Parameters
    ----------
    members : Members
        Determines the owners of keys.
    call : callable
        Calls a method of a peer; takes VM, method, request and timeout.
    """

    members: Members
    call: Callable[[str, str, Any, float], Outcome[Any]]
    table: RecordTable = field(factory=RecordTable)
    coordinator: ClaimCoordinator = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the coordinator, which needs this service's calls and table."""
        self.coordinator = ClaimCoordinator(self.members, self._call_member, self.table)

    def register(self, server: Any) -> None:
        """Register the handlers of the peer calls for idempotency records."""
        server.register("ClaimIdempotency", self.coordinator.handle_claim)
        server.register("CompleteIdempotency", self._serve_complete)
        server.register("HandOverIdempotency", self._serve_hand_over)

    def run_once(self) -> None:
        """Record the live members and remove expired records; called periodically."""
        self.coordinator.history.record_members(self.members.live())
        self.table.expire()

    def claim(
        self, key: RecordKey, request_digest: str, retry: bool, timeout: float
    ) -> Claim:
        """Claim a key for a request, which asks whether the request may run.

        Parameters
        ----------
        key : RecordKey
            Workspace and digest of the idempotency key.
        request_digest : str
            Digest of the request, which must agree between requests with one key.
        retry : bool
            Whether the caller marked the request as a retry.
        timeout : float
            Seconds until the response to the request must be complete.
        """
        self.coordinator.history.record_members(self.members.live())
        member = self.members.self_member
        request = peer_pb2.ClaimIdempotencyRequest(
            workspace=key.workspace,
            key_digest=key.key_digest,
            request_digest=request_digest,
            retry=retry,
            uncertain=self.coordinator.may_have_lost_record(key),
            wait=min(timeout, MAX_CALL_WAIT_S),
            claim=secrets.token_hex(8),
            lifetime=timeout,
            vm=member.vm,
            incarnation=member.incarnation,
        )
        owners = self.coordinator.owner_candidates(key)[:MAX_OWNER_ATTEMPTS]
        failed = Claim("unreachable", key, request.claim, tuple(owners))
        deadline = boottime() + min(timeout, MAX_WAIT_S)
        try:
            while (claim := self._claim_once(key, request, owners)) is not None:
                if claim.decision != "running" or boottime() >= deadline:
                    return claim
        except BaseException:
            # An owner may have granted the claim, but the request will not run.
            eventlet.spawn_n(self.complete, failed, Result.NOT_RUN)
            raise
        eventlet.spawn_n(self.complete, failed, Result.NOT_RUN)
        return failed

    def _claim_once(
        self, key: RecordKey, request: Any, owners: list[str]
    ) -> Claim | None:
        """Send a claim to the owners in turn until one replies; None if none does."""
        timeout = request.wait + CALL_TIMEOUT_S
        for owner in owners:
            outcome = self._call_member(owner, "ClaimIdempotency", request, timeout)
            if isinstance(outcome, Done):
                return _claim_from_reply(key, request.claim, outcome.value)
        return None

    def complete(
        self, claim: Claim, result: int, response: StoredResponse | None = None
    ) -> None:
        """Send the result of a run to the holders of its record."""
        request = peer_pb2.CompleteIdempotencyRequest(
            workspace=claim.key.workspace,
            key_digest=claim.key.key_digest,
            claim=claim.id,
            result=result,
        )
        if response is not None:
            request.answer.CopyFrom(response_to_message(response))
        calls = [
            eventlet.spawn(
                self._call_member, vm, "CompleteIdempotency", request, CALL_TIMEOUT_S
            )
            for vm in claim.holders
        ]
        for call in calls:
            call.wait()

    def hand_over(self) -> None:
        """Send all records to the other live members, which store those they own."""
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
                outcome = self._call_member(
                    member.vm, "HandOverIdempotency", request, CALL_TIMEOUT_S
                )
                if not isinstance(outcome, Done):
                    break
        log(HANDED_OVER, records=len(records))

    def _call_member(
        self, vm: str, method: str, request: Any, timeout: float
    ) -> Outcome[Any]:
        if vm != self.members.self_member.vm:
            copy = type(request)()
            copy.CopyFrom(request)
            return self.call(vm, method, copy, timeout)
        if method == "ClaimIdempotency":
            return Done(self.coordinator.handle_claim(request))
        return Done(self._serve_complete(request))

    def _serve_complete(self, request: peer_pb2.CompleteIdempotencyRequest) -> Any:
        key = RecordKey(request.workspace, request.key_digest)
        answered = request.HasField("answer")
        response = response_from_message(request.answer) if answered else None
        self.table.set_result(
            key, request.claim, RESULT_STATES[request.result], response
        )
        return peer_pb2.Ack()

    def _serve_hand_over(self, request: peer_pb2.HandOverIdempotencyRequest) -> Any:
        own_vm = self.members.self_member.vm
        for message in request.records:
            key, record = record_from_message(message)
            if own_vm in self.coordinator.owner_candidates(key)[:2]:
                self.coordinator.merge_record(key, record)
        if request.complete:
            self.coordinator.history.mark_handed_over(
                request.sender.vm, request.sender.incarnation
            )
        return peer_pb2.Ack()


def _claim_from_reply(
    key: RecordKey, claim: str, reply: peer_pb2.ClaimIdempotencyReply
) -> Claim:
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
        response_from_message(reply.answer) if answered else None,
    )
