"""Jobs of the fleet as one daemon serves them.

A job belongs to the daemon that accepted it until that daemon is lost or stops; then
another one claims it in the store, in rendezvous order of the members. Readers may ask
any daemon: it answers from its memory if it owns the job, asks the owner, or reads
what the store has.
"""

from collections import OrderedDict
from collections.abc import Callable

import eventlet
from attrs import define, field, frozen

from ..coordination import (
    Change,
    Conflict,
    Item,
    KeyValueStore,
    Mirror,
    Session,
)
from ..membership import Members, rendezvous_order
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..tables import Tables
from ..targets import Dispatcher
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import (
    HEAD_PREFIX,
    OWNER_PREFIX,
    JobArchive,
    JobHead,
    decode_head,
)
from .codec import decode_job, encode_job, encode_result
from .generation import Ports
from .model import Job
from .owned import Means, OwnedJob
from .pace import PaceBoard

__all__ = ["JobService", "Page"]

JOB_ACCEPTED = define_event(930, "job_accepted", "info", "A batch job was accepted.")
JOB_TAKEN_OVER = define_event(
    931, "job_taken_over", "info", "A batch job of another daemon goes on here."
)
JOB_ENDED = define_event(932, "job_ended", "info", "A batch job was ended.")
JOB_UNREADABLE = define_event(
    933, "job_unreadable", "error", "The store's record of a batch job is malformed."
)
JOB_KEPT_ON_DISKS = define_event(
    935, "job_kept_on_disks", "info", "A job was accepted while the store is away."
)
JOB_NOT_ACCEPTED = define_event(
    934, "job_not_accepted", "warning", "A batch job could not be kept in the store."
)

# Members take over the jobs of a lost one in rendezvous order, this long after each
# other; a claim and the news of it take some milliseconds.
TAKE_OVER_STAGGER_S = 0.15
# Time in which an owner whose session ended by an outage claims its jobs again.
TAKE_OVER_DELAY_S = 0.4
MOST_STAGGERS = 5
SUBMIT_RETRY_S = 0.2
# Jobs on disks are in the store this long after it answers again.
SETTLE_S = 3.0
# How long the daemon that should own a job may wait for the store, and the time beyond
# that for its answer; after that the job is kept by the daemon that has it.
PASS_ON_PATIENCE_S = 0.4
PASS_ON_EXTRA_S = 0.3
# Time beyond the wait for an owner to answer a read.
READ_EXTRA_S = 0.5
MAX_WAIT_S = 5.0
RESULT_BYTES = 900_000
# Results of closed jobs that are kept in memory for readers.
CLOSED_BYTES = 4_000_000
# Jobs are kept for this time after their submission, or as the users ask.
RETENTION_S = 120.0


@frozen
class Page:
    """Some results of a job.

    Parameters
    ----------
    total : int
        Number of the job's items.
    results : tuple of bytes
        Encoded results from the wanted position on.
    """

    total: int
    results: tuple[bytes, ...]


