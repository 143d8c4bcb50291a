"""Conversion of records and stored responses to and from peer protocol messages."""

from ..peering import peer_pb2
from ..runtime.clock import boottime
from .records import Record, RecordKey, RecordState, StoredResponse

__all__ = [
    "response_from_message",
    "response_to_message",
    "record_from_message",
    "record_to_message",
]


def response_to_message(response: StoredResponse) -> peer_pb2.StoredAnswer:
    """Return the peer protocol message for a stored response."""
    lines = [peer_pb2.HeaderLine(name=n, value=v) for n, v in response.headers]
    return peer_pb2.StoredAnswer(
        status=response.status,
        reason=response.reason,
        header_lines=lines,
        body=response.body,
    )


def response_from_message(message: peer_pb2.StoredAnswer) -> StoredResponse:
    """Return the stored response that a message contains."""
    headers = tuple((line.name, line.value) for line in message.header_lines)
    return StoredResponse(message.status, message.reason, headers, message.body)


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
    if record.response is not None:
        message.answer.CopyFrom(response_to_message(record.response))
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
        response_from_message(message.answer) if answered else None,
        changed_at=boottime() - message.age,
    )
    return RecordKey(message.workspace, message.key_digest), record
