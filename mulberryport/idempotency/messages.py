"""Conversion of records and answers to and from peer protocol messages."""

from ..peering import peer_pb2
from ..runtime.clock import boottime
from .records import Answer, Record, RecordKey, RecordState

__all__ = [
    "answer_from_message",
    "answer_to_message",
    "record_from_message",
    "record_to_message",
]


def answer_to_message(answer: Answer) -> peer_pb2.StoredAnswer:
    """Return the peer protocol message for an answer."""
    lines = [peer_pb2.HeaderLine(name=n, value=v) for n, v in answer.headers]
    return peer_pb2.StoredAnswer(
        status=answer.status,
        reason=answer.reason,
        header_lines=lines,
        body=answer.body,
    )


def answer_from_message(message: peer_pb2.StoredAnswer) -> Answer:
    """Return the answer that a message contains."""
    headers = tuple((line.name, line.value) for line in message.header_lines)
    return Answer(message.status, message.reason, headers, message.body)


def record_to_message(key: RecordKey, record: Record) -> peer_pb2.IdempotencyRecord:
    """Return the peer protocol message for a record."""
    message = peer_pb2.IdempotencyRecord(
        workspace=key.workspace,
        key_digest=key.key_digest,
        request_digest=record.request_digest,
        claim=record.claim,
        vm=record.vm,
        incarnation=record.incarnation,
        state=record.state.value,
        age=boottime() - record.changed_at,
        expected=record.expected - boottime(),
    )
    if record.answer is not None:
        message.answer.CopyFrom(answer_to_message(record.answer))
    return message


def record_from_message(
    message: peer_pb2.IdempotencyRecord,
) -> tuple[RecordKey, Record]:
    """Return the key and the record that a message contains."""
    answered = message.HasField("answer")
    record = Record(
        message.request_digest,
        message.claim,
        message.vm,
        message.incarnation,
        boottime() + message.expected,
        RecordState(message.state),
        answer_from_message(message.answer) if answered else None,
        changed_at=boottime() - message.age,
    )
    return RecordKey(message.workspace, message.key_digest), record
