"""Persistence of jobs in the key-value store.

The head and the owner key of a job are stored below one prefix, which every daemon
mirrors; its specification and results are read on demand.

Results are stored in pages, each under the position of its first result. A page is
written once: an append requires that its position is free, and that this daemon still
owns the job. An owner appends only behind the pages that it has read or written, so
that pages have neither gaps nor overlaps, whichever of its commits take effect late.
"""

from typing import Any

import orjson
from attrs import define, evolve, frozen

from ..coordination import (
    Committed,
    Conflict,
    Item,
    KeyValueStore,
    Put,
    Transaction,
)
from ..outcomes import Done, NotDone, Outcome, Unknown
from .codec import (
    decode_job,
    decode_results,
    decode_transcripts,
    encode_job,
    encode_results,
    encode_transcripts,
)
from .generation import Transcript
from .model import Job, JobResult

__all__ = [
    "ENDED",
    "EXPIRED",
    "FINISHED",
    "HEAD_PREFIX",
    "LIVE_PREFIX",
    "OWNER_PREFIX",
    "JobRepository",
    "JobHead",
    "RecordTooLargeError",
    "check_record",
    "decode_head",
]

LIVE_PREFIX = "mulberryport/live/"
HEAD_PREFIX = LIVE_PREFIX + "job/"
OWNER_PREFIX = LIVE_PREFIX + "owner/"
SPEC_PREFIX = "mulberryport/spec/"
RESULTS_PREFIX = "mulberryport/results/"
PARTIAL_PREFIX = "mulberryport/partial/"
# The store limits values to 1 MB; this many bytes encoded as base64 stay below that.
CHUNK_BYTES = 700_000
# The store limits transactions to 32 entries; up to three of them are not chunks.
MAX_CHUNKS = 28
MAX_RECORD_BYTES = MAX_CHUNKS * CHUNK_BYTES
# The store limits keys to 200 bytes; the longest key of a job adds 30 to its id.
MAX_ID_BYTES = 160

OPEN, ENDED, FINISHED = "open", "ended", "finished"
# Nothing but the head is left, so that a copy on a disk is not taken for a new job.
EXPIRED = "expired"


class RecordTooLargeError(ValueError):
    """A job whose record does not fit the store."""


def check_record(job_id: str, size_bytes: int) -> None:
    """Check that the store can hold a job.

    A job that any other place accepts, such as a journal, has to fit the store later.

    Parameters
    ----------
    job_id : str
        Id of the job.
    size_bytes : int
        Size of the encoded job in bytes.

    Raises
    ------
    RecordTooLargeError
        The job does not fit.

    Examples
    --------
    >>> check_record("job1", 30_000_000)
    Traceback (most recent call last):
        ...
    mulberryport.jobs.repository.RecordTooLargeError: a job has 19600000 bytes at most
    """
    if len(job_id.encode(errors="replace")) > MAX_ID_BYTES:
        raise RecordTooLargeError(f"the id of a job has {MAX_ID_BYTES} bytes at most")
    if size_bytes > MAX_RECORD_BYTES:
        raise RecordTooLargeError(f"a job has {MAX_RECORD_BYTES} bytes at most")


@frozen(kw_only=True)
class JobHead:
    """Summary record of a job, mirrored by every daemon.

    Parameters
    ----------
    workspace, route : str
        Workspace of the job and the route that admitted it.
    total : int
        Number of items.
    submitted_at : float
        Seconds since 1970 by the fleet's clock.
    state : {'open', 'ended', 'finished', 'expired'}
        Whether results may still be added, and whether any can still be read.
    model : str
        Model of the items.
    oldest_version : int
        Oldest weight version that the job accepts; 0 for any.
    revision : int
        Store revision at which the head was written; 0 if it is not in the store.
    """

    workspace: str
    route: str
    total: int
    submitted_at: float
    state: str = OPEN
    model: str = ""
    oldest_version: int = 0
    revision: int = 0

    @property
    def open(self) -> bool:
        """Whether results may still be added."""
        return self.state == OPEN


def decode_head(item: Item) -> JobHead:
    """Decode the head of a job from its item in the store.

    Raises
    ------
    ValueError
        The value is not a valid head.
    """
    try:
        return JobHead(**orjson.loads(item.value), revision=item.revision)
    except (TypeError, AttributeError) as error:
        raise ValueError(f"not the head of a job: {error!r}") from error


def _encode_head(head: JobHead) -> bytes:
    values: dict[str, Any] = {
        "workspace": head.workspace,
        "route": head.route,
        "total": head.total,
        "submitted_at": head.submitted_at,
        "state": head.state,
        "model": head.model,
        "oldest_version": head.oldest_version,
    }
    return orjson.dumps(values)


