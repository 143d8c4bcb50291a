"""The keeper of one disk: takes jobs, and brings them into the store."""

from collections.abc import Callable

from attrs import define, field

from ..coordination import Conflict
from ..jobs import JobArchive
from ..jobs.codec import decode_job
from ..outcomes import Done
from ..peering import PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .folder import JobFolder

__all__ = ["JournalKeeper"]

JOB_KEPT = define_event(961, "journal_job_kept", "info", "A job is kept on the disk.")
JOB_BROUGHT = define_event(
    962, "journal_job_brought", "info", "A job that only disks had is in the store."
)
JOB_REFUSED = define_event(
    963, "journal_job_refused", "warning", "A job could not be kept on the disk."
)
JOB_DROPPED = define_event(
    964, "journal_job_dropped", "error", "A kept job is malformed or too old."
)

# The daemon that accepted a job writes it to the store itself when that answers again.
PATIENCE_S = 1.0
# Jobs on one disk: a store outage of a minute at several jobs a second.
MOST_JOBS = 512


@define(eq=False)
class JournalKeeper:
    """Keeps jobs on a disk until the store has them.

    Parameters
    ----------
    folder : JobFolder
        The disk.
    archive : JobArchive
        The jobs in the store.
    now : callable
        Returns seconds since 1970.
    retention : float
        Seconds after its submission for which the store keeps a job.
    """

    folder: JobFolder
    archive: JobArchive
    now: Callable[[], float]
    retention: float
    _kept_at: dict[str, float] = field(factory=dict)
    _closed: bool = False

    @property
    def empty(self) -> bool:
        """Whether the store has everything that was kept."""
        return not len(self.folder)

    def register(self, server: PeerServer) -> None:
        """Serve the peer calls of entry daemons."""
        server.register("KeepJob", self._serve_keep)

    def close(self) -> None:
        """Take no further jobs, since the disk will be taken away."""
        self._closed = True

    def turn(self) -> None:
        """Bring kept jobs into the store, as far as it answers."""
        for file, content in list(self.folder.jobs()):
            since = self._kept_at.setdefault(file.name, boottime())
            if boottime() - since >= PATIENCE_S or self._closed:
                if not self._bring(content):
                    return
                file.unlink(missing_ok=True)
                self._kept_at.pop(file.name, None)

    def _bring(self, content: bytes) -> bool:
        """Write a job to the store unless it is there; false if it is not known."""
        try:
            job = decode_job(content)
        except ValueError as error:
            log(JOB_DROPPED, error=str(error))
            return True
        found = self.archive.read_head(job.id)
        if not isinstance(found, Done):
            return False
        if found.value is not None:
            return True
        if self.now() - job.submitted_at > self.retention:
            log(JOB_DROPPED, job=job.id, error="older than jobs are kept")
            return True
        outcome = self.archive.create(job, "", 0)
        if not isinstance(outcome, Done):
            return False
        if not isinstance(outcome.value, Conflict):
            log(JOB_BROUGHT, job=job.id)
        return True

    def _serve_keep(self, request: peer_pb2.KeepJobRequest) -> peer_pb2.KeepJobReply:
        if self._closed or len(self.folder) >= MOST_JOBS:
            log(JOB_REFUSED, job=request.id, reason="closed or full")
            return peer_pb2.KeepJobReply(kept=False)
        try:
            self.folder.keep(request.id, request.job)
        except OSError as error:
            log(JOB_REFUSED, job=request.id, reason=repr(error))
            return peer_pb2.KeepJobReply(kept=False)
        log(JOB_KEPT, job=request.id, bytes=len(request.job))
        return peer_pb2.KeepJobReply(kept=True)
