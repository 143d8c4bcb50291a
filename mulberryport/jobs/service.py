"""Jobs of the fleet as one daemon serves them.

A job belongs to the daemon that accepted it until that daemon is lost or stops; then
another one claims it in the store. ``submission`` accepts jobs, ``takeover`` keeps and
claims ownerships, ``reading`` answers readers, and ``board`` is what they know.
"""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..coordination import Conflict, KeyValueStore, Mirror, Session
from ..membership import Members
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..tables import Tables
from ..targets import Dispatcher
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import JobArchive, JobHead
from .board import SETTLE_S, JobBoard
from .generation import Ports, Transcript
from .items import Means
from .model import Job, JobResult
from .owned import OwnedJob
from .pace import PaceBoard
from .reading import JobReader, Page
from .submission import Submissions
from .takeover import TakeOvers

__all__ = ["JobService"]

JOB_ENDED = define_event(932, "job_ended", "info", "A batch job was ended.")

STOP_TIMEOUT_S = 0.5
# Jobs are kept for this time after their submission, or as the users ask.
RETENTION_S = 120.0


@define(eq=False)
class JobService:
    """Accepts, owns, takes over, reads and ends batch jobs.

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
    board: JobBoard = field(init=False)
    _archive: JobArchive = field(init=False)
    _submissions: Submissions = field(init=False)
    _take_overs: TakeOvers = field(init=False)
    _reader: JobReader = field(init=False)
    _means: Means = field(init=False)
    _stopping: bool = False

    def __attrs_post_init__(self) -> None:
        """Connect the parts."""
        self._archive = JobArchive(self.store)
        self.board = JobBoard(
            self._archive, self.mirror, self.session, self.members, self.settle
        )
        self._reader = JobReader(self.board, self.peers)
        self.board.on_closed = self._reader.remember_closed
        self._take_overs = TakeOvers(self.board, self.peers, self._own)
        self._submissions = Submissions(
            self.board,
            self.peers,
            lambda job, head, ownership, lease: self._own(
                job, head, ownership, lease, [], {}
            ),
            self.keep,
        )
        self._means = Means(
            archive=self._archive,
            dispatcher=self.dispatcher,
            tables=self.tables,
            ports=self.ports,
            now=self.now,
            paces=PaceBoard(),
            regain=self._take_overs.regain,
        )

    def register(self, server: PeerServer) -> None:
        """Serve the peer calls about jobs."""
        server.register("SubmitJob", self._submissions.serve_submit)
        server.register("ReadJob", self._reader.serve_read)
        server.register("StopJob", self._serve_stop)

    def submit(self, job: Job, deadline: float) -> Outcome[bool]:
        """Accept a job; see ``Submissions.submit``."""
        return self._submissions.submit(job, deadline)

    def read(
        self, job_id: str, workspace: str, after: int, wait: float
    ) -> Outcome[Page | None]:
        """Return results of a job; see ``JobReader.read``."""
        return self._reader.read(job_id, workspace, after, wait)

    def item_body(
        self, job_id: str, workspace: str, item_id: str
    ) -> Outcome[bytes | None]:
        """Return the body of an item; see ``JobReader.item_body``."""
        return self._reader.item_body(job_id, workspace, item_id)

    def end(self, job_id: str, workspace: str) -> Outcome[bool]:
        """End a job; what is listed stays listed.

        Returns
        -------
        Done of bool, NotDone or Unknown
            False if the workspace certainly has no such job.
        """
        found = self.board.find_head(job_id)
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
            outcome = self._archive.end(job_id, head)
            if not isinstance(outcome, Done):
                return outcome
            if not isinstance(outcome.value, Conflict):
                self._stop_everywhere(job_id)
                return Done(True)
            found = self._archive.read_head(job_id)

    def turn(self) -> None:
        """Take over jobs without an owner, and forget those that are old."""
        if self._stopping:
            return
        for job_id, head in list(self.board.heads.items()):
            if self.now() - head.submitted_at > self.retention:
                self._expire(job_id)
        self._take_overs.turn()

    def hand_over(self) -> None:
        """Leave all jobs to other daemons, for a planned stop."""
        self._stopping = True
        self._submissions.stop()
        self._take_overs.stop()
        pool = eventlet.GreenPool()
        for owned in list(self.board.owned.values()):
            pool.spawn_n(owned.hand_over)
        pool.waitall()

    def required_version(self, model: str) -> int:
        """Return the newest of the oldest versions that open jobs of a model accept."""
        heads = [h for h in self.board.heads.values() if h.open and h.model == model]
        return max((head.oldest_version for head in heads), default=0)

    def describe(self) -> list[dict[str, object]]:
        """Return the jobs that this daemon owns, for operators."""
        return [
            {
                "job": job_id,
                "listed": len(owned.listed),
                "total": len(owned.job.items),
                "oldest_version": owned.job.oldest_version,
            }
            for job_id, owned in self.board.owned.items()
        ]

    def _own(
        self,
        job: Job,
        head: JobHead,
        ownership: int,
        lease: int,
        listed: list[JobResult],
        transcripts: dict[str, Transcript],
    ) -> None:
        """Generate what is not listed of a job."""
        owned = OwnedJob(job, head, ownership, lease, self._means)
        self.board.owned[job.id] = owned
        owned.start(listed, transcripts)

    def _stop_everywhere(self, job_id: str) -> None:
        """Stop a job that was ended here and tell its owner without waiting."""
        log(JOB_ENDED, job=job_id)
        vm = self.board.owner_vm(job_id)
        self.board.drop(job_id)
        if vm and vm != self.board.vm:
            request = peer_pb2.StopJobRequest(job=job_id)
            eventlet.spawn_n(self.peers.call, vm, "StopJob", request, STOP_TIMEOUT_S)

    def _serve_stop(self, request: peer_pb2.StopJobRequest) -> peer_pb2.Ack:
        self.board.drop(request.job)
        return peer_pb2.Ack()

    def _expire(self, job_id: str) -> None:
        """Forget a job whose time is over; its first member removes it."""
        self.board.drop(job_id)
        if self._take_overs.is_first(job_id) and job_id not in self.board.busy:
            self.board.busy.add(job_id)
            eventlet.spawn_n(self._remove, job_id)

    def _remove(self, job_id: str) -> None:
        try:
            self._archive.forget(job_id)
        finally:
            self.board.busy.discard(job_id)
