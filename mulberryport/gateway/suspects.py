"""Requests that are suspected of crashing targets: run one at a time, or refused.

A request is suspect once a target has crashed under it, until it has succeeded. Most
suspects are sound requests that ran beside the one at fault. They run one at a time, so
that sound ones succeed and the one at fault is found; a request that is blocked is not
sent any more.
"""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, ExitStack, contextmanager

from attrs import define, evolve, field
from eventlet.semaphore import Semaphore

from ..quarantine import CrashTable, request_identity
from ..routing import Result
from ..runtime.clock import boottime
from ..targets import Assignment, ShedError, TargetDirectory, WorkRequest
from ..targets.engine_client import StreamEndedError
from ..telemetry import define as define_event
from ..telemetry import log
from .access import Access
from .crashes import CrashDetector, InterruptedRequest
from .forwarding import ConnectionEndedError

__all__ = ["BlockedError", "RequestGuard", "SuspectRequests"]

BLOCKED_REFUSED = define_event(
    613,
    "blocked_request_not_sent",
    "warning",
    "A request was not sent because requests like it have crashed several targets.",
)

Assign = Callable[[WorkRequest], AbstractContextManager[Assignment]]


class BlockedError(Exception):
    """The request is not sent, because it has crashed several targets."""

    def __init__(self) -> None:
        super().__init__(
            "the same request has crashed several targets and is not sent any more"
        )


@define(eq=False)
class SuspectRequests:
    """The suspect requests of a daemon, and whose turn it is to run.

    Parameters
    ----------
    directory : TargetDirectory
        Known targets.
    crashes : CrashTable
        Crashes by request.
    """

    directory: TargetDirectory
    crashes: CrashTable = field(factory=CrashTable)
    _detector: CrashDetector = field(init=False)
    _turns: dict[str, Semaphore] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the detector."""
        self._detector = CrashDetector(self.directory, self.crashes)

    @property
    def detector(self) -> CrashDetector:
        """Detector of crashes."""
        return self._detector

    def turn(self, pool: str) -> Semaphore:
        """Return the semaphore of a pool that a suspect request holds while it runs."""
        return self._turns.setdefault(pool, Semaphore(1))


@define(eq=False)
class RequestGuard:
    """The state of one request of a caller with respect to crashes of targets.

    The identity is computed only when there are crashes to compare it with.

    Parameters
    ----------
    suspects : SuspectRequests
        Suspect requests of this daemon.
    request_id : str
        Request id from the caller, for logs.
    access : Access
        Route and workspace that the request is authorized for.
    method, target : str
        Method, and path with query.
    body : bytes or None
        The whole body. None if it is not fully buffered; such a request has no
        identity. It is sent to one target only, but it is neither suspected nor
        blocked when it comes again.
    """

    suspects: SuspectRequests
    request_id: str
    access: Access
    method: str
    target: str
    body: bytes | None = field(repr=False)
    _identity: bytes | None = None

    @property
    def is_suspect(self) -> bool:
        """Whether a target has crashed under the request since its last success."""
        crashes = self.suspects.crashes
        return (
            self.body is not None
            and not crashes.is_empty
            and crashes.is_suspect(self._get_identity(), boottime())
        )

    @property
    def is_blocked(self) -> bool:
        """Whether the request must not be sent."""
        crashes = self.suspects.crashes
        return (
            self.body is not None
            and not crashes.is_empty
            and crashes.is_blocked(self._get_identity(), boottime())
        )

    @contextmanager
    def admit(self, assign: Assign, work: WorkRequest) -> Iterator[Assignment]:
        """Hold a slot of a target for one attempt, if the request may be sent.

        A suspect request first waits for its turn, until its deadline, and then prefers
        a target that has no other request of this daemon.

        Parameters
        ----------
        assign : callable
            Waits for a slot of a target.
        work : WorkRequest
            Passed to ``assign``.

        Raises
        ------
        BlockedError
            The request is blocked.
        ShedError
            There was no turn or no slot before the deadline.
        """
        while True:
            self._refuse_if_blocked()
            with ExitStack() as stack:
                has_turn = self.is_suspect
                if has_turn:
                    stack.enter_context(self._wait_for_turn(work))
                    if self.is_blocked or not self.is_suspect:
                        # Another copy of the request ended during the wait.
                        continue
                    wanted = evolve(work, prefers_idle=True, prefix="", affinity="")
                else:
                    wanted = work
                assignment = stack.enter_context(assign(wanted))
                if self.is_blocked or (self.is_suspect and not has_turn):
                    # Another copy of the request crashed a target during the wait.
                    assignment.cancelled()
                    continue
                with self._watch(assignment):
                    yield assignment
                return

    @contextmanager
    def _wait_for_turn(self, work: WorkRequest) -> Iterator[None]:
        turn = self.suspects.turn(work.pool)
        remaining_s = work.deadline - boottime()
        timeout = None if remaining_s == float("inf") else max(0.0, remaining_s)
        if not turn.acquire(timeout=timeout):
            raise ShedError(
                "a target crashed under the same request, and other such requests ran "
                "until the deadline"
            )
        try:
            yield
        finally:
            turn.release()

    @contextmanager
    def _watch(self, assignment: Assignment) -> Iterator[None]:
        """Record whether the target crashes or the request succeeds."""
        started_at = boottime()
        try:
            yield
        except (ConnectionEndedError, StreamEndedError):
            if self.body is not None:
                self.suspects.detector.report(
                    assignment.view, self._interrupted(started_at)
                )
            raise
        if assignment.result is Result.SUCCEEDED and self.is_suspect:
            self.suspects.crashes.record_success(self._get_identity(), boottime())

    def _refuse_if_blocked(self) -> None:
        if not self.is_blocked:
            return
        log(
            BLOCKED_REFUSED,
            request=self.request_id,
            route=self.access.route.name,
            identity=self._get_identity().hex(),
        )
        raise BlockedError

    def _interrupted(self, started_at: float) -> InterruptedRequest:
        return InterruptedRequest(
            self._get_identity(),
            self.request_id,
            self.access.route.name,
            self.access.workspace,
            started_at,
        )

    def _get_identity(self) -> bytes:
        if self._identity is None:
            self._identity = request_identity(
                self.access.workspace,
                self.access.route.name,
                self.method,
                self.target,
                self.body or b"",
            )
        return self._identity
