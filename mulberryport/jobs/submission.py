"""Submission of jobs; a job id is accepted at most once in the fleet."""

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
from .codec import decode_job, encode_job
from .model import Job
from .registry import JobRegistry
from .repository import JobHead, RecordTooLargeError, check_record

__all__ = ["StartJob", "JobSubmitter"]

JOB_ACCEPTED = define_event(930, "job_accepted", "info", "A batch job was accepted.")
JOB_NOT_ACCEPTED = define_event(
    934, "job_not_accepted", "warning", "A batch job could not be written to the store."
)
JOB_KEPT_ON_DISKS = define_event(
    935,
    "job_kept_on_disks",
    "info",
    "A job was accepted into the journal while the store is unreachable.",
)
JOB_DECLINED = define_event(
    937,
    "job_declined",
    "info",
    "A forwarded job was left to its sender, because this daemon cannot serve yet.",
)

SUBMIT_RETRY_DELAY_S = 0.2
# How long an attempt waits for the session; the store grants one within milliseconds.
SESSION_WAIT_S = 0.3
# How long the preferred owner may wait for the store, and the extra time allowed for
# its reply. After that the daemon that received the job submits it itself.
FORWARD_STORE_WAIT_S = 0.4
FORWARD_TIMEOUT_MARGIN_S = 0.3
# How long a job waits for a store that this daemon lost, but others may have, before it
# goes into the journal.
RELAYED_CREATION_TIMEOUT_S = 0.6


class StartJob(Protocol):
    """Callback that starts executing a new job."""

    def __call__(self, job: Job, head: JobHead, ownership: int, lease: int) -> object:
        """Start a job; revision and lease are 0 if it is only in the journal."""


