"""Job ownership: reacquisition after outages and takeover from lost daemons."""

from typing import Protocol

import eventlet
from attrs import define, field

from ..coordination import Conflict
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .generation import Transcript
from .model import Job, JobResult
from .owned import OwnedJob
from .registry import JobRegistry
from .repository import JobHead, JobRepository

__all__ = ["OwnershipManager"]

JOB_TAKEN_OVER = define_event(
    931, "job_taken_over", "info", "Took over a batch job from another daemon."
)

# Delay between successive members, in rendezvous order, that try to claim the jobs of a
# lost member. A claim and its propagation to the mirrors take a few milliseconds. All
# members have different delays, so that a large fleet does not claim a job at once.
CLAIM_STAGGER_S = 0.15
# Lets an owner whose session expired in an outage reclaim its jobs first.
TAKEOVER_DELAY_S = 0.4
# A live daemon answers within milliseconds, and most previous owners are dead.
STOP_JOB_TIMEOUT_S = 0.3


class ResumeJob(Protocol):
    """Callback that resumes a job from its state in the store."""

    def __call__(
        self,
        job: Job,
        head: JobHead,
        ownership: int,
        lease: int,
        committed: list[JobResult],
        transcripts: dict[str, Transcript],
    ) -> object:
        """Start owning a job with its committed results and partial transcripts."""


