"""Journal service of one disk: accepts jobs and uploads them to the store."""

from enum import Enum, auto
from pathlib import Path

from attrs import define, field

from ..coordination import Conflict
from ..jobs import JobRepository, RecordTooLargeError, check_record
from ..jobs.codec import decode_job
from ..outcomes import Done
from ..peering import PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .file_store import JobFileStore

__all__ = ["JournalService"]

JOB_KEPT = define_event(
    961, "journal_job_kept", "info", "A job was written to the journal."
)
JOB_BROUGHT = define_event(
    962,
    "journal_job_brought",
    "info",
    "A journaled job that the store lacked was uploaded to it.",
)
JOB_REFUSED = define_event(
    963, "journal_job_refused", "warning", "A job could not be written to the journal."
)
JOB_DROPPED = define_event(
    964,
    "journal_job_dropped",
    "error",
    "A journaled job was dropped that the store can never hold.",
)
JOB_NOT_BROUGHT = define_event(
    966,
    "journal_job_not_brought",
    "warning",
    "A journaled job could not be uploaded; it stays on the disk.",
)

# Lets the daemon that accepted a job write it to the store first once it recovers.
UPLOAD_DELAY_S = 1.0
# Covers a store outage of one minute at several jobs per second.
MAX_JOBS = 512


class UploadResult(Enum):
    """Result of an attempt to upload a job."""

    DONE = auto()
    FAILED = auto()
    NO_ANSWER = auto()


@define(eq=False)
class JournalService:
    """Stores jobs on a disk until the store has them.

    Parameters
    ----------
    file_store : JobFileStore
        Storage of jobs on the disk.
    repository : JobRepository
        The jobs in the store.
    retention : float
        Seconds for which a job that the store can never hold stays on the disk.
    """

    file_store: JobFileStore
    repository: JobRepository
    retention: float
    _first_seen_at: dict[str, float] = field(factory=dict)
    # Why the last attempt to upload a job failed, by file name.
    _failures: dict[str, str] = field(factory=dict)
    _last_tries: dict[str, float] = field(factory=dict)
    _closed: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether no journaled job remains to be uploaded."""
        return not len(self.file_store)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of peer calls from entry daemons."""
        server.register("KeepJob", self._serve_keep)
        server.register("HoldsJob", self._serve_holds)

    def close(self) -> None:
        """Refuse further jobs, since the disk is about to be removed."""
        self._closed = True

    def upload_jobs(self) -> None:
        """Upload journaled jobs to the store, until it does not answer.

        A job that cannot be uploaded keeps back none of the others: the one that was
        tried last comes last.
        """
        for file, content in self.file_store.jobs(self._is_due, self._tried_at):
            self._last_tries[file.name] = boottime()
            match self._upload(file.name, content):
                case UploadResult.DONE:
                    file.unlink(missing_ok=True)
                    self._first_seen_at.pop(file.name, None)
                    self._failures.pop(file.name, None)
                    self._last_tries.pop(file.name, None)
                case UploadResult.NO_ANSWER:
                    return

    def _is_due(self, file: Path) -> bool:
        """Whether to try to upload a job now."""
        first_seen_at = self._first_seen_at.setdefault(file.name, boottime())
        return boottime() - first_seen_at >= UPLOAD_DELAY_S or self._closed

    def _tried_at(self, file: Path) -> tuple[float, str]:
        """Return when the upload of a job was tried last, as a key to sort by."""
        return self._last_tries.get(file.name, float("-inf")), file.name

    def _upload(self, name: str, content: bytes) -> UploadResult:
        """Ensure that the store has a job."""
        try:
            job = decode_job(content)
        except ValueError as error:
            # A later build may read it.
            return self._keep_or_drop(name, "", str(error))
        head = self.repository.read_head(job.id)
        if not isinstance(head, Done):
            self._record_failure(name, job.id, head.reason)
            return UploadResult.NO_ANSWER
        if head.value is not None:
            return UploadResult.DONE
        try:
            check_record(job.id, len(content))
        except RecordTooLargeError as error:
            return self._keep_or_drop(name, job.id, str(error))
        # The store keeps the heads of jobs that were there, so that this one never was,
        # however old it is.
        outcome = self.repository.create(job, "", 0)
        if not isinstance(outcome, Done):
            self._record_failure(name, job.id, outcome.reason)
            return UploadResult.FAILED
        if not isinstance(outcome.value, Conflict):
            log(JOB_BROUGHT, job=job.id)
        return UploadResult.DONE

    def _record_failure(self, name: str, job_id: str, reason: str) -> None:
        """Log why a job could not be uploaded, unless it is known."""
        if self._failures.get(name) != reason:
            log(JOB_NOT_BROUGHT, job=job_id, file=name, reason=reason)
            self._failures[name] = reason

    def _keep_or_drop(self, name: str, job_id: str, reason: str) -> UploadResult:
        """Keep a job that can never be uploaded until the end of its retention."""
        self._record_failure(name, job_id, reason)
        if boottime() - self._first_seen_at[name] <= self.retention:
            return UploadResult.FAILED
        log(JOB_DROPPED, job=job_id, file=name, error=reason)
        return UploadResult.DONE

    def _serve_holds(self, request: peer_pb2.HoldsJobRequest) -> peer_pb2.HoldsJobReply:
        return peer_pb2.HoldsJobReply(held=self.file_store.holds(request.id))

    def _serve_keep(self, request: peer_pb2.KeepJobRequest) -> peer_pb2.KeepJobReply:
        if self._closed or len(self.file_store) >= MAX_JOBS:
            log(JOB_REFUSED, job=request.id, reason="journal is closed or full")
            return peer_pb2.KeepJobReply(kept=False)
        try:
            check_record(request.id, len(request.job))
            self.file_store.persist(request.id, request.job)
        except (OSError, RecordTooLargeError) as error:
            log(JOB_REFUSED, job=request.id, reason=repr(error))
            return peer_pb2.KeepJobReply(kept=False)
        log(JOB_KEPT, job=request.id, bytes=len(request.job))
        return peer_pb2.KeepJobReply(kept=True)
