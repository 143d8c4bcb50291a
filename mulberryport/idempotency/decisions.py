"""The owner's decision about a claim of an idempotency key."""

from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field

from ..membership import Members, rendezvous_order
from ..outcomes import Done, Outcome
from ..peering import peer_pb2
from ..runtime.clock import boottime
from .history import OwnerHistory, owners_among
from .messages import answer_to_message, record_from_message, record_to_message
from .records import LIFETIME_S, Record, RecordId, RecordState, RecordTable

__all__ = ["Owner"]

CALL_TIMEOUT_S = 1.0
# A run whose daemon is lost counts as unknown; liveness has no event to wait for.
LIVENESS_CHECK_S = 0.5
REPLICAS_TRIED = 2
ASKED_AFTER_START = 4

Decision = peer_pb2.ClaimIdempotencyReply.Decision
Request = peer_pb2.ClaimIdempotencyRequest
Reply = peer_pb2.ClaimIdempotencyReply
Result = peer_pb2.CompleteIdempotencyRequest.Result


@define(eq=False)
class Owner:
    """Decides claims, in agreement with a replica.

    Parameters
    ----------
    members : Members
        Who owns which key, and who is live.
    call : callable
        Calls a method of a peer: VM, method, request, timeout.
    table : RecordTable
        The records kept here.
    """

    members: Members
    call: Callable[[str, str, Any, float], Outcome[Any]]
    table: RecordTable
    history: OwnerHistory = field(factory=lambda: OwnerHistory(LIFETIME_S))
    _started: float = field(factory=boottime)

    def candidates(self, key: RecordId) -> list[str]:
        """Return the live members in the order in which they decide on a key."""
        name = _name(key)
        live = self.members.live()
        staying = [member for member in live if not member.leaving] or list(live)
        first = owners_among(name, staying)
        rest = [m for m in rendezvous_order(name, staying) if m not in first]
        return [member.vm for member in (*first, *rest)]

    def is_uncertain(self, key: RecordId) -> bool:
        """Return whether a member that could hold a record is lost."""
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        return bool(self.history.holders(_name(key)).keys() - live)

    def adopt(self, key: RecordId, record: Record) -> None:
        """Take over a record of another member, unless more is known here."""
        if record.state is RecordState.PENDING:
            # Only the owner that claims may give a claim up.
            record.state = RecordState.RUNNING
        known = self.table.get(key)
        if record.state is RecordState.NOT_RUN and known is not None:
            # It allows a claim; replacing a claim by it would repeat for ever.
            return
        if (
            known is not None
            and known.claim == record.claim
            and record.open
            and known.state is RecordState.PENDING
        ):
            # A copy of the claim that is being decided here says nothing new;
            # replacing the claim by it would repeat for ever as well.
            return
        if known is None or known.state in (RecordState.NOT_RUN, RecordState.PENDING):
            self.table.put(key, record)
        elif known.claim == record.claim and not record.open:
            self.table.change(key, record.claim, record.state, record.answer)

    def answer(self, request: Request) -> Reply:
        """Answer a claim, a replica's copy of a claim, or a query."""
        key = RecordId(request.workspace, request.key_digest)
        if request.query:
            return self._answer_query(key)
        if request.replica:
            return self._answer_replica(key, request)
        deadline = boottime() + request.wait
        while True:
            record = self.table.get(key)
            if record is None or record.state is RecordState.NOT_RUN:
                reply = self._try_claim(key, request)
            else:
                reply = self._answer_known(key, record, request, deadline)
            if reply is not None:
                return reply

    def _answer_query(self, key: RecordId) -> Reply:
        record = self.table.get(key)
        reply = Reply(uncertain=self.is_uncertain(key))
        if record is not None:
            reply.record.CopyFrom(record_to_message(key, record))
        return reply

    def _answer_replica(self, key: RecordId, request: Request) -> Reply:
        """Keep a copy of a claim, unless another claim came first."""
        known = self.table.get(key)
        if known is not None and known.claim != request.claim:
            # Two owners that claim at the same time agree on the lower id.
            gives_way = known.state is RecordState.PENDING and (
                request.claim < known.claim
            )
            if known.state is not RecordState.NOT_RUN and not gives_way:
                return Reply(record=record_to_message(key, known))
        if known is None or known.claim != request.claim:
            record = _record(request)
            record.state = RecordState.RUNNING
            if not self.table.put(key, record):
                return Reply(full=True)
        return Reply(decision=Decision.RUN)

    def _answer_known(
        self, key: RecordId, record: Record, request: Request, deadline: float
    ) -> Reply | None:
        """Answer from a record, or wait for its change and return None."""
        if record.request_digest != request.request_digest:
            return Reply(decision=Decision.MISMATCH)
        if record.claim == request.claim and record.state is RecordState.RUNNING:
            if record.holders:
                return Reply(decision=Decision.RUN, holders=record.holders)
            # The copy of a claim whose owner may have decided against it since.
            return self._try_claim(key, request)
        if record.state is RecordState.ANSWERED:
            reply = Reply(decision=Decision.ANSWERED)
            if record.answer is not None:
                reply.answer.CopyFrom(answer_to_message(record.answer))
            return reply
        if record.state is RecordState.UNKNOWN:
            return Reply(decision=Decision.UNKNOWN)
        if self._run_is_lost(record):
            self.table.change(key, record.claim, RecordState.UNKNOWN)
            return None
        remaining = deadline - boottime()
        if remaining <= 0:
            return Reply(decision=Decision.RUNNING)
        with eventlet.Timeout(min(remaining, LIVENESS_CHECK_S), False):
            record.changed.wait()
        return None

    def _try_claim(self, key: RecordId, request: Request) -> Reply | None:
        """Claim a key that has no record here; None if another claim was found."""
        record = _record(request)
        if not self.table.put(key, record):
            return Reply(full=True)
        replicas = [vm for vm in self.candidates(key) if vm != self._vm]
        # A run that did not happen leaves no certainty either: another owner may
        # have allowed a further run since.
        doubtful = request.uncertain or self._ask_holders(key, next(iter(replicas), ""))
        holders, refused, kept = self._replicate(
            key, request, replicas[:REPLICAS_TRIED]
        )
        current = self.table.get(key)
        if current is not record or record.state is not RecordState.PENDING:
            # A record was found elsewhere, or another owner's claim came first.
            return None
        if request.retry and (doubtful or refused):
            # A member that cannot be asked may hold the record of the first run.
            record.state = RecordState.UNKNOWN
            self._tell(key, request, holders, Result.Value("UNKNOWN"))
            return Reply(decision=Decision.UNKNOWN)
        if replicas and not kept:
            # With its only holder, which is cut off, the record would be lost, and
            # nobody could tell a retry from a first request.
            self.table.change(key, request.claim, RecordState.NOT_RUN)
            self._tell(key, request, holders, Result.Value("NOT_RUN"))
            return Reply(full=True)
        record.state = RecordState.RUNNING
        record.holders = (self._vm, *holders)
        return Reply(decision=Decision.RUN, holders=record.holders)

    def _ask_holders(self, key: RecordId, replica: str) -> bool:
        """Ask the members that could hold a record; return whether doubt remains."""
        doubtful = self.is_uncertain(key)
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        asked = {vm for vm, _ in self.history.holders(_name(key)).keys() & live}
        if boottime() - self._started < LIFETIME_S:
            # Older members know which owners there were before this daemon started.
            asked.update(self.candidates(key)[:ASKED_AFTER_START])
        for vm in (asked | {replica}) - {self._vm, ""}:
            query = Request(
                workspace=key.workspace, key_digest=key.key_digest, query=True
            )
            outcome = self.call(vm, "ClaimIdempotency", query, CALL_TIMEOUT_S)
            if not isinstance(outcome, Done):
                doubtful = True
                continue
            doubtful = doubtful or outcome.value.uncertain
            if outcome.value.HasField("record"):
                self.adopt(*record_from_message(outcome.value.record))
        return doubtful

    def _replicate(
        self, key: RecordId, request: Request, replicas: list[str]
    ) -> tuple[list[str], bool, bool]:
        """Give a claim to one replica.

        Returns
        -------
        tuple of list of str, bool and bool
            Members that keep the claim or may keep it, whether one of them could
            not be asked, and whether one of them certainly keeps it.
        """
        holders: list[str] = []
        refused = False
        copy = Request()
        copy.CopyFrom(request)
        copy.replica = True
        for vm in replicas:
            record = self.table.get(key)
            if record is None or record.claim != request.claim:
                return holders, refused, False
            outcome = self.call(vm, "ClaimIdempotency", copy, CALL_TIMEOUT_S)
            holders.append(vm)
            if isinstance(outcome, Done):
                if outcome.value.HasField("record"):
                    self.adopt(*record_from_message(outcome.value.record))
                if not outcome.value.full:
                    return holders, refused, True
            else:
                refused = True
        return holders, refused, False

    def _tell(
        self, key: RecordId, request: Request, holders: list[str], result: int
    ) -> None:
        """Tell the holders of copies how a claim ended that did not run."""
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

    def _run_is_lost(self, record: Record) -> bool:
        if boottime() > record.expected:
            return True
        live = {(m.vm, m.incarnation) for m in self.members.live()}
        return (record.vm, record.incarnation) not in live

    @property
    def _vm(self) -> str:
        return self.members.self_member.vm


def _name(key: RecordId) -> str:
    return f"idempotency/{key.workspace}/{key.key_digest}"


def _record(request: Request) -> Record:
    return Record(
        request.request_digest,
        request.claim,
        request.vm,
        request.incarnation,
        boottime() + request.lifetime,
    )