@define(eq=False)
class JobSubmitter:
    """Accepts jobs locally or forwards them to their preferred owner.

    Parameters
    ----------
    registry : JobRegistry
        Known jobs and their owners.
    peers : Peers
        Client for calls to the other daemons.
    start_job : callable
        Starts executing a job.
    persist : callable or None
        Writes a job to the journal while the store is unreachable.
    has_store_relays : callable
        Returns whether other daemons reported lately that the store serves them.
    """

    registry: JobRegistry
    peers: Peers
    start_job: StartJob
    persist: Callable[[Job], Outcome[bool]] | None = None
    has_store_relays: Callable[[], bool] = lambda: False
    _stopping: bool = False

    def stop(self) -> None:
        """Stop acquiring jobs; jobs accepted from now on are left to other daemons."""
        self._stopping = True

    def submit(self, job: Job, deadline: float) -> Outcome[bool]:
        """Accept a job, or detect that it was accepted before.

        Parameters
        ----------
        job : Job
            The job.
        deadline : float
            Boot time until which to wait for the store.

        Returns
        -------
        Done of bool, NotDone or Unknown
            Whether the job is accepted; false if its id is taken by another
            workspace. ``NotDone`` if no part of it has run or will run.

        Raises
        ------
        RecordTooLargeError
            The store cannot hold the job; nothing of it was sent anywhere.
        """
        content = encode_job(job)
        check_record(job.id, len(content))
        if self._is_owned(job):
            return Done(True)
        forwarded = self._forward_to_preferred_owner(job, content)
        # A large job takes much memory in each form.
        del content
        if isinstance(forwarded, Done):
            return forwarded
        uncertain = forwarded if isinstance(forwarded, Unknown) else None
        return self._submit_locally(job, deadline, uncertain)

    def serve_submit(
        self, request: peer_pb2.SubmitJobRequest
    ) -> peer_pb2.SubmitJobReply:
        """Handle a job forwarded by another daemon.

        A daemon that cannot serve yet declines at once, so that the sender keeps it.
        """
        job = decode_job(request.job)
        try:
            check_record(job.id, len(request.job))
        except RecordTooLargeError as error:
            log(JOB_NOT_ACCEPTED, job=job.id[:80], reason=str(error))
            return peer_pb2.SubmitJobReply(result=peer_pb2.SubmitJobReply.NOT_ACCEPTED)
        if not self.registry.can_serve and not self._is_owned(job):
            log(JOB_DECLINED, job=job.id, sender=request.sender.vm)
            return peer_pb2.SubmitJobReply(result=peer_pb2.SubmitJobReply.NOT_ACCEPTED)
        outcome = self._submit_locally(job, boottime() + request.patience, None)
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

    def _forward_to_preferred_owner(self, job: Job, content: bytes) -> Outcome[bool]:
        """Forward a job to its preferred owner if that is another daemon.

        All jobs of a workspace's route share a preferred owner, which can reuse its
        engine connections and has measured the latency of these engines.
        """
        vm = self.registry.preferred_owner(f"{job.workspace}/{job.route}")
        if vm in ("", self.registry.vm):
            return NotDone("this daemon is the preferred owner, or none can serve")
        request = peer_pb2.SubmitJobRequest(job=content, patience=FORWARD_STORE_WAIT_S)
        timeout = FORWARD_STORE_WAIT_S + FORWARD_TIMEOUT_MARGIN_S
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

    def _submit_locally(
        self, job: Job, deadline: float, uncertain: Unknown | None
    ) -> Outcome[bool]:
        """Write a job to the store or the journal, owned by this daemon.

        Parameters
        ----------
        uncertain : Unknown or None
            Outcome of an earlier attempt that may have been accepted.
        """
        while True:
            outcome = self._try_submit_locally(job)
            if isinstance(outcome, Done):
                return outcome
            if isinstance(outcome, Unknown):
                uncertain = outcome
            if boottime() + SUBMIT_RETRY_DELAY_S >= deadline:
                log(JOB_NOT_ACCEPTED, job=job.id, reason=outcome.reason)
                return uncertain or outcome
            eventlet.sleep(SUBMIT_RETRY_DELAY_S)

    def _try_submit_locally(self, job: Job) -> Outcome[bool]:
        if self._is_owned(job):
            return Done(True)
        uncertain: Unknown | None = None
        if not self.registry.mirror.connected:
            if self.has_store_relays():
                # Daemons that the store serves know nothing of a job in the journal.
                relayed = self._create_through_relays(job)
                if isinstance(relayed, Done):
                    return relayed
                uncertain = relayed if isinstance(relayed, Unknown) else None
            journaled = self._accept_into_journal(job)
            if isinstance(journaled, Done):
                return journaled
            uncertain = journaled if isinstance(journaled, Unknown) else uncertain
        outcome = self._create_in_store(job)
        if isinstance(outcome, NotDone) and uncertain is not None:
            return uncertain
        return outcome

    def _create_through_relays(self, job: Job) -> Outcome[bool]:
        """Create a job in the store, if other daemons can still reach it."""
        with eventlet.Timeout(RELAYED_CREATION_TIMEOUT_S, False):
            return self._create_in_store(job)
        return Unknown("the store did not answer in time")

    def _create_in_store(self, job: Job) -> Outcome[bool]:
        """Create a job in the store."""
        # A stopping daemon creates the job without an owner, for others to claim.
        session = self.registry.session
        if not self._stopping and not session.request(SESSION_WAIT_S):
            return NotDone("there is no session in the store")
        lease = 0 if self._stopping else session.lease
        # The mirror may show the job before the reply to the commit arrives.
        self.registry.begin_transition(job.id)
        try:
            created = self.registry.repository.create(
                job, self.registry.owner_id, lease
            )
        finally:
            self.registry.end_transition(job.id)
        if not isinstance(created, Done):
            return created
        if isinstance(created.value, Conflict):
            if created.value.lease_ended:
                return NotDone("the session ended")
            return self._check_existing_job(job)
        head, ownership = created.value
        log(JOB_ACCEPTED, job=job.id, items=len(job.items), workspace=job.workspace)
        is_open = self.registry.record_head(job.id, head).open
        if lease and is_open and job.id not in self.registry.owned:
            self.start_job(job, head, ownership, lease)
        return Done(True)

    def _check_existing_job(self, job: Job) -> Outcome[bool]:
        """Return whether the existing job belongs to the same workspace."""
        found = self.registry.repository.read_head(job.id)
        if not isinstance(found, Done):
            return Unknown(found.reason)
        if found.value is None:
            return Unknown(f"job {job.id} was deleted meanwhile")
        return Done(found.value.workspace == job.workspace)

    def _accept_into_journal(self, job: Job) -> Outcome[bool]:
        """Accept a job into the journal while the store is unreachable.

        This daemon starts generating, but commits no results before it owns the job in
        the store.
        """
        if self.persist is None or self._stopping:
            return NotDone("no journal is configured, or the daemon is stopping")
        journaled = self.persist(job)
        if isinstance(journaled, Done) and not self._is_owned(job):
            log(JOB_KEPT_ON_DISKS, job=job.id, items=len(job.items))
            head = JobHead(
                workspace=job.workspace,
                route=job.route,
                total=len(job.items),
                submitted_at=job.submitted_at,
            )
            self.start_job(job, head, 0, 0)
        return journaled

    def _is_owned(self, job: Job) -> bool:
        """Whether this daemon already owns the job for the same workspace."""
        owned = self.registry.owned.get(job.id)
        return owned is not None and owned.job.workspace == job.workspace