@define(eq=False)
class JobRepository:
    """Reads and writes jobs in the store.

    Parameters
    ----------
    store : KeyValueStore
        The key-value store.
    """

    store: KeyValueStore

    def create(
        self, job: Job, owner_id: str, lease: int
    ) -> Outcome[tuple[JobHead, int] | Conflict]:
        """Create a job, owned under a lease, or without an owner if the lease is 0.

        Returns
        -------
        Done of (JobHead, int), Done of Conflict, NotDone or Unknown
            The head and the revision of the ownership; a conflict if the job exists
            or the session has ended.
        """
        head = JobHead(
            workspace=job.workspace,
            route=job.route,
            total=len(job.items),
            submitted_at=job.submitted_at,
            model=next((item.model for item in job.items), ""),
            oldest_version=job.oldest_version,
        )
        content = encode_job(job)
        try:
            check_record(job.id, len(content))
        except RecordTooLargeError as error:
            return NotDone(str(error))
        chunks = [
            content[start : start + CHUNK_BYTES]
            for start in range(0, len(content), CHUNK_BYTES)
        ]
        head_key = HEAD_PREFIX + job.id
        puts = (
            Put(head_key, _encode_head(head)),
            *([Put(OWNER_PREFIX + job.id, owner_id.encode(), lease)] if lease else []),
            *(
                Put(f"{SPEC_PREFIX}{job.id}/{number:04}", chunk)
                for number, chunk in enumerate(chunks)
            ),
        )
        outcome = self.store.commit(Transaction(expected={head_key: 0}, puts=puts))
        if not isinstance(outcome, Done) or isinstance(outcome.value, Conflict):
            return outcome
        revision = outcome.value.revision
        return Done((evolve(head, revision=revision), revision))

    def read_head(self, job_id: str) -> Outcome[JobHead | None]:
        """Return the head of a job; ``Done(None)`` if the job does not exist."""
        outcome = self.store.read(HEAD_PREFIX + job_id)
        if not isinstance(outcome, Done) or outcome.value is None:
            return outcome
        return _try_decode(decode_head, outcome.value)

    def read_job(self, job_id: str) -> Outcome[Job]:
        """Return the specification of a job."""
        outcome = self.store.list(f"{SPEC_PREFIX}{job_id}/")
        if not isinstance(outcome, Done):
            return outcome
        chunks = sorted(outcome.value.items, key=lambda item: item.key)
        if not chunks:
            return NotDone(f"job {job_id} has no specification")
        return _try_decode(decode_job, b"".join(chunk.value for chunk in chunks))

    def read_results(self, job_id: str) -> Outcome[list[JobResult]]:
        """Return all committed results of a job."""
        outcome = self.store.list(f"{RESULTS_PREFIX}{job_id}/")
        if not isinstance(outcome, Done):
            return outcome
        commits = sorted(outcome.value.items, key=lambda item: item.key)
        results: list[JobResult] = []
        for commit in commits:
            # Listing pages are not one snapshot, so results after a gap are ignored.
            if int(commit.key.rpartition("/")[2]) != len(results):
                break
            decoded = _try_decode(decode_results, commit.value)
            if not isinstance(decoded, Done):
                return decoded
            results.extend(decoded.value)
        return Done(results)

    def read_transcripts(self, job_id: str) -> Outcome[dict[str, Transcript]]:
        """Return the partial transcripts that a previous owner stored."""
        outcome = self.store.read(PARTIAL_PREFIX + job_id)
        if not isinstance(outcome, Done):
            return outcome
        if outcome.value is None:
            return Done({})
        return _try_decode(decode_transcripts, outcome.value.value)

    def claim(
        self, job_id: str, owner_id: str, lease: int, replaced_revision: int = 0
    ) -> Outcome[int | None]:
        """Become the owner of an open job that has none.

        Parameters
        ----------
        replaced_revision : int
            Revision of the ownership to replace because its owner is gone; 0 to
            require that the job has no owner.

        Returns
        -------
        Done of int, Done of None, NotDone or Unknown
            The revision of the ownership; None if the job has an owner.
        """
        owner_key = OWNER_PREFIX + job_id
        outcome = self.store.commit(
            Transaction(
                expected={owner_key: replaced_revision},
                puts=(Put(owner_key, owner_id.encode(), lease),),
            )
        )
        if not isinstance(outcome, Done):
            return outcome
        if isinstance(outcome.value, Committed):
            return Done(outcome.value.revision)
        return Done(None)

    def read_owner(self, job_id: str) -> Outcome[Item | None]:
        """Return the owner key of a job; None if the job has no owner."""
        return self.store.read(OWNER_PREFIX + job_id)

    def append(
        self,
        job_id: str,
        ownership: int,
        head: JobHead,
        position: int,
        results: list[JobResult],
        *,
        is_last: bool = False,
        transcripts: dict[str, Transcript] | None = None,
    ) -> Outcome[Committed | Conflict]:
        """Append a page of results at a position; the operation is idempotent.

        Parameters
        ----------
        ownership : int
            Revision at which this daemon became the owner.
        head : JobHead
            The head of the job, which must not have changed: nothing is listed after
            the end of a job, whose results other daemons may have read as final.
        is_last : bool
            Whether these are the last results, which finish the job.
        transcripts : dict of str to Transcript, optional
            Partial transcripts to store for a later owner.

        Returns
        -------
        Done of Committed, Done of Conflict, NotDone or Unknown
            The revision of the commit, also if an earlier call with the same results
            took effect; a conflict if the position has other results, or the job
            another owner or none.
        """
        owner_key, head_key = OWNER_PREFIX + job_id, HEAD_PREFIX + job_id
        key = f"{RESULTS_PREFIX}{job_id}/{position:08}"
        page = encode_results(results)
        puts = [Put(key, page), *_transcript_puts(job_id, transcripts)]
        expected = {owner_key: ownership, head_key: head.revision, key: 0}
        removes: tuple[str, ...] = ()
        if is_last:
            puts.append(Put(head_key, _encode_head(evolve(head, state=FINISHED))))
            removes = (owner_key,)
        outcome = self.store.commit(
            Transaction(expected=expected, puts=tuple(puts), removes=removes)
        )
        if isinstance(outcome, Done) and isinstance(outcome.value, Conflict):
            for item in outcome.value.items:
                if item.key == key and item.value == page:
                    return Done(Committed(item.revision))
        return outcome

    def release(
        self, job_id: str, ownership: int, transcripts: dict[str, Transcript]
    ) -> Outcome[Committed | Conflict]:
        """Give up the ownership of a job and store its partial transcripts."""
        return self.store.commit(
            Transaction(
                expected={OWNER_PREFIX + job_id: ownership},
                puts=_transcript_puts(job_id, transcripts),
                removes=(OWNER_PREFIX + job_id,),
            )
        )

    def checkpoint(
        self, job_id: str, ownership: int, transcripts: dict[str, Transcript]
    ) -> Outcome[Committed | Conflict]:
        """Store partial transcripts from which a later owner can resume."""
        return self.store.commit(
            Transaction(
                expected={OWNER_PREFIX + job_id: ownership},
                puts=_transcript_puts(job_id, transcripts),
            )
        )

    def end(
        self, job_id: str, head: JobHead, ownership: int | None = None
    ) -> Outcome[Committed | Conflict]:
        """Mark a job as ended and remove its owner; no further results are accepted.

        Parameters
        ----------
        ownership : int or None
            Revision of the owner key that the caller knows, 0 if there is none; another
            owner is a conflict. None if it does not matter.
        """
        head_key, owner_key = HEAD_PREFIX + job_id, OWNER_PREFIX + job_id
        known_owner = {} if ownership is None else {owner_key: ownership}
        return self.store.commit(
            Transaction(
                expected={head_key: head.revision} | known_owner,
                puts=(Put(head_key, _encode_head(evolve(head, state=ENDED))),),
                removes=(OWNER_PREFIX + job_id,),
            )
        )

    def expire(self, job_id: str, head: JobHead) -> Outcome[Committed | Conflict]:
        """Mark a closed job as expired, and delete all but its head."""
        head_key = HEAD_PREFIX + job_id
        outcome = self.store.commit(
            Transaction(
                expected={head_key: head.revision},
                puts=(Put(head_key, _encode_head(evolve(head, state=EXPIRED))),),
            )
        )
        if not isinstance(outcome, Done) or isinstance(outcome.value, Conflict):
            return outcome
        return self._remove(job_id, [PARTIAL_PREFIX + job_id])

    def delete(self, job_id: str) -> Outcome[Committed | Conflict]:
        """Delete all keys of a job."""
        return self._remove(job_id, [HEAD_PREFIX + job_id, PARTIAL_PREFIX + job_id])

    def _remove(self, job_id: str, keys: list[str]) -> Outcome[Committed | Conflict]:
        """Delete the specification and results of a job, and then some keys."""
        for prefix in (SPEC_PREFIX, RESULTS_PREFIX):
            outcome = self.store.list(f"{prefix}{job_id}/")
            if not isinstance(outcome, Done):
                return outcome
            keys.extend(item.key for item in outcome.value.items)
        outcome: Any = Done(Committed(0))
        # The head comes last, so that nothing remains without a head that tells of it.
        for start in range(0, len(keys), MAX_CHUNKS):
            batch = tuple(reversed(keys))[start : start + MAX_CHUNKS]
            outcome = self.store.commit(Transaction(removes=batch))
            if not isinstance(outcome, Done):
                return outcome
        return outcome


def _transcript_puts(
    job_id: str, transcripts: dict[str, Transcript] | None
) -> tuple[Put, ...]:
    """Return the puts that store transcripts, the longest ones if not all fit."""
    if not transcripts:
        return ()
    content = encode_transcripts(transcripts, CHUNK_BYTES)
    return (Put(PARTIAL_PREFIX + job_id, content),)


def _try_decode(decode: Any, content: Any) -> Outcome[Any]:
    try:
        return Done(decode(content))
    except ValueError as error:
        return Unknown(f"malformed value in the store: {error}")
