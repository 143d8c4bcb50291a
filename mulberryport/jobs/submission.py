"""Acceptance of jobs, once in the whole fleet."""

from collections.abc import Callable
from typing import Protocol

import eventlet
from attrs import define

from ..coordination import Conflict
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..peering import Peers, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import JobHead
from .board import JobBoard
from .codec import decode_job, encode_job
from .model import Job

__all__ = ["Own", "Submissions"]

JOB_ACCEPTED = define_event(930, "job_accepted", "info", "A batch job was accepted.")
JOB_NOT_ACCEPTED = define_event(
    934, "job_not_accepted", "warning", "A batch job could not be kept in the store."
)
JOB_KEPT_ON_DISKS = define_event(
    935, "job_kept_on_disks", "info", "A job was accepted while the store is away."
)

SUBMIT_RETRY_S = 0.2
# How long the daemon that should own a job may wait for the store, and the time beyond
# that for its answer; after that the job is kept by the daemon that has it.
PASS_ON_PATIENCE_S = 0.4
PASS_ON_EXTRA_S = 0.3


class Own(Protocol):
    """Begins to generate a new job."""

    def __call__(self, job: Job, head: JobHead, ownership: int, lease: int) -> object:
        """Own a job under a revision and a session; 0 for a job on disks only."""


