"""Facade of the batch job subsystem of one daemon.

A job is owned by the daemon that accepted it until that daemon is lost or stops; then
another one claims it in the store. ``submission`` accepts jobs, ``takeover`` maintains
and claims ownerships, ``reading`` serves reads, and all share the ``registry``.
"""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..coordination import Conflict, Item, KeyValueStore, Mirror, Session
from ..membership import Members
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..tables import Snapshot
from ..targets import Dispatcher
from ..telemetry import define as define_event
from ..telemetry import log
from .generation import EngineClient, Transcript
from .items import JobContext
from .model import Job, JobResult
from .moving import TextMoves
from .owned import OwnedJob
from .reading import JobReader, ResultPage
from .registry import RECOVERY_GRACE_S, JobRegistry, owner_vm
from .repository import ENDED, EXPIRED, JobHead, JobRepository
from .submission import JobSubmitter
from .takeover import OwnershipManager

__all__ = ["JobService"]

JOB_ENDED = define_event(932, "job_ended", "info", "A batch job was ended.")
STOP_IGNORED = define_event(
    936,
    "job_stop_ignored",
    "warning",
    "Another daemon asked to stop a job that this daemon owns.",
)
STOP_UNANSWERED = define_event(
    938,
    "job_stop_unanswered",
    "warning",
    "The owner of a job did not answer the call that tells it that the job has ended.",
)

JOB_EXPIRED = define_event(
    942, "job_expired", "info", "A closed batch job was deleted after its retention."
)

STOP_JOB_TIMEOUT_S = 0.5
STOP_JOB_ATTEMPTS = 5
STOP_JOB_RETRY_DELAY_S = 0.1
# Default time for which jobs are retained after their submission and their end.
RETENTION_S = 120.0
# How long the head of an expired job is retained. A disk that was cut off for longer
# brings back a job whose items are older than any of them may get.
EXPIRED_HEAD_RETENTION_S = 600.0


