"""Ownership of jobs: claimed again after outages, taken over from lost daemons."""

from typing import Protocol

import eventlet
from attrs import define, field

from ..coordination import Conflict
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import JobArchive, JobHead
from .board import JobBoard
from .generation import Transcript
from .model import Job, JobResult
from .owned import OwnedJob

__all__ = ["TakeOvers"]

JOB_TAKEN_OVER = define_event(
    931, "job_taken_over", "info", "A batch job of another daemon goes on here."
)

# Members take over the jobs of a lost one in rendezvous order, this long after each
# other; a claim and the news of it take some milliseconds.
STAGGER_S = 0.15
MOST_STAGGERS = 5
# Time in which an owner whose session ended by an outage claims its jobs again.
DELAY_S = 0.4
# A daemon that lives answers in milliseconds; most former owners are dead.
STOP_TIMEOUT_S = 0.3


class GoOn(Protocol):
    """Goes on with a job from what the store has of it."""

    def __call__(
        self,
        job: Job,
        head: JobHead,
        ownership: int,
        lease: int,
        listed: list[JobResult],
        transcripts: dict[str, Transcript],
    ) -> object:
        """Own a job with its results and unfinished texts."""


@define(eq=False)
class TakeOvers:
    """Finds jobs without an owner and keeps the ownerships of this daemon.

    Parameters
    ----------
    board : JobBoard
        What is known of jobs.
    peers : Peers
        The other daemons.
    go_on : callable
        Goes on with a job from what the store has of it.
    """

    board: JobBoard
    peers: Peers
    go_on: GoOn
    _orphaned_at: dict[str, float] = field(factory=dict)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Claim jobs again when a session is opened."""
        self.board.session.on_open(self._regain_all)

    @property
    def _archive(self) -> JobArchive:
        return self.board.archive

    def stop(self) -> None:
        """Own no further jobs."""
        self._stopping = True

    def turn(self) -> None:
        """Write jobs that only disks keep, and take over jobs without an owner."""
        board = self.board
        if self._stopping or not board.session.alive or not board.mirror.connected:
            return
        self._establish_kept()
        now = boottime()
        for job_id, head in list(board.heads.items()):
            if not self._is_orphan(job_id, head):
                self._orphaned_at.pop(job_id, None)
                continue
            since = self._orphaned_at.setdefault(job_id, now)
            if now - since >= self.patience(job_id):
                board.busy.add(job_id)
                eventlet.spawn_n(self._adopt, job_id)

    def patience(self, job_id: str) -> float:
        """Return how long to leave a job without an owner to other members."""
        if self.board.owner_vm(job_id) == self.board.vm:
            return 0.0
        order = [member.vm for member in self.board.ranked(job_id)]
        vm = self.board.vm
        rank = order.index(vm) if vm in order else MOST_STAGGERS
        return DELAY_S + STAGGER_S * min(rank, MOST_STAGGERS)

    def is_first(self, job_id: str) -> bool:
        """Whether this daemon is the first to care for a job without an owner."""
        return self.patience(job_id) <= DELAY_S

    def regain(self, owned: OwnedJob) -> Outcome[bool]:
        """Own a job again whose ownership ended, or that only disks keep.

        Returns
        -------
        Done of bool, NotDone or Unknown
            Whether the store shows this daemon as the owner with the same results.
        """
        board, job_id = self.board, owned.job.id
        lease = board.session.lease
        if board.owned.get(job_id) is not owned or self._stopping:
            return Done(False)
        if not board.session.alive:
            return NotDone("there is no session")
        found = self._archive.read_head(job_id)
        if not isinstance(found, Done):
            return found
        if found.value is None and owned.provisional:
            return self._create_kept(owned, lease)
        if found.value is None or not found.value.open:
            return Done(False)
        ownership = self._claim_again(job_id, lease)
        if not isinstance(ownership, Done) or not ownership.value:
            return ownership if not isinstance(ownership, Done) else Done(False)
        results = self._archive.read_results(job_id)
        if not isinstance(results, Done):
            return results
        if len(results.value) != len(owned.listed):
            # Another daemon listed results meanwhile, or a call without an answer
            # took effect; the job is loaded again by the next turn.
            return Done(False)
        self._use_ownership(owned, found.value, ownership.value, lease)
        return Done(True)

    def _claim_again(self, job_id: str, lease: int) -> Outcome[int]:
        """Claim a job, or find that an earlier claim took effect; 0 if it is lost."""
        claimed = self._archive.claim(job_id, self.board.holder, lease)
        if not isinstance(claimed, Done):
            return claimed
        if claimed.value is not None:
            return Done(claimed.value)
        owner = self._archive.read_owner(job_id)
        if not isinstance(owner, Done):
            return owner
        if owner.value is None:
            return NotDone("the owner changes")
        return Done(owner.value.revision if owner.value.lease == lease else 0)

    def _create_kept(self, owned: OwnedJob, lease: int) -> Outcome[bool]:
        """Write a job that only disks keep to the store."""
        created = self._archive.create(owned.job, self.board.holder, lease)
        if not isinstance(created, Done):
            return created
        if isinstance(created.value, Conflict):
            return NotDone("a disk's program writes the job, or the session ended")
        head, ownership = created.value
        self._use_ownership(owned, head, ownership, lease)
        return Done(True)

    def _use_ownership(
        self, owned: OwnedJob, head: JobHead, ownership: int, lease: int
    ) -> None:
        owned.head, owned.ownership, owned.lease = head, ownership, lease
        self.board.heads[owned.job.id] = head

    def _establish_kept(self) -> None:
        """Write jobs that only disks keep to the store, now that it answers."""
        for job_id, owned in list(self.board.owned.items()):
            if owned.provisional and not owned.closed and job_id not in self.board.busy:
                self.board.busy.add(job_id)
                eventlet.spawn_n(self._establish, owned)

    def _establish(self, owned: OwnedJob) -> None:
        try:
            regained = self.regain(owned)
            if isinstance(regained, Done) and not regained.value:
                self.board.drop(owned.job.id)
        finally:
            self.board.busy.discard(owned.job.id)

    def _regain_all(self) -> None:
        """Claim the owned jobs again after the session before ended."""
        for owned in list(self.board.owned.values()):
            if owned.closed or owned.provisional:
                continue
            if owned.lease == self.board.session.lease:
                continue
            regained = self.regain(owned)
            if isinstance(regained, Done) and not regained.value:
                owned.close()

    def _is_orphan(self, job_id: str, head: JobHead) -> bool:
        """Whether nobody generates an open job, as far as this daemon knows."""
        if not head.open or job_id in self.board.busy:
            return False
        owned = self.board.owned.get(job_id)
        if owned is not None and not owned.closed:
            return False
        # A former incarnation of this daemon is gone for certain.
        return self.board.owner_vm(job_id) in ("", self.board.vm)

    def _adopt(self, job_id: str) -> None:
        """Claim a job without an owner and go on with it."""
        try:
            lease = self.board.session.lease
            owner = self.board.owner_key(job_id)
            if owner is not None and owner.lease == lease:
                ownership: Outcome[int | None] = Done(owner.revision)
            else:
                replaced = owner.revision if owner is not None else 0
                ownership = self._archive.claim(
                    job_id, self.board.holder, lease, replaced
                )
            if isinstance(ownership, Done) and ownership.value is not None:
                self._load(job_id, ownership.value, lease)
        finally:
            self.board.busy.discard(job_id)
            self._orphaned_at.pop(job_id, None)

    def _stop_former(self, job_id: str) -> None:
        """Have the owner before stop, if it lives without its session.

        Otherwise texts would go on at a second engine while the first still works.
        """
        vm = self.board.former_owner(job_id)
        if vm and vm != self.board.vm:
            request = peer_pb2.StopJobRequest(job=job_id)
            self.peers.call(vm, "StopJob", request, STOP_TIMEOUT_S)

    def _load(self, job_id: str, ownership: int, lease: int) -> None:
        """Go on with a claimed job; the next turn tries again if the store fails."""
        found = self._archive.read_head(job_id)
        job = self._archive.read_job(job_id)
        results = self._archive.read_results(job_id)
        transcripts = self._archive.read_transcripts(job_id)
        if not (
            isinstance(found, Done)
            and isinstance(job, Done)
            and isinstance(results, Done)
            and isinstance(transcripts, Done)
        ):
            return
        head = found.value
        if head is None or not head.open or self._stopping:
            return
        self._stop_former(job_id)
        if job_id in self.board.owned and not self.board.owned[job_id].closed:
            return
        log(JOB_TAKEN_OVER, job=job_id, listed=len(results.value))
        replaced = self.board.owned.pop(job_id, None)
        if replaced is not None:
            replaced.close()
        self.go_on(job.value, head, ownership, lease, results.value, transcripts.value)