@define(eq=False)
class Submissions:
    """Accepts jobs for this daemon, or passes them on.

    Parameters
    ----------
    board : JobBoard
        What is known of jobs.
    peers : Peers
        The other daemons.
    own : callable
        Begins to generate a job.
    keep : callable or None
        Keeps a job on disks while the store is away.
    """

    board: JobBoard
    peers: Peers
    own: Own
    keep: Callable[[Job], Outcome[bool]] | None = None
    _stopping: bool = False

    def stop(self) -> None:
        """Own no further jobs; those that are accepted are left to others."""
        self._stopping = True

    def submit(self, job: Job, deadline: float) -> Outcome[bool]:
        """Accept a job, or find that it was accepted before.

        Parameters
        ----------
        job : Job
            The job.
        deadline : float
            Boot time until which the store may be waited for.

        Returns
        -------
        Done of bool, NotDone or Unknown
            Whether the job is accepted; false if the id is that of another
            workspace. ``NotDone`` if no part of it runs or will run.
        """
        if self._is_known(job):
            return Done(True)
        passed_on = self._submit_to_preferred(job)
        if isinstance(passed_on, Done):
            return passed_on
        uncertain = passed_on if isinstance(passed_on, Unknown) else None
        return self._submit_here(job, deadline, uncertain)

    def serve_submit(
        self, request: peer_pb2.SubmitJobRequest
    ) -> peer_pb2.SubmitJobReply:
        """Accept a job that another daemon passed on."""
        job = decode_job(request.job)
        outcome = self._submit_here(job, boottime() + request.patience, None)
        result = peer_pb2.SubmitJobReply.UNKNOWN
        if isinstance(outcome, NotDone):
            result = peer_pb2.SubmitJobReply.NOT_ACCEPTED
        elif isinstance(outcome, Done):
            result = (
                peer_pb2.SubmitJobReply.ACCEPTED
                if outcome.value
                else peer_pb2.SubmitJobReply.OTHER_WORKSPACE
            )
        return peer_pb2.SubmitJobReply(result=result)

    def _submit_to_preferred(self, job: Job) -> Outcome[bool]:
        """Pass a job on to the daemon that should own it, if that is another one.

        All jobs of a workspace's route have the same owner, so that its connections
        to engines are used again and it knows their pace.
        """
        preferred = self.board.ranked(f"{job.workspace}/{job.route}")[:1]
        if not preferred or preferred[0].vm == self.board.vm:
            return NotDone("this daemon should own the job")
        vm = preferred[0].vm
        request = peer_pb2.SubmitJobRequest(
            job=encode_job(job), patience=PASS_ON_PATIENCE_S
        )
        timeout = PASS_ON_PATIENCE_S + PASS_ON_EXTRA_S
        outcome = self.peers.call(vm, "SubmitJob", request, timeout)
        if not isinstance(outcome, Done):
            return outcome
        match outcome.value.result:
            case peer_pb2.SubmitJobReply.ACCEPTED:
                return Done(True)
            case peer_pb2.SubmitJobReply.OTHER_WORKSPACE:
                return Done(False)
            case peer_pb2.SubmitJobReply.NOT_ACCEPTED:
                return NotDone(f"{vm} did not accept the job")
        return Unknown(f"{vm} may have accepted the job")

    def _submit_here(
        self, job: Job, deadline: float, uncertain: Unknown | None
    ) -> Outcome[bool]:
        """Keep a job in the store, owned by this daemon, or on disks meanwhile.

        Parameters
        ----------
        uncertain : Unknown or None
            An attempt before that may have been accepted.
        """
        while True:
            outcome = self._try_here(job)
            if isinstance(outcome, Done):
                return outcome
            if isinstance(outcome, Unknown):
                uncertain = outcome
            if boottime() + SUBMIT_RETRY_S >= deadline:
                log(JOB_NOT_ACCEPTED, job=job.id, reason=outcome.reason)
                return uncertain or outcome
            eventlet.sleep(SUBMIT_RETRY_S)

    def _try_here(self, job: Job) -> Outcome[bool]:
        if self._is_known(job):
            return Done(True)
        uncertain: Unknown | None = None
        if not self.board.mirror.connected:
            kept = self._keep_on_disks(job)
            if isinstance(kept, Done):
                return kept
            uncertain = kept if isinstance(kept, Unknown) else None
        outcome = self._create(job)
        if isinstance(outcome, NotDone) and uncertain is not None:
            return uncertain
        return outcome

    def _create(self, job: Job) -> Outcome[bool]:
        """Write a job to the store."""
        # A daemon that stops leaves the job to the others.
        lease = 0 if self._stopping else self.board.session.lease
        if not lease and not self._stopping:
            return NotDone("there is no session in the store")
        # The mirror may show the job before the answer arrives.
        self.board.busy.add(job.id)
        try:
            created = self.board.archive.create(job, self.board.holder, lease)
        finally:
            self.board.busy.discard(job.id)
        if not isinstance(created, Done):
            return created
        if isinstance(created.value, Conflict):
            if created.value.lease_ended:
                return NotDone("the session ended")
            return self._accepted_before(job)
        head, ownership = created.value
        log(JOB_ACCEPTED, job=job.id, items=len(job.items), workspace=job.workspace)
        self.board.heads[job.id] = head
        if lease and job.id not in self.board.owned:
            self.own(job, head, ownership, lease)
        return Done(True)

    def _accepted_before(self, job: Job) -> Outcome[bool]:
        """Return whether a job that exists belongs to the same workspace."""
        found = self.board.archive.read_head(job.id)
        if not isinstance(found, Done):
            return Unknown(found.reason)
        head = found.value
        return Done(head is not None and head.workspace == job.workspace)

    def _keep_on_disks(self, job: Job) -> Outcome[bool]:
        """Accept a job that the store cannot take now.

        This daemon begins to generate, but lists nothing before it owns the job in
        the store.
        """
        if self.keep is None or self._stopping:
            return NotDone("no disks keep jobs")
        kept = self.keep(job)
        if isinstance(kept, Done) and not self._is_known(job):
            log(JOB_KEPT_ON_DISKS, job=job.id, items=len(job.items))
            head = JobHead(
                workspace=job.workspace,
                route=job.route,
                total=len(job.items),
                submitted_at=job.submitted_at,
            )
            self.own(job, head, 0, 0)
        return kept

    def _is_known(self, job: Job) -> bool:
        """Whether a job was accepted here before."""
        owned = self.board.owned.get(job.id)
        return owned is not None and owned.job.workspace == job.workspace
