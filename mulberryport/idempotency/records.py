"""In-memory table of the idempotency key records that one daemon holds.

This module only stores and updates records; the agreement between daemons is
implemented in the modules ``decisions`` and ``service``.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any

import eventlet.event
from attrs import define, field, frozen

from ..runtime.clock import boottime

__all__ = [
    "MAX_STORED_RESPONSE_BYTES",
    "StoredResponse",
    "Record",
    "RecordKey",
    "RecordState",
    "RecordTable",
]

RECORD_LIFETIME_S = 600.0
# A larger response is not stored; the record then only states that the request ran.
MAX_STORED_RESPONSE_BYTES = 64 * 1024
MAX_TABLE_BYTES = 8 * 1024 * 1024
# Estimated size of a record without its response, for the memory limit.
RECORD_OVERHEAD_BYTES = 512


class RecordState(Enum):
    """What is known about the first run of a request."""

    PENDING = 0
    RUNNING = 1
    ANSWERED = 2
    UNKNOWN = 3
    NOT_RUN = 4


@frozen
class RecordKey:
    """Key of a record: a workspace and the digest of one of its idempotency keys."""

    workspace: str
    key_digest: str


@frozen
class StoredResponse:
    """The HTTP response of a first run."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    body: bytes = field(repr=False)

    @property
    def size(self) -> int:
        """Size of the headers and the body in bytes."""
        return len(self.body) + sum(len(n) + len(v) for n, v in self.headers)


@define(eq=False)
class Record:
    """The state of one used idempotency key.

    Parameters
    ----------
    request_digest : str
        Digest of the request that used the key.
    claim : str
        Id of the claim under which the first run takes place.
    vm, incarnation : str and int
        The daemon that runs the request.
    expected : float
        Boot time after which the outcome of a run without a result counts as unknown.
    holders : tuple of str
        Members that store the claim, set if this daemon allowed the run.
    """

    request_digest: str
    claim: str
    vm: str
    incarnation: int
    expected: float
    state: RecordState = RecordState.PENDING
    response: StoredResponse | None = None
    holders: tuple[str, ...] = ()
    changed_at: float = field(factory=boottime)
    changed: Any = field(factory=eventlet.event.Event, repr=False)

    @property
    def is_open(self) -> bool:
        """Whether the first run has no result yet."""
        return self.state in (RecordState.PENDING, RecordState.RUNNING)

    @property
    def size(self) -> int:
        """Estimated size of the record in bytes."""
        return RECORD_OVERHEAD_BYTES + (self.response.size if self.response else 0)


@define(eq=False)
class RecordTable:
    """The records that this daemon holds, within a memory limit.

    Parameters
    ----------
    limit : int
        Maximum total size in bytes. At the limit, responses are evicted first; after
        that no more keys are accepted, because evicting a record could allow a second
        run.
    now : callable
        Returns the boot time in seconds.
    """

    limit: int = MAX_TABLE_BYTES
    now: Callable[[], float] = boottime
    _records: dict[RecordKey, Record] = field(factory=dict)
    _size: int = 0

    @property
    def size(self) -> int:
        """Total size of all records in bytes."""
        return self._size

    def get(self, key: RecordKey) -> Record | None:
        """Return the record of a key, None if there is none or it has expired."""
        record = self._records.get(key)
        if record is None or not self._expired(record):
            return record
        self.remove(key)
        return None

    def items(self) -> list[tuple[RecordKey, Record]]:
        """Return all keys with their records."""
        return list(self._records.items())

    def put(self, key: RecordKey, record: Record) -> bool:
        """Store a record, replacing that of the same key; return whether it fits."""
        self.remove(key)
        if self._size + RECORD_OVERHEAD_BYTES > self.limit:
            self.expire()
            self._evict_responses(RECORD_OVERHEAD_BYTES)
        if self._size + RECORD_OVERHEAD_BYTES > self.limit:
            return False
        if record.response and not self._evict_responses(record.size):
            record.response = None
        self._records[key] = record
        self._size += record.size
        return True

    def set_result(
        self,
        key: RecordKey,
        claim: str,
        state: RecordState,
        response: StoredResponse | None = None,
    ) -> bool:
        """Set the result of a run; return whether the claim is known here.

        A result is final, except that a known result replaces ``UNKNOWN``.
        """
        record = self._records.get(key)
        if record is None or record.claim != claim:
            return False
        if not record.is_open and record.state is not RecordState.UNKNOWN:
            return True
        if response is not None and (
            response.size > MAX_STORED_RESPONSE_BYTES
            or not self._evict_responses(response.size)
        ):
            response = None
        self._size -= record.size
        record.state, record.response, record.changed_at = state, response, self.now()
        self._size += record.size
        self._notify_waiters(record)
        return True

    def remove(self, key: RecordKey) -> None:
        """Remove the record of a key, if any."""
        record = self._records.pop(key, None)
        if record is not None:
            self._size -= record.size
            self._notify_waiters(record)

    def expire(self) -> None:
        """Remove all expired records."""
        for key, record in self.items():
            if self._expired(record):
                self.remove(key)

    def _expired(self, record: Record) -> bool:
        if record.is_open:
            return self.now() > record.expected + RECORD_LIFETIME_S
        return self.now() > record.changed_at + RECORD_LIFETIME_S

    def _evict_responses(self, needed: int) -> bool:
        """Evict the oldest responses until some bytes fit; return whether they do."""
        if self._size + needed <= self.limit:
            return True
        answered = [r for r in self._records.values() if r.response]
        for record in sorted(answered, key=lambda r: r.changed_at):
            self._size -= record.size
            record.response = None
            self._size += record.size
            if self._size + needed <= self.limit:
                return True
        return False

    def _notify_waiters(self, record: Record) -> None:
        changed, record.changed = record.changed, eventlet.event.Event()
        changed.send(None)