@define(eq=False)
class OwnershipManager:
    """Claims orphaned jobs and maintains the ownerships of this daemon.

    Parameters
    ----------
    registry : JobRegistry
        Known jobs and their owners.
    peers : Peers
        Client for calls to the other daemons.
    resume_job : callable
        Resumes a job from its state in the store.
    """

    registry: JobRegistry
    peers: Peers
    resume_job: ResumeJob
    _orphaned_since: dict[str, float] = field(factory=dict)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Reacquire owned jobs in each new session, and keep it open for them."""
        self.registry.session.on_open(self._reacquire_all)
        self.registry.session.hold_while(
            lambda: any(not job.is_closed for job in self.registry.owned.values())
        )

    @property
    def _repository(self) -> JobRepository:
        return self.registry.repository

    def stop(self) -> None:
        """Stop acquiring jobs."""
        self._stopping = True

    def run_once(self) -> None:
        """Write provisional jobs to the store and take over orphaned jobs.

        Takeovers wait until this daemon can serve.
        """
        registry = self.registry
        if self._stopping or not registry.mirror.connected:
            return
        self._persist_provisional_jobs()
        if not registry.can_serve:
            return
        now = boottime()
        for job_id, head in list(registry.heads.items()):
            if not self._is_orphan(job_id, head):
                self._orphaned_since.pop(job_id, None)
                continue
            orphaned_since = self._orphaned_since.setdefault(job_id, now)
            is_due = now - orphaned_since >= self.takeover_delay_s(job_id)
            if is_due and registry.session.request():
                registry.begin_transition(job_id)
                eventlet.spawn_n(self._take_over, job_id)

    def takeover_delay_s(self, job_id: str) -> float:
        """Return how long a job must be orphaned before this daemon claims it."""
        if self.registry.owner_vm(job_id) == self.registry.vm:
            return 0.0
        candidates = [member.vm for member in self.registry.ranked_members(job_id)]
        vm = self.registry.vm
        rank = candidates.index(vm) if vm in candidates else len(candidates)
        return TAKEOVER_DELAY_S + CLAIM_STAGGER_S * rank

    def is_first_candidate(self, job_id: str) -> bool:
        """Whether this daemon is first in line to claim an orphaned job."""
        return self.takeover_delay_s(job_id) <= TAKEOVER_DELAY_S

    def reacquire(self, owned: OwnedJob) -> Outcome[bool]:
        """Reclaim a job after its ownership ended, or create a provisional one.

        Returns
        -------
        Done of bool, NotDone or Unknown
            Whether the store has this daemon as the owner and the same committed
            results.
        """
        session, ownership = self.registry.session, owned.ownership
        with owned.ownership_lock:
            if owned.ownership != ownership and owned.lease == session.lease:
                # Another green thread has reacquired the job in this session.
                return Done(True)
            return self._reacquire_locked(owned)

    def _reacquire_locked(self, owned: OwnedJob) -> Outcome[bool]:
        """Reacquire a job whose ``ownership_lock`` is held."""
        registry, job_id = self.registry, owned.job.id
        lease = registry.session.lease
        if registry.owned.get(job_id) is not owned or self._stopping:
            return Done(False)
        if not registry.session.alive:
            return NotDone("no open session with the store")
        head_outcome = self._repository.read_head(job_id)
        if not isinstance(head_outcome, Done):
            return head_outcome
        if head_outcome.value is None and owned.is_provisional:
            return self._create_in_store(owned, lease)
        if head_outcome.value is None or not head_outcome.value.open:
            return Done(False)
        ownership = self._reclaim(job_id, lease)
        if not isinstance(ownership, Done) or not ownership.value:
            return ownership if not isinstance(ownership, Done) else Done(False)
        results = self._repository.read_results(job_id)
        if not isinstance(results, Done):
            return results
        if len(results.value) != len(owned.committed):
            # Another daemon committed results in the meantime, or an unanswered commit
            # took effect; the next run reloads the job from the store.
            return Done(False)
        self._set_ownership(owned, head_outcome.value, ownership.value, lease)
        return Done(True)

    def _reclaim(self, job_id: str, lease: int) -> Outcome[int]:
        """Claim a job or detect that an earlier claim took effect; 0 if it is lost."""
        claimed = self._repository.claim(job_id, self.registry.owner_id, lease)
        if not isinstance(claimed, Done):
            return claimed
        if claimed.value is not None:
            return Done(claimed.value)
        owner = self._repository.read_owner(job_id)
        if not isinstance(owner, Done):
            return owner
        if owner.value is None:
            return NotDone("the owner key is changing")
        return Done(owner.value.revision if owner.value.lease == lease else 0)

    def _create_in_store(self, owned: OwnedJob, lease: int) -> Outcome[bool]:
        """Create a provisional job in the store."""
        created = self._repository.create(owned.job, self.registry.owner_id, lease)
        if not isinstance(created, Done):
            return created
        if isinstance(created.value, Conflict):
            return NotDone("the job already exists in the store, or the session ended")
        head, ownership = created.value
        self._set_ownership(owned, head, ownership, lease)
        return Done(True)

    def _set_ownership(
        self, owned: OwnedJob, head: JobHead, ownership: int, lease: int
    ) -> None:
        owned.head, owned.ownership, owned.lease = head, ownership, lease
        self.registry.record_head(owned.job.id, head)

    def _persist_provisional_jobs(self) -> None:
        """Create provisional jobs in the store now that it is reachable."""
        for job_id, owned in list(self.registry.owned.items()):
            if (
                owned.is_provisional
                and not owned.is_closed
                and not self.registry.is_in_transition(job_id)
            ):
                self.registry.begin_transition(job_id)
                eventlet.spawn_n(self._persist_provisional_job, owned)

    def _persist_provisional_job(self, owned: OwnedJob) -> None:
        try:
            reacquired = self.reacquire(owned)
            is_lost = isinstance(reacquired, Done) and not reacquired.value
            if is_lost and self.registry.owned.get(owned.job.id) is owned:
                self.registry.remove_owned(owned.job.id, "not reacquired")
        finally:
            self.registry.end_transition(owned.job.id)

    def _reacquire_all(self) -> None:
        """Reclaim the jobs that were owned under a previous session."""
        for owned in list(self.registry.owned.values()):
            if owned.is_closed or owned.is_provisional:
                continue
            if owned.lease == self.registry.session.lease:
                continue
            reacquired = self.reacquire(owned)
            if isinstance(reacquired, Done) and not reacquired.value:
                owned.close("not reacquired")

    def _is_orphan(self, job_id: str, head: JobHead) -> bool:
        """Whether an open job has no live owner as far as this daemon knows."""
        if not head.open or self.registry.is_in_transition(job_id):
            return False
        owned = self.registry.owned.get(job_id)
        if owned is not None and not owned.is_closed:
            return False
        # A previous incarnation of this daemon cannot be running any more.
        return self.registry.owner_vm(job_id) in ("", self.registry.vm)

    def _take_over(self, job_id: str) -> None:
        """Claim an orphaned job and resume it."""
        try:
            lease = self.registry.session.lease
            owner = self.registry.owner_key(job_id)
            if owner is not None and owner.lease == lease:
                ownership: Outcome[int | None] = Done(owner.revision)
            else:
                replaced = owner.revision if owner is not None else 0
                ownership = self._repository.claim(
                    job_id, self.registry.owner_id, lease, replaced
                )
            if isinstance(ownership, Done) and ownership.value is not None:
                self._load_and_resume(job_id, ownership.value, lease)
        finally:
            self.registry.end_transition(job_id)
            self._orphaned_since.pop(job_id, None)

    def _stop_previous_owner(self, job_id: str) -> None:
        """Ask the previous owner to stop, in case it lives on without its session.

        Otherwise two engines would generate the same items at once.
        """
        vm = self.registry.previous_owner(job_id)
        if vm and vm != self.registry.vm:
            request = peer_pb2.StopJobRequest(job=job_id)
            self.peers.call(vm, "StopJob", request, STOP_JOB_TIMEOUT_S)

    def _load_and_resume(self, job_id: str, ownership: int, lease: int) -> None:
        """Load and resume a claimed job; the next run retries if the store fails."""
        head_outcome = self._repository.read_head(job_id)
        job = self._repository.read_job(job_id)
        results = self._repository.read_results(job_id)
        transcripts = self._repository.read_transcripts(job_id)
        if not (
            isinstance(head_outcome, Done)
            and isinstance(job, Done)
            and isinstance(results, Done)
            and isinstance(transcripts, Done)
        ):
            return
        head = head_outcome.value
        if head is None or not head.open or self._stopping:
            return
        self._stop_previous_owner(job_id)
        if job_id in self.registry.owned and not self.registry.owned[job_id].is_closed:
            return
        # The job may have ended, or been deleted, since its head was read.
        if job_id not in self.registry.heads or not self.registry.heads[job_id].open:
            return
        log(
            JOB_TAKEN_OVER,
            job=job_id,
            listed=len(results.value),
            ownership=ownership,
            lease=lease,
        )
        replaced = self.registry.owned.pop(job_id, None)
        if replaced is not None:
            replaced.close("replaced")
        self.resume_job(
            job.value, head, ownership, lease, results.value, transcripts.value
        )