@define(eq=False)
class JobService:
    """Accepts, executes, takes over, reads and ends batch jobs.

    Parameters
    ----------
    store, mirror, session
        The store, the mirror of its live keys and the session of this daemon.
    members, peers
        The cluster members and the client for calls to them.
    dispatcher : Dispatcher
        Assigns items to targets.
    snapshot : callable
        Returns the configuration in force.
    engine_client : EngineClient
        Calls engines and scoring services.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    retention : float
        Seconds for which a job is retained after its submission, and after it was
        finished or ended. An open job is always retained: each item is given up in the
        end, which finishes the job.
    persist : callable or None
        Writes a job to the journal while the store is unreachable.
    has_store_relays : callable
        Returns whether other daemons reported lately that the store serves them.
    recovery_grace_s : float
        Seconds after the store recovers during which a job that is missing from it may
        still be in the journal.
    may_be_outdated : callable
        Returns whether a job may have ended without this daemon knowing by now; no item
        is sent meanwhile.
    is_journaled : callable
        Returns whether disks keep a job that the store may lack.
    """

    store: KeyValueStore
    mirror: Mirror
    session: Session
    members: Members
    peers: Peers
    dispatcher: Dispatcher
    snapshot: Callable[[], Snapshot]
    engine_client: EngineClient
    now: Callable[[], float]
    retention: float = RETENTION_S
    persist: Callable[[Job], Outcome[bool]] | None = None
    has_store_relays: Callable[[], bool] = lambda: False
    recovery_grace_s: float = RECOVERY_GRACE_S
    may_be_outdated: Callable[[], bool] = lambda: False
    is_journaled: Callable[[str], Outcome[bool]] = lambda job_id: Done(False)
    registry: JobRegistry = field(init=False)
    _repository: JobRepository = field(init=False)
    _submitter: JobSubmitter = field(init=False)
    _ownership_manager: OwnershipManager = field(init=False)
    _reader: JobReader = field(init=False)
    _context: JobContext = field(init=False)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Create and connect the components."""
        self._repository = JobRepository(self.store)
        self.registry = JobRegistry(
            self._repository,
            self.mirror,
            self.session,
            self.members,
            self.recovery_grace_s,
            is_journaled=self.is_journaled,
        )
        self._reader = JobReader(self.registry, self.peers)
        self.registry.on_completed = self._reader.cache_results
        self._ownership_manager = OwnershipManager(
            self.registry, self.peers, self._start_job
        )
        self._submitter = JobSubmitter(
            self.registry,
            self.peers,
            lambda job, head, ownership, lease: self._start_job(
                job, head, ownership, lease, [], {}
            ),
            self.persist,
            self.has_store_relays,
        )
        self._context = JobContext(
            repository=self._repository,
            dispatcher=self.dispatcher,
            snapshot=self.snapshot,
            engine_client=self.engine_client,
            now=self.now,
            moves=TextMoves(self.dispatcher),
            reacquire=self._ownership_manager.reacquire,
            may_be_outdated=lambda: self.may_be_outdated(),
        )

    def register(self, server: PeerServer) -> None:
        """Register the handlers of peer calls about jobs."""
        server.register("SubmitJob", self._submitter.serve_submit)
        server.register("ReadJob", self._reader.serve_read)
        server.register("StopJob", self._serve_stop)

    def submit(self, job: Job, deadline: float) -> Outcome[bool]:
        """Accept a job; see ``JobSubmitter.submit``."""
        return self._submitter.submit(job, deadline)

    def read(
        self, job_id: str, workspace: str, after: int, wait: float
    ) -> Outcome[ResultPage | None]:
        """Return results of a job; see ``JobReader.read``."""
        return self._reader.read(job_id, workspace, after, wait)

    def read_item_body(
        self, job_id: str, workspace: str, item_id: str
    ) -> Outcome[bytes | None]:
        """Return the body of an item; see ``JobReader.read_item_body``."""
        return self._reader.read_item_body(job_id, workspace, item_id)

    def end(self, job_id: str, workspace: str) -> Outcome[bool]:
        """End a job; committed results remain readable.

        Returns
        -------
        Done of bool, NotDone or Unknown
            False if the workspace definitely has no such job.
        """
        found = self.registry.find_head(job_id)
        owner: Outcome[Item | None] = Done(self.registry.owner_key(job_id))
        while True:
            if not isinstance(found, Done):
                return found
            if not isinstance(owner, Done):
                return owner
            head = found.value
            if head is None or head.workspace != workspace:
                return Done(False)
            if head.state == ENDED:
                # The daemon that ended it may have had no answer, and told nobody.
                self._stop_everywhere(job_id, head.revision, owner.value)
            if not head.open:
                return Done(True)
            if not head.revision:
                return NotDone("the job is not in the store yet")
            # The owner has to be told, so that it must be the present one.
            ownership = owner.value.revision if owner.value is not None else 0
            outcome = self._repository.end(job_id, head, ownership)
            if not isinstance(outcome, Done):
                return outcome
            if not isinstance(outcome.value, Conflict):
                log(JOB_ENDED, job=job_id)
                self._stop_everywhere(job_id, outcome.value.revision, owner.value)
                return Done(True)
            found = self._repository.read_head(job_id)
            owner = self._repository.read_owner(job_id)

    def run_once(self) -> None:
        """Take over orphaned jobs and delete expired ones."""
        if self._stopping:
            return
        for job_id, head in list(self.registry.heads.items()):
            if self._has_outlived_retention(job_id, head):
                self._expire(job_id, head)
        self._ownership_manager.run_once()

    def hand_over(self) -> None:
        """Release all owned jobs to other daemons before a planned stop."""
        self._stopping = True
        self._submitter.stop()
        self._ownership_manager.stop()
        pool = eventlet.GreenPool()
        for owned in list(self.registry.owned.values()):
            pool.spawn_n(owned.hand_over)
        pool.waitall()

    def required_version(self, model: str) -> int:
        """Return the highest ``oldest_version`` of the open jobs of a model."""
        heads = [h for h in self.registry.heads.values() if h.open and h.model == model]
        return max((head.oldest_version for head in heads), default=0)

    def describe(self) -> list[dict[str, object]]:
        """Return the state of the jobs that this daemon owns, for operators."""
        return [
            {
                "job": job_id,
                "listed": len(owned.committed),
                "total": len(owned.job.items),
                "oldest_version": owned.job.oldest_version,
            }
            for job_id, owned in self.registry.owned.items()
        ]

    def _start_job(
        self,
        job: Job,
        head: JobHead,
        ownership: int,
        lease: int,
        committed: list[JobResult],
        transcripts: dict[str, Transcript],
    ) -> None:
        """Own a job and start generating the items that have no committed result."""
        owned = OwnedJob(job, head, ownership, lease, self._context)
        self.registry.owned[job.id] = owned
        owned.start(committed, transcripts)

    def _stop_everywhere(self, job_id: str, revision: int, owner: Item | None) -> None:
        """Stop an ended job here, and tell its owners without waiting for them."""
        self.registry.record_end(job_id, revision)
        vms = {self.registry.previous_owner(job_id)}
        if owner is not None:
            vms.add(owner_vm(owner))
        for vm in vms - {"", self.registry.vm}:
            eventlet.spawn_n(self._tell_owner, vm, job_id, revision)

    def _tell_owner(self, vm: str, job_id: str, revision: int) -> None:
        """Tell an owner that its job has ended; its mirror may be seconds behind."""
        request = peer_pb2.StopJobRequest(job=job_id, ended_revision=revision)
        for _ in range(STOP_JOB_ATTEMPTS):
            outcome = self.peers.call(vm, "StopJob", request, STOP_JOB_TIMEOUT_S)
            if isinstance(outcome, Done):
                return
            eventlet.sleep(STOP_JOB_RETRY_DELAY_S)
        log(STOP_UNANSWERED, job=job_id, owner=vm, reason=outcome.reason)

    def _serve_stop(self, request: peer_pb2.StopJobRequest) -> peer_pb2.Ack:
        """Stop a job that has ended or that the caller has taken over."""
        if request.ended_revision:
            self.registry.record_end(request.job, request.ended_revision)
        elif request.job in self.registry.owned:
            # The caller may stop waiting, which ends the green thread of its call.
            owned, sender = self.registry.owned[request.job], request.sender.vm
            eventlet.spawn(self._stop_unless_certain, owned, sender).wait()
        return peer_pb2.Ack()

    def _stop_unless_certain(self, owned: OwnedJob, sender: str) -> None:
        """Stop a job, unless the store shows it as owned in the open session.

        The call of a slow daemon can arrive after this one has taken the job over
        again.
        """
        job_id = owned.job.id
        if self._is_certain_owner(owned):
            log(STOP_IGNORED, job=job_id, caller=sender)
        elif self.registry.owned.get(job_id) is owned:
            self.registry.remove_owned(job_id, f"stopped by {sender}")

    def _is_certain_owner(self, owned: OwnedJob) -> bool:
        """Whether the session is open and the store shows its ownership of a job."""
        if not self.session.alive or owned.lease != self.session.lease:
            return False
        owner = self._repository.read_owner(owned.job.id)
        return (
            isinstance(owner, Done)
            and owner.value is not None
            and owner.value.revision == owned.ownership
        )

    def _has_outlived_retention(self, job_id: str, head: JobHead) -> bool:
        """Return whether what is left of a job in the store is to be removed."""
        if head.open or self.now() - head.submitted_at <= self.retention:
            return False
        is_expired = head.state == EXPIRED
        retention_s = EXPIRED_HEAD_RETENTION_S if is_expired else self.retention
        return self.registry.state_age_s(job_id) > retention_s

    def _expire(self, job_id: str, head: JobHead) -> None:
        """Remove what is left of a closed job, if this is its first candidate."""
        if self._ownership_manager.is_first_candidate(
            job_id
        ) and not self.registry.is_in_transition(job_id):
            self.registry.begin_transition(job_id)
            eventlet.spawn_n(self._remove_from_store, job_id, head)

    def _remove_from_store(self, job_id: str, head: JobHead) -> None:
        try:
            if head.state == EXPIRED:
                self._repository.delete(job_id)
                return
            outcome = self._repository.expire(job_id, head)
            if isinstance(outcome, Done) and not isinstance(outcome.value, Conflict):
                log(JOB_EXPIRED, job=job_id, state=head.state)
        finally:
            self.registry.end_transition(job_id)
