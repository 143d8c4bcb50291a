"""Decisions on claims of idempotency keys, made by the owner of a key."""

from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field

from ..membership import Members, rendezvous_order
from ..outcomes import Done, Outcome
from ..peering import peer_pb2
from ..runtime.clock import boottime
from .history import HolderHistory, choose_holders
from .messages import record_from_message, record_to_message, response_to_message
from .records import RECORD_LIFETIME_S, Record, RecordKey, RecordState, RecordTable

__all__ = ["ClaimCoordinator"]

CALL_TIMEOUT_S = 1.0
# The outcome of a run counts as unknown when its daemon is lost. Membership signals
# no event for that, so waiting claims poll it.
LIVENESS_CHECK_PERIOD_S = 0.5
MAX_REPLICA_ATTEMPTS = 2
MEMBERS_QUERIED_AFTER_START = 4

Decision = peer_pb2.ClaimIdempotencyReply.Decision
Request = peer_pb2.ClaimIdempotencyRequest
Reply = peer_pb2.ClaimIdempotencyReply
Result = peer_pb2.CompleteIdempotencyRequest.Result


@define(eq=False)
class ClaimCoordinator:
    """Decides on claims of idempotency keys, in agreement with a replica.

    Parameters
    ----------
    members : Members
        Determines the owners of keys and the live members.
    call : callable
        Calls a method of a peer; takes VM, method, request and timeout.
    table : RecordTable
        The records that this daemon holds.
    """

    members: Members
    call: Callable[[str, str, Any, float], Outcome[Any]]
    table: RecordTable
    history: HolderHistory = field(factory=lambda: HolderHistory(RECORD_LIFETIME_S))
    _started: float = field(factory=boottime)

    def owner_candidates(self, key: RecordKey) -> list[str]:
        """Return the VMs of the live members, by precedence as owner of a key."""
        name = _rendezvous_key(key)
        live = self.members.live()
        staying = [member for member in live if not member.leaving] or list(live)
        first = choose_holders(name, staying)
        rest = [m for m in rendezvous_order(name, staying) if m not in first]
        return [member.vm for member in (*first, *rest)]

    def may_have_lost_record(self, key: RecordKey) -> bool:
        """Return whether a member that may have held a key's record is lost."""
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        return bool(self.history.holders(_rendezvous_key(key)).keys() - live)

    def merge_record(self, key: RecordKey, record: Record) -> None:
        """Store another member's record, unless the local one is more recent."""
        if record.state is RecordState.PENDING:
            # Only the owner that is deciding on a claim may abandon it.
            record.state = RecordState.RUNNING
        known = self.table.get(key)
        if record.state is RecordState.NOT_RUN and known is not None:
            # NOT_RUN allows a new claim. Replacing the current claim with it would
            # make the owner claim again, receive the same record and never finish.
            return
        if (
            known is not None
            and known.claim == record.claim
            and record.is_open
            and known.state is RecordState.PENDING
        ):
            # A copy of the claim that is being decided here adds no information, and
            # replacing the claim with it would cause the same endless repetition.
            return
        if known is None or known.state in (RecordState.NOT_RUN, RecordState.PENDING):
            self.table.put(key, record)
        elif known.claim == record.claim and not record.is_open:
            self.table.set_result(key, record.claim, record.state, record.response)

    def handle_claim(self, request: Request) -> Reply:
        """Handle a claim, a copy of a claim sent to a replica, or a query."""
        key = RecordKey(request.workspace, request.key_digest)
        if request.query:
            return self._handle_query(key)
        if request.replica:
            return self._handle_replica_claim(key, request)
        deadline = boottime() + request.wait
        while True:
            record = self.table.get(key)
            if record is None or record.state is RecordState.NOT_RUN:
                reply = self._try_claim(key, request)
            else:
                reply = self._reply_from_record(key, record, request, deadline)
            if reply is not None:
                return reply

    def _handle_query(self, key: RecordKey) -> Reply:
        record = self.table.get(key)
        reply = Reply(uncertain=self.may_have_lost_record(key))
        if record is not None:
            reply.record.CopyFrom(record_to_message(key, record))
        return reply

    def _handle_replica_claim(self, key: RecordKey, request: Request) -> Reply:
        """Store a copy of a claim, unless another claim takes precedence."""
        known = self.table.get(key)
        if known is not None and known.claim != request.claim:
            # Of two concurrent claims by different owners, the lower id wins.
            is_superseded = known.state is RecordState.PENDING and (
                request.claim < known.claim
            )
            if known.state is not RecordState.NOT_RUN and not is_superseded:
                return Reply(record=record_to_message(key, known))
        if known is None or known.claim != request.claim:
            record = _new_record(request)
            record.state = RecordState.RUNNING
            if not self.table.put(key, record):
                return Reply(full=True)
        return Reply(decision=Decision.RUN)

    def _reply_from_record(
        self, key: RecordKey, record: Record, request: Request, deadline: float
    ) -> Reply | None:
        """Return the reply that a record implies, or wait for a change; then None."""
        if record.request_digest != request.request_digest:
            return Reply(decision=Decision.MISMATCH)
        if record.claim == request.claim and record.state is RecordState.RUNNING:
            if record.holders:
                return Reply(decision=Decision.RUN, holders=record.holders)
            # This is a copy of the claim; its owner may have rejected it since.
            return self._try_claim(key, request)
        if record.state is RecordState.ANSWERED:
            reply = Reply(decision=Decision.ANSWERED)
            if record.response is not None:
                reply.answer.CopyFrom(response_to_message(record.response))
            return reply
        if record.state is RecordState.UNKNOWN:
            return Reply(decision=Decision.UNKNOWN)
        if self._is_run_lost(record):
            self.table.set_result(key, record.claim, RecordState.UNKNOWN)
            return None
        remaining = deadline - boottime()
        if remaining <= 0:
            return Reply(decision=Decision.RUNNING)
        with eventlet.Timeout(min(remaining, LIVENESS_CHECK_PERIOD_S), False):
            record.changed.wait()
        return None

    def _try_claim(self, key: RecordKey, request: Request) -> Reply | None:
        """Claim a key without a local record; None if another claim was found."""
        record = _new_record(request)
        if not self.table.put(key, record):
            return Reply(full=True)
        replicas = [vm for vm in self.owner_candidates(key) if vm != self._own_vm]
        # A NOT_RUN record does not exclude an earlier run either: another owner may
        # have allowed one since.
        is_uncertain = request.uncertain or self._query_holders(
            key, next(iter(replicas), "")
        )
        holders, unreachable, stored = self._replicate_claim(
            key, request, replicas[:MAX_REPLICA_ATTEMPTS]
        )
        current = self.table.get(key)
        if current is not record or record.state is not RecordState.PENDING:
            # A record was found at another member, or another owner's claim won.
            return None
        if request.retry and (is_uncertain or unreachable):
            # A member that did not reply may hold the record of the first run.
            record.state = RecordState.UNKNOWN
            self._notify_holders(key, request, holders, Result.Value("UNKNOWN"))
            return Reply(decision=Decision.UNKNOWN)
        if replicas and not stored:
            # This daemon is cut off. If it were lost as the only holder, the record
            # would be lost too, and a retry would look like a first request.
            self.table.set_result(key, request.claim, RecordState.NOT_RUN)
            self._notify_holders(key, request, holders, Result.Value("NOT_RUN"))
            return Reply(full=True)
        record.state = RecordState.RUNNING
        record.holders = (self._own_vm, *holders)
        return Reply(decision=Decision.RUN, holders=record.holders)

    def _query_holders(self, key: RecordKey, replica: str) -> bool:
        """Query the members that may hold a record.

        Returns
        -------
        bool
            Whether a record may exist that was not found.
        """
        is_uncertain = self.may_have_lost_record(key)
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        queried = {
            vm for vm, _ in self.history.holders(_rendezvous_key(key)).keys() & live
        }
        if boottime() - self._started < RECORD_LIFETIME_S:
            # Longer-running members know the owners before this daemon started.
            queried.update(self.owner_candidates(key)[:MEMBERS_QUERIED_AFTER_START])
        for vm in (queried | {replica}) - {self._own_vm, ""}:
            query = Request(
                workspace=key.workspace, key_digest=key.key_digest, query=True
            )
            outcome = self.call(vm, "ClaimIdempotency", query, CALL_TIMEOUT_S)
            if not isinstance(outcome, Done):
                is_uncertain = True
                continue
            is_uncertain = is_uncertain or outcome.value.uncertain
            if outcome.value.HasField("record"):
                self.merge_record(*record_from_message(outcome.value.record))
        return is_uncertain

    def _replicate_claim(
        self, key: RecordKey, request: Request, replicas: list[str]
    ) -> tuple[list[str], bool, bool]:
        """Send a claim to replicas until one of them stores it.

        Returns
        -------
        tuple of list of str, bool and bool
            Members that store the claim or may store it, whether the call to one of
            them failed, and whether one of them confirmed that it stores the claim.
        """
        holders: list[str] = []
        unreachable = False
        copy = Request()
        copy.CopyFrom(request)
        copy.replica = True
        for vm in replicas:
            record = self.table.get(key)
            if record is None or record.claim != request.claim:
                return holders, unreachable, False
            outcome = self.call(vm, "ClaimIdempotency", copy, CALL_TIMEOUT_S)
            holders.append(vm)
            if isinstance(outcome, Done):
                if outcome.value.HasField("record"):
                    self.merge_record(*record_from_message(outcome.value.record))
                if not outcome.value.full:
                    return holders, unreachable, True
            else:
                unreachable = True
        return holders, unreachable, False

    def _notify_holders(
        self, key: RecordKey, request: Request, holders: list[str], result: int
    ) -> None:
        """Send the result of a claim that did not run to the holders of its copies."""
        complete = peer_pb2.CompleteIdempotencyRequest(
            workspace=key.workspace,
            key_digest=key.key_digest,
            claim=request.claim,
            result=result,
        )
        for vm in holders:
            eventlet.spawn_n(
                self.call, vm, "CompleteIdempotency", complete, CALL_TIMEOUT_S
            )

    def _is_run_lost(self, record: Record) -> bool:
        if boottime() > record.expected:
            return True
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        return (record.vm, record.incarnation) not in live

    @property
    def _own_vm(self) -> str:
        return self.members.self_member.vm


def _rendezvous_key(key: RecordKey) -> str:
    return f"idempotency/{key.workspace}/{key.key_digest}"


def _new_record(request: Request) -> Record:
    return Record(
        request.request_digest,
        request.claim,
        request.vm,
        request.incarnation,
        boottime() + request.lifetime,
    )