@define(eq=False)
class JobService:
    """Accepts, owns, takes over and reads batch jobs.

    Parameters
    ----------
    store, mirror, session
        The store, the mirror of its live keys and the session of this daemon.
    members, peers
        The other daemons.
    dispatcher : Dispatcher
        Gives items to targets.
    tables : callable
        Returns the tables in force.
    ports : Ports
        How engines and scoring services are called.
    now : callable
        Returns seconds since 1970 by the fleet's clock.
    retention : float
        Seconds for which a job is kept after its submission.
    keep : callable or None
        Keeps a job on disks while the store is away.
    settle : float
        Seconds after the store answers again in which a job that it does not have may
        still be on disks.
    """

    store: KeyValueStore
    mirror: Mirror
    session: Session
    members: Members
    peers: Peers
    dispatcher: Dispatcher
    tables: Callable[[], Tables]
    ports: Ports
    now: Callable[[], float]
    retention: float = RETENTION_S
    keep: Callable[[Job], Outcome[bool]] | None = None
    settle: float = SETTLE_S
    archive: JobArchive = field(init=False)
    _owned: dict[str, OwnedJob] = field(factory=dict)
    _heads: dict[str, JobHead] = field(factory=dict)
    _orphaned_at: dict[str, float] = field(factory=dict)
    _adopting: set[str] = field(factory=set)
    _closed: OrderedDict[str, list[bytes]] = field(factory=OrderedDict)
    _closed_bytes: int = 0
    _paces: PaceBoard = field(factory=PaceBoard)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Follow the heads and owners of all jobs."""
        self.archive = JobArchive(self.store)
        self.mirror.subscribe(self._on_change)
        self.session.on_open(self._regain_all)

    def register(self, server: PeerServer) -> None:
        """Serve the peer calls about jobs."""
        server.register("SubmitJob", self._serve_submit)
        server.register("ReadJob", self._serve_read)
        server.register("StopJob", self._serve_stop)

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
        uncertain: Unknown | None = None
        passed_on = self._submit_to_preferred(job)
        if isinstance(passed_on, Done):
            return passed_on
        if isinstance(passed_on, Unknown):
            uncertain = passed_on
        return self._submit_here(job, deadline, uncertain)

    def _submit_here(
        self, job: Job, deadline: float, uncertain: Unknown | None
    ) -> Outcome[bool]:
        """Keep a job in the store, owned by this daemon, or on disks meanwhile."""
        while True:
            if self._is_known(job):
                return Done(True)
            if not self.mirror.following:
                kept = self._keep_on_disks(job)
                if isinstance(kept, Done):
                    return kept
                if isinstance(kept, Unknown):
                    uncertain = kept
            # A daemon that stops leaves the job to the others.
            lease = 0 if self._stopping else self.session.lease
            outcome: Outcome[object] = NotDone("there is no session in the store")
            if lease or self._stopping:
                outcome = self._create(job, lease)
            if isinstance(outcome, Done):
                if isinstance(outcome.value, tuple):
                    head, ownership = outcome.value
                    self._accept(job, head, ownership, lease)
                    return Done(True)
                if not outcome.value.lease_ended:
                    return self._accepted_before(job)
                outcome = NotDone("the session ended")
            elif isinstance(outcome, Unknown):
                uncertain = outcome
            if boottime() + SUBMIT_RETRY_S >= deadline:
                break
            eventlet.sleep(SUBMIT_RETRY_S)
        log(JOB_NOT_ACCEPTED, job=job.id, reason=outcome.reason)
        return uncertain or outcome

    def read(self, job_id: str, workspace: str, after: int, wait: float) -> Outcome:
        """Return results of a job from a position on.

        Parameters
        ----------
        after : int
            Position of the first result wanted.
        wait : float
            Seconds to wait for it.

        Returns
        -------
        Done of Page, Done of None, NotDone or Unknown
            ``Done(None)`` if the workspace certainly has no such job.
        """
        deadline = boottime() + wait
        found = self._find_head(job_id)
        if not isinstance(found, Done):
            return found
        head = found.value
        if head is None or head.workspace != workspace:
            return Done(None)
        while True:
            page = self._read_once(job_id, head, after, deadline)
            left = deadline - boottime()
            if not isinstance(page, Done) or page.value.results or left <= 0:
                return page
            if after >= head.total:
                return page
            head = self._heads.get(job_id, head)
            if not head.open:
                return self._read_closed(job_id, head, after)
            eventlet.sleep(min(left, SUBMIT_RETRY_S))

    def item_body(self, job_id: str, workspace: str, item_id: str) -> Outcome:
        """Return the body of an item.

        Returns
        -------
        Done of bytes, Done of None, NotDone or Unknown
            ``Done(None)`` if there certainly is no such item.
        """
        found = self._find_head(job_id)
        if not isinstance(found, Done):
            return found
        if found.value is None or found.value.workspace != workspace:
            return Done(None)
        owned = self._owned.get(job_id)
        job: Outcome[Job] = (
            Done(owned.job) if owned is not None else self.archive.read_job(job_id)
        )
        if not isinstance(job, Done):
            return job
        item = job.value.item(item_id)
        return Done(item.body if item is not None else None)

    def end(self, job_id: str, workspace: str) -> Outcome[bool]:
        """End a job; what is listed stays listed.

        Returns
        -------
        Done of bool, NotDone or Unknown
            False if the workspace certainly has no such job.
        """
        found = self._find_head(job_id)
        while True:
            if not isinstance(found, Done):
                return found
            head = found.value
            if head is None or head.workspace != workspace:
                return Done(False)
            if not head.open:
                return Done(True)
            if not head.revision:
                return NotDone("the job is not in the store yet")
            outcome = self.archive.end(job_id, head)
            if not isinstance(outcome, Done):
                return outcome
            if not isinstance(outcome.value, Conflict):
                self._stop_everywhere(job_id)
                return Done(True)
            found = self.archive.read_head(job_id)

    def turn(self) -> None:
        """Take over jobs without an owner, and forget those that are old."""
        if self._stopping or not self.session.alive or not self.mirror.following:
            return
        self._establish()
        now = boottime()
        for job_id, head in list(self._heads.items()):
            if self.now() - head.submitted_at > self.retention:
                self._expire(job_id)
            elif self._is_orphan(job_id, head):
                since = self._orphaned_at.setdefault(job_id, now)
                if now - since >= self._patience(job_id):
                    self._adopting.add(job_id)
                    eventlet.spawn_n(self._adopt, job_id)
            else:
                self._orphaned_at.pop(job_id, None)

    def hand_over(self) -> None:
        """Leave all jobs to other daemons, for a planned stop."""
        self._stopping = True
        pool = eventlet.GreenPool()
        for owned in list(self._owned.values()):
            pool.spawn_n(owned.hand_over)
        pool.waitall()

    def required_version(self, model: str) -> int:
        """Return the newest of the oldest versions that open jobs of a model accept."""
        return max(
            (
                h.oldest_version
                for h in self._heads.values()
                if h.open and h.model == model
            ),
            default=0,
        )

    def describe(self) -> list[dict[str, object]]:
        """Return the jobs that this daemon owns, for operators."""
        return [
            {
                "job": job_id,
                "listed": len(owned.listed),
                "total": len(owned.job.items),
                "oldest_version": owned.job.oldest_version,
            }
            for job_id, owned in self._owned.items()
        ]

    @property
    def _holder(self) -> str:
        member = self.members.self_member
        return f"{member.vm} {member.incarnation}"

    def _is_known(self, job: Job) -> bool:
        """Whether a job was accepted here before."""
        owned = self._owned.get(job.id)
        return owned is not None and owned.job.workspace == job.workspace

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
            self._own(job, head, 0, 0, [], {})
        return kept

    def _submit_to_preferred(self, job: Job) -> Outcome[bool]:
        """Pass a job on to the daemon that should own it, if that is another one.

        All jobs of a workspace's route have the same owner, so that its connections
        to engines are used again and it knows their pace.
        """
        live = [m for m in self.members.live() if not m.leaving]
        preferred = rendezvous_order(f"{job.workspace}/{job.route}", live)[:1]
        vm = self.members.self_member.vm
        if not preferred or preferred[0].vm == vm:
            return NotDone("this daemon should own the job")
        request = peer_pb2.SubmitJobRequest(
            job=encode_job(job), patience=PASS_ON_PATIENCE_S
        )
        timeout = PASS_ON_PATIENCE_S + PASS_ON_EXTRA_S
        outcome = self.peers.call(preferred[0].vm, "SubmitJob", request, timeout)
        if not isinstance(outcome, Done):
            return outcome
        match outcome.value.result:
            case peer_pb2.SubmitJobReply.ACCEPTED:
                return Done(True)
            case peer_pb2.SubmitJobReply.OTHER_WORKSPACE:
                return Done(False)
            case peer_pb2.SubmitJobReply.NOT_ACCEPTED:
                return NotDone(f"{preferred[0].vm} did not accept the job")
        return Unknown(f"{preferred[0].vm} may have accepted the job")

    def _serve_submit(
        self, request: peer_pb2.SubmitJobRequest
    ) -> peer_pb2.SubmitJobReply:
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

    def _create(self, job: Job, lease: int) -> Outcome[tuple[JobHead, int] | Conflict]:
        # The mirror may show the job before the answer arrives.
        self._adopting.add(job.id)
        try:
            return self.archive.create(job, self._holder, lease)
        finally:
            self._adopting.discard(job.id)

    def _accept(self, job: Job, head: JobHead, ownership: int, lease: int) -> None:
        log(JOB_ACCEPTED, job=job.id, items=len(job.items), workspace=job.workspace)
        self._heads[job.id] = head
        if lease and job.id not in self._owned:
            self._own(job, head, ownership, lease, [], {})

    def _accepted_before(self, job: Job) -> Outcome[bool]:
        """Return whether a job that exists belongs to the same workspace."""
        found = self.archive.read_head(job.id)
        if not isinstance(found, Done):
            return Unknown(found.reason)
        head = found.value
        return Done(head is not None and head.workspace == job.workspace)

    def _own(self, job, head, ownership, lease, listed, transcripts) -> OwnedJob:
        means = Means(
            archive=self.archive,
            dispatcher=self.dispatcher,
            tables=self.tables,
            ports=self.ports,
            now=self.now,
            paces=self._paces,
            regain=self._regain,
        )
        owned = OwnedJob(job, head, ownership, lease, means)
        self._owned[job.id] = owned
        owned.start(listed, transcripts)
        return owned

    def _find_head(self, job_id: str) -> Outcome[JobHead | None]:
        """Return the head of a job, from the store if it is not known here."""
        head = self._heads.get(job_id)
        if head is not None:
            return Done(head)
        owned = self._owned.get(job_id)
        if owned is not None:
            return Done(owned.head)
        found = self.archive.read_head(job_id)
        if isinstance(found, Done) and found.value is None and not self._is_settled():
            return NotDone("jobs that only disks keep may not be in the store yet")
        return found

    def _is_settled(self) -> bool:
        """Whether the store has had time to get the jobs that disks kept."""
        return self.mirror.following and self.mirror.regained_for > self.settle

    def _read_once(
        self, job_id: str, head: JobHead, after: int, deadline: float
    ) -> Outcome[Page]:
        owned = self._owned.get(job_id)
        if owned is not None:
            owned.wait_for(after, deadline)
            if not owned.closed or owned.complete:
                return Done(_page(head.total, owned.listed, after))
        if not head.open:
            return self._read_closed(job_id, head, after)
        owner = self.mirror.get(OWNER_PREFIX + job_id)
        if owner is not None and owned is None:
            vm = owner.value.decode().partition(" ")[0]
            wait = max(0.0, deadline - boottime())
            request = peer_pb2.ReadJobRequest(
                job=job_id, after=after, wait=wait, limit=RESULT_BYTES
            )
            reply = self.peers.call(vm, "ReadJob", request, wait + READ_EXTRA_S)
            if isinstance(reply, Done) and reply.value.owned:
                return Done(Page(head.total, tuple(reply.value.results)))
        return self._read_stored(job_id, head, after)

    def _read_stored(self, job_id: str, head: JobHead, after: int) -> Outcome[Page]:
        outcome = self.archive.read_results(job_id)
        if not isinstance(outcome, Done):
            return outcome
        return Done(_page(head.total, [encode_result(r) for r in outcome.value], after))

    def _read_closed(self, job_id: str, head: JobHead, after: int) -> Outcome[Page]:
        """Return results of a job to which nothing is added any more."""
        known = self._closed.get(job_id)
        if known is None:
            outcome = self.archive.read_results(job_id)
            if not isinstance(outcome, Done):
                return outcome
            known = [encode_result(result) for result in outcome.value]
            self._remember_closed(job_id, known)
        return Done(_page(head.total, known, after))

    def _remember_closed(self, job_id: str, results: list[bytes]) -> None:
        if job_id in self._closed:
            return
        self._closed[job_id] = results
        self._closed_bytes += sum(map(len, results))
        while self._closed_bytes > CLOSED_BYTES and len(self._closed) > 1:
            _, dropped = self._closed.popitem(last=False)
            self._closed_bytes -= sum(map(len, dropped))

    def _on_change(self, change: Change) -> None:
        if change.key.startswith(HEAD_PREFIX):
            self._on_head(change.key.removeprefix(HEAD_PREFIX), change)
        elif change.key.startswith(OWNER_PREFIX) and change.item is None:
            self._orphaned_at.setdefault(
                change.key.removeprefix(OWNER_PREFIX), boottime()
            )

    def _on_head(self, job_id: str, change: Change) -> None:
        if change.item is None:
            self._heads.pop(job_id, None)
            self._drop(job_id)
            return
        try:
            head = decode_head(change.item)
        except ValueError as error:
            log(JOB_UNREADABLE, job=job_id, error=str(error))
            return
        self._heads[job_id] = head
        if not head.open:
            self._drop(job_id)

    def _drop(self, job_id: str) -> None:
        """Own a job no longer, but keep its results if these are complete."""
        owned = self._owned.pop(job_id, None)
        if owned is None:
            return
        owned.close()
        if owned.complete:
            self._remember_closed(job_id, owned.listed)

    def _stop_everywhere(self, job_id: str) -> None:
        """Stop a job that was ended here and tell its owner without waiting."""
        log(JOB_ENDED, job=job_id)
        owner = self.mirror.get(OWNER_PREFIX + job_id)
        self._drop(job_id)
        vm = owner.value.decode().partition(" ")[0] if owner is not None else ""
        if vm and vm != self.members.self_member.vm:
            request = peer_pb2.StopJobRequest(job=job_id)
            eventlet.spawn_n(self.peers.call, vm, "StopJob", request, READ_EXTRA_S)

    def _is_orphan(self, job_id: str, head: JobHead) -> bool:
        if not head.open or job_id in self._adopting:
            return False
        owned = self._owned.get(job_id)
        if owned is not None and not owned.closed:
            return False
        owner = self.mirror.get(OWNER_PREFIX + job_id)
        return owner is None or self._is_own(owner)

    def _is_own(self, owner: Item) -> bool:
        """Whether this daemon, or a former incarnation of it, has a job."""
        vm = owner.value.decode().partition(" ")[0]
        return vm == self.members.self_member.vm

    def _patience(self, job_id: str) -> float:
        """Return how long to leave a job without an owner to other members."""
        if self.mirror.get(OWNER_PREFIX + job_id) is not None:
            return 0.0
        live = [m for m in self.members.live() if not m.leaving]
        order = [member.vm for member in rendezvous_order(job_id, live)]
        vm = self.members.self_member.vm
        rank = order.index(vm) if vm in order else MOST_STAGGERS
        return TAKE_OVER_DELAY_S + TAKE_OVER_STAGGER_S * min(rank, MOST_STAGGERS)

    def _establish(self) -> None:
        """Write jobs that only disks keep to the store, now that it answers."""
        for job_id, owned in list(self._owned.items()):
            if owned.provisional and not owned.closed and job_id not in self._adopting:
                self._adopting.add(job_id)
                eventlet.spawn_n(self._establish_one, owned)

    def _establish_one(self, owned: OwnedJob) -> None:
        try:
            regained = self._regain(owned)
            if isinstance(regained, Done) and not regained.value:
                self._drop(owned.job.id)
        finally:
            self._adopting.discard(owned.job.id)

    def _regain_all(self) -> None:
        """Claim the owned jobs again after the session before ended."""
        for owned in list(self._owned.values()):
            if owned.lease == self.session.lease or owned.closed:
                continue
            if owned.provisional:
                continue
            regained = self._regain(owned)
            if isinstance(regained, Done) and not regained.value:
                owned.close()

    def _adopt(self, job_id: str) -> None:
        """Claim a job without an owner and go on with it."""
        try:
            lease = self.session.lease
            owner = self.mirror.get(OWNER_PREFIX + job_id)
            if owner is not None and owner.lease == lease:
                ownership: Outcome[int | None] = Done(owner.revision)
            else:
                # The owner is a former incarnation of this daemon, or nobody.
                replaced = owner.revision if owner is not None else 0
                ownership = self.archive.claim(job_id, self._holder, lease, replaced)
            if not isinstance(ownership, Done) or ownership.value is None:
                return
            self._load(job_id, ownership.value, lease)
        finally:
            self._adopting.discard(job_id)
            self._orphaned_at.pop(job_id, None)

    def _load(self, job_id: str, ownership: int, lease: int) -> bool:
        """Own a job with what the store has of it."""
        found = self.archive.read_head(job_id)
        job = self.archive.read_job(job_id)
        results = self.archive.read_results(job_id)
        transcripts = self.archive.read_transcripts(job_id)
        if not (
            isinstance(found, Done)
            and isinstance(job, Done)
            and isinstance(results, Done)
            and isinstance(transcripts, Done)
        ):
            return False
        head = found.value
        if head is None or not head.open or self._stopping:
            return False
        log(JOB_TAKEN_OVER, job=job_id, listed=len(results.value))
        replaced = self._owned.pop(job_id, None)
        if replaced is not None:
            replaced.close()
        self._own(job.value, head, ownership, lease, results.value, transcripts.value)
        return True

    def _regain(self, owned: OwnedJob) -> Outcome[bool]:
        """Own a job again whose ownership ended with the session before."""
        job_id, lease = owned.job.id, self.session.lease
        if self._owned.get(job_id) is not owned or self._stopping:
            return Done(False)
        if not self.session.alive:
            return NotDone("there is no session")
        found = self.archive.read_head(job_id)
        if not isinstance(found, Done):
            return found
        if found.value is None and owned.provisional:
            return self._create_kept(owned, lease)
        if found.value is None or not found.value.open:
            return Done(False)
        claimed = self.archive.claim(job_id, self._holder, lease)
        if not isinstance(claimed, Done):
            return claimed
        ownership = claimed.value
        if ownership is None:
            owner = self.store.read(OWNER_PREFIX + job_id)
            if not isinstance(owner, Done):
                return owner
            if owner.value is None:
                return NotDone("the owner changes")
            if owner.value.lease != lease:
                return Done(False)
            ownership = owner.value.revision
        results = self.archive.read_results(job_id)
        if not isinstance(results, Done):
            return results
        if len(results.value) != len(owned.listed):
            # Another daemon listed results meanwhile, or a call without an answer
            # took effect; the job is loaded again by the next turn.
            return Done(False)
        owned.ownership, owned.lease, owned.head = ownership, lease, found.value
        self._heads[job_id] = found.value
        return Done(True)

    def _create_kept(self, owned: OwnedJob, lease: int) -> Outcome[bool]:
        """Write a job that only disks keep to the store."""
        created = self.archive.create(owned.job, self._holder, lease)
        if not isinstance(created, Done):
            return created
        if isinstance(created.value, Conflict):
            return NotDone("a disk's program writes the job, or the session ended")
        owned.head, owned.ownership = created.value
        owned.lease = lease
        self._heads[owned.job.id] = owned.head
        return Done(True)

    def _expire(self, job_id: str) -> None:
        """Forget a job whose time is over; its first member removes it."""
        self._drop(job_id)
        if self._patience(job_id) <= TAKE_OVER_DELAY_S and job_id not in self._adopting:
            self._adopting.add(job_id)
            eventlet.spawn_n(self._remove, job_id)

    def _remove(self, job_id: str) -> None:
        try:
            self.archive.forget(job_id)
        finally:
            self._adopting.discard(job_id)

    def _serve_read(self, request: peer_pb2.ReadJobRequest) -> peer_pb2.ReadJobReply:
        owned = self._owned.get(request.job)
        if owned is None:
            return peer_pb2.ReadJobReply(owned=False)
        owned.wait_for(request.after, boottime() + min(request.wait, MAX_WAIT_S))
        if owned.closed and not owned.complete:
            return peer_pb2.ReadJobReply(owned=False)
        page = _page(len(owned.job.items), owned.listed, request.after)
        return peer_pb2.ReadJobReply(owned=True, total=page.total, results=page.results)

    def _serve_stop(self, request: peer_pb2.StopJobRequest) -> peer_pb2.Ack:
        self._drop(request.job)
        return peer_pb2.Ack()


def _page(total: int, results: list[bytes], after: int) -> Page:
    """Return results from a position on, at least one if there is one."""
    chosen: list[bytes] = []
    size = 0
    for result in results[after:]:
        size += len(result)
        if chosen and size > RESULT_BYTES:
            break
        chosen.append(result)
    return Page(total, tuple(chosen))
