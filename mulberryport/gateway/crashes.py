"""Detection of targets that crash while they run a request.

A request is taken to have crashed its target only if the target's end of the connection
closed before the response was complete, and the target is gone at that moment: nothing
accepts a connection at its address. A reset connection of a target that still accepts
connections is a lost response. Timeouts, statuses of the target, failures to connect
and requests that are aborted here are no crashes, and neither is the end of a target
that was leaving or not listed any more.

A network that is cut falls silent; it does not end connections, so that no request is
blamed. If something resets the connections of a target that is up and drops new ones at
the same time, or a target ends unannounced for a reason of its own, the requests that
ran there are blamed for it once each, until one of them has succeeded.
"""

import eventlet
import eventlet.event
from attrs import define, field, frozen

from ..quarantine import Crash, CrashTable
from ..runtime.clock import boottime
from ..targets import TargetDirectory, TargetView
from ..targets.connections import is_peer_gone
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["CrashDetector", "InterruptedRequest"]

TARGET_CRASHED = define_event(
    611,
    "request_crashed_target",
    "warning",
    "A target ended while it ran a request, which is suspected of the crash.",
)
CRASH_CHECK_FAILED = define_event(
    612,
    "crash_check_failed",
    "warning",
    "It could not be checked whether a target is gone; no request is suspected.",
)

# Requests whose connections to a target end within this time after the target was
# found to be gone were interrupted by the same crash. A restart takes longer.
SAME_CRASH_S = 1.0


@frozen
class InterruptedRequest:
    """A request whose connection to its target ended before the response was complete.

    Parameters
    ----------
    identity : bytes
        Result of ``request_identity``.
    id : str
        Request id from the caller, for logs.
    route, workspace : str
        For operators.
    started_at : float
        Boot time at which the request was assigned to the target.
    """

    identity: bytes
    id: str
    route: str
    workspace: str
    started_at: float


@define(eq=False)
class TargetCheck:
    """One check whether a target is gone, for all requests that were interrupted there.

    Parameters
    ----------
    started_at : float
        Boot time at which the first of the connections ended.
    is_alone : bool
        Whether this daemon had a single request at the target at that time.
    is_gone : bool or None
        Result; None while the check runs.
    """

    started_at: float
    is_alone: bool
    is_gone: bool | None = None
    waiting: list[InterruptedRequest] = field(factory=list)
    done: eventlet.event.Event = field(factory=eventlet.event.Event)


@define(eq=False)
class CrashDetector:
    """Checks whether targets are gone, and records the requests that crashed them.

    Parameters
    ----------
    directory : TargetDirectory
        Known targets, and the number of requests in flight there.
    crashes : CrashTable
        Receives the crashes.
    """

    directory: TargetDirectory
    crashes: CrashTable
    _checks: dict[str, TargetCheck] = field(factory=dict)

    def report(self, view: TargetView, request: InterruptedRequest) -> None:
        """Record a crash if the target is gone; returns when that is known.

        Call it before the request's slot at the target is released. The crash is also
        recorded if the green thread that waits here is killed.
        """
        check = self._checks.get(view.id)
        if check is None or not self._is_current(check):
            check = self._start_check(view)
        if request.started_at > check.started_at:
            # The target was already gone when the request was sent.
            return
        if check.is_gone:
            self._record(view, check, request)
            return
        check.waiting.append(request)
        check.done.wait()

    def _is_current(self, check: TargetCheck) -> bool:
        """Return whether a check holds for a connection that ended now."""
        if check.is_gone is None:
            return True
        return check.is_gone and boottime() - check.started_at < SAME_CRASH_S

    def _start_check(self, view: TargetView) -> TargetCheck:
        now = boottime()
        for target, check in list(self._checks.items()):
            if check.is_gone is not None and now - check.started_at >= SAME_CRASH_S:
                del self._checks[target]
        state = self.directory.get_state(view.id)
        is_alone = state is not None and state.in_flight == 1
        check = self._checks[view.id] = TargetCheck(now, is_alone)
        # A thread of its own, since the requests that wait for it can be aborted.
        eventlet.spawn_n(self._check, view, check)
        return check

    def _check(self, view: TargetView, check: TargetCheck) -> None:
        is_gone = False
        try:
            is_gone = self.directory.is_in_service(view) and is_peer_gone(view.address)
        except OSError as error:
            log(CRASH_CHECK_FAILED, target=view.id, error=str(error))
        finally:
            check.is_gone = is_gone
            if is_gone:
                for request in check.waiting:
                    self._record(view, check, request)
            check.done.send()

    def _record(
        self, view: TargetView, check: TargetCheck, request: InterruptedRequest
    ) -> None:
        log(
            TARGET_CRASHED,
            request=request.id,
            route=request.route,
            target=view.id,
            alone=check.is_alone,
        )
        crash = Crash(view.id, check.started_at, check.is_alone)
        self.crashes.record_crash(
            request.identity, request.route, request.workspace, crash
        )
