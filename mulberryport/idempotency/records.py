"""Records of idempotency keys in the memory of one daemon.

Changes of the table only; how the daemons agree is in the service module.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

import eventlet.event
from attrs import define, field, frozen

from ..runtime.clock import boottime

__all__ = [
    "ANSWER_BYTES",
    "Answer",
    "Record",
    "RecordId",
    "RecordState",
    "RecordTable",
]

LIFETIME_S = 600.0
# A longer answer is not kept: the record then only says that the request ran.
ANSWER_BYTES = 64 * 1024
TABLE_BYTES = 8 * 1024 * 1024
# Estimate of a record without its answer, for the bound.
RECORD_BYTES = 512


class RecordState(Enum):
    """What is known of the first run."""

    PENDING = 0
    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    NOT_RUN = 4


@frozen
class RecordId:
    """A workspace and the digest of one of its idempotency keys."""

    workspace: str
    key_digest: str


@frozen
class Answer:
    """The answer of a first run."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = field(repr=False)

    @property
    def size(self) -> int:
        """Bytes that the answer takes."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)


@define(eq=False)
class Record:
    """A key that was used.

    Parameters
    ----------
    request_digest : str
        Digest of the request that used it.
    claim : str
        Id of the claim; the first run holds it.
    vm, incarnation : str and int
        The daemon that runs the request.
    expected : float
        Boot time after which a run without a result counts as unknown.
    holders : tuple of str
        Members that keep the claim, if this daemon allowed the run.
    """

    request_digest: str
    claim: str
    vm: str
    incarnation: int
    expected: float
    state: RecordState = RecordState.PENDING
    answer: Answer | None = None
    holders: tuple[str, ...] = ()
    changed_at: float = field(factory=boottime)
    changed: Any = field(factory=eventlet.event.Event, repr=False)

    @property
    def open(self) -> bool:
        """Whether the first run may still end."""
        return self.state in (RecordState.PENDING, RecordState.RUNNING)

    @property
    def size(self) -> int:
        """Bytes that the record takes."""
        return RECORD_BYTES + (self.answer.size if self.answer else 0)


@define(eq=False)
class RecordTable:
    """The records that this daemon keeps.

    Parameters
    ----------
    limit : int
        Bytes of all records; at the limit answers are dropped first, and then no
        more keys are accepted, because a dropped record could allow a second run.
    now : callable
        Clock.
    """

    limit: int = TABLE_BYTES
    now: Callable[[], float] = boottime
    _records: dict[RecordId, Record] = field(factory=dict)
    _size: int = 0

    @property
    def size(self) -> int:
        """Bytes of all records."""
        return self._size

    def get(self, key: RecordId) -> Record | None:
        """Return the record of a key that has not expired."""
        record = self._records.get(key)
        if record is None or not self._expired(record):
            return record
        self.remove(key)
        return None

    def items(self) -> list[tuple[RecordId, Record]]:
        """Return all records."""
        return list(self._records.items())

    def put(self, key: RecordId, record: Record) -> bool:
        """Keep a record; return whether there is room."""
        self.remove(key)
        if self._size + RECORD_BYTES > self.limit:
            self.expire()
            self._drop_answers(RECORD_BYTES)
        if self._size + RECORD_BYTES > self.limit:
            return False
        if record.answer and not self._drop_answers(record.size):
            record.answer = None
        self._records[key] = record
        self._size += record.size
        return True

    def change(
        self,
        key: RecordId,
        claim: str,
        state: RecordState,
        answer: Answer | None = None,
    ) -> bool:
        """Take over the result of a run; return whether the claim is known here.

        A result is final, except that "unknown" gives way to what is known.
        """
        record = self._records.get(key)
        if record is None or record.claim != claim:
            return False
        if not record.open and record.state is not RecordState.UNKNOWN:
            return True
        if answer is not None and (
            answer.size > ANSWER_BYTES or not self._drop_answers(answer.size)
        ):
            answer = None
        self._size -= record.size
        record.state, record.answer, record.changed_at = state, answer, self.now()
        self._size += record.size
        self._wake(record)
        return True

    def remove(self, key: RecordId) -> None:
        """Forget a key."""
        record = self._records.pop(key, None)
        if record is not None:
            self._size -= record.size
            self._wake(record)

    def expire(self) -> None:
        """Forget the records whose lifetime is over."""
        for key, record in self.items():
            if self._expired(record):
                self.remove(key)

    def _expired(self, record: Record) -> bool:
        if record.open:
            return self.now() > record.expected + LIFETIME_S
        return self.now() > record.changed_at + LIFETIME_S

    def _drop_answers(self, wanted: int) -> bool:
        """Make room by dropping the oldest answers; return whether there is room."""
        if self._size + wanted <= self.limit:
            return True
        answered = [r for r in self._records.values() if r.answer]
        for record in sorted(answered, key=lambda r: r.changed_at):
            self._size -= record.size
            record.answer = None
            self._size += record.size
            if self._size + wanted <= self.limit:
                return True
        return False

    def _wake(self, record: Record) -> None:
        changed, record.changed = record.changed, eventlet.event.Event()
        changed.send(None)
