"""A caller's request on its way through this daemon."""

import re
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack, nullcontext
from typing import Any
from urllib.parse import unquote

from attrs import evolve, field, frozen

from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse
from ..targets import Assignment, Dispatcher, ShedError, TargetView, WorkRequest
from ..telemetry import define as define_event
from ..telemetry import log
from .access import Access
from .active import ActiveRequest, SilentConnectionError
from .bodies import RequestBody
from .credentials import SecretFinder, forwardable_headers, forwardable_query
from .forwarding import (
    ForwardedAnswer,
    MisdirectedError,
    NotRunError,
    NotSentError,
    forward,
    hold_body,
)
from .headers import request_headers
from .racing import race
from .refusals import OutcomeUnknownError, RefusalError
from .wire import OWN_WIRE, OutgoingRequest, TargetWire

__all__ = [
    "MAX_ATTEMPTS",
    "CallerRequest",
    "Targets",
    "open_answer",
    "open_raced_answer",
    "outgoing_request",
]

ATTEMPT_FAILED = define_event(
    607, "request_attempt_failed", "info", "An attempt at a target failed."
)
REQUEST_TRIED_AGAIN = define_event(
    608, "request_tried_again", "info", "A request is sent to a further target."
)

# More attempts than targets usually fail at once gain little and cost load.
MAX_ATTEMPTS = 3
# How long a retry waits for another target before the first failure is reported.
RETRY_WAIT_S = 1.0
# Shorter silences are normal while a target is busy.
MIN_SILENCE_S = 3.0
# A plain service that sends nothing for this part of the route's timeout, and that
# answers a probe beside it, is taken to have lost the connection.
SILENT_PART = 1 / 3
SERVER_ERROR = 500
TIMED_OUT = 504
# Bodies up to this size are received before the answer to an idempotent request is
# used.
HELD_ANSWER_BYTES = 1024 * 1024
UNSAFE_PATH = re.compile(r"(^|[/\\])\.{1,2}([/\\;]|$)|[\x00-\x1f\x7f]")


@frozen(eq=False)
class CallerRequest:
    """A request that was admitted.

    Parameters
    ----------
    environ : dict
        Of WSGI.
    start_response : callable
        Of WSGI.
    active : ActiveRequest
        Its entry among the running requests.
    access : Access
        The route that admits it.
    is_secret : callable
        Tells whether a text contains a key.
    """

    environ: dict[str, Any] = field(repr=False)
    start_response: StartResponse
    active: ActiveRequest
    access: Access
    is_secret: SecretFinder = field(repr=False)

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def idempotent(self) -> bool:
        """Whether the route allows to run the request more than once."""
        return self.access.route.is_idempotent(self.method)


@frozen
class Targets:
    """How attempts reach targets.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gives attempts to targets.
    may_retry : callable
        Takes a retry of a pool from its budget; False if the budget is spent.
    wire : TargetWire
        How targets are spoken to.
    on_start : callable
        Called with a workspace and a target when a request is sent there; returns a
        function that is called if the request may have run, or None.
    """

    dispatcher: Dispatcher
    may_retry: Callable[[str], bool]
    wire: TargetWire = OWN_WIRE
    on_start: Callable[[str, TargetView], Callable[[], None] | None] = field(
        default=lambda workspace, view: None
    )

    def assign(
        self, work: WorkRequest, failure: Exception | None
    ) -> AbstractContextManager[Assignment]:
        """Wait for a target; a retry waits only for a short time."""
        if failure is None:
            return self.dispatcher.assign(work)
        deadline = min(work.deadline, boottime() + RETRY_WAIT_S)
        return self.dispatcher.assign(evolve(work, deadline=deadline))


def outgoing_request(call: CallerRequest, body: RequestBody) -> OutgoingRequest:
    """Return what a target may see of a request.

    Raises
    ------
    RefusalError
        The path contains a key or could mean another path to the target.
    """
    path = call.environ.get("RAW_PATH_INFO") or call.environ["PATH_INFO"]
    if call.is_secret(path):
        raise RefusalError(400, "the path contains a key")
    if UNSAFE_PATH.search(path) or UNSAFE_PATH.search(unquote(unquote(path))):
        raise RefusalError(400, "the path has relative segments or control characters")
    query = forwardable_query(call.environ.get("QUERY_STRING", ""), call.is_secret)
    headers = forwardable_headers(request_headers(call.environ), call.is_secret)
    target = f"{path}?{query}" if query else path
    return OutgoingRequest(call.method, target, headers, body)


def open_answer(
    stack: ExitStack,
    call: CallerRequest,
    request: OutgoingRequest,
    targets: Targets,
    work: WorkRequest,
    on_sent: Callable[[], None],
) -> tuple[Assignment, ForwardedAnswer]:
    """Run a request at a target, and at others if evidence and budget allow it.

    Parameters
    ----------
    stack : ExitStack
        Keeps the place at the target until the answer is complete.
    on_sent : callable
        Called before the first byte is sent to a target.

    Raises
    ------
    RefusalError
        No attempt reached a target.
    OutcomeUnknownError
        An attempt may have run, and there is no answer.
    """
    failure: Exception | None = None
    for _ in range(call.access.route.attempts):
        if failure is not None:
            may_repeat = isinstance(failure, NotSentError) or (
                call.idempotent and request.body.whole
            )
            if not may_repeat or not targets.may_retry(work.pool):
                break
        try:
            with ExitStack() as place:
                view = place.enter_context(targets.assign(work, failure))
                watch = _watch(call, view, targets.wire)
                answer = _forward(call, view, request, watch, on_sent, targets)
                stack.enter_context(place.pop_all())
                return view, answer
        except ShedError as error:
            if failure is None:
                raise RefusalError(503, str(error)) from error
            break
        except (NotSentError, OutcomeUnknownError, SilentConnectionError) as error:
            failure = error
            log(ATTEMPT_FAILED, request=call.active.id, error=str(error))
            work = evolve(work, exclude=work.exclude | {view.id})
    raise _report(failure, call.active.sent) from failure


def open_raced_answer(
    stack: ExitStack,
    call: CallerRequest,
    request: OutgoingRequest,
    targets: Targets,
    work: WorkRequest,
    on_sent: Callable[[], None],
    patience: float,
) -> tuple[Assignment, ForwardedAnswer]:
    """Run an idempotent request at a target, and at others if it takes too long.

    The first whole answer wins, and the other attempts are cancelled. Bodies are
    received before the answer is used, so that one that breaks off costs no caller
    its answer.

    Parameters
    ----------
    patience : float
        Seconds without an answer after which one further attempt starts.

    Raises
    ------
    RefusalError
        No attempt reached a target.
    OutcomeUnknownError
        An attempt may have run, and there is no answer.
    """

    def attempt(
        excluded: frozenset[str], note: Callable[[str], None]
    ) -> tuple[ExitStack, Assignment, ForwardedAnswer]:
        with ExitStack() as place:
            failure = NotSentError("an earlier attempt") if excluded else None
            if excluded:
                log(
                    REQUEST_TRIED_AGAIN,
                    request=call.active.id,
                    tried=sorted(excluded),
                )
            tried = evolve(work, exclude=work.exclude | excluded)
            view = place.enter_context(targets.assign(tried, failure))
            note(view.id)
            answer = _forward(call, view, request, nullcontext, on_sent, targets)
            answer = hold_body(answer, HELD_ANSWER_BYTES)
            if answer.status >= SERVER_ERROR:
                if answer.status == TIMED_OUT:
                    # The request's own deadline says nothing about the target.
                    view.cancelled()
                raise ServerFailedError(view, answer)
            return place.pop_all(), view, answer

    def may_repeat(error: Exception) -> bool:
        log(ATTEMPT_FAILED, request=call.active.id, error=str(error))
        return not isinstance(error, ShedError) and targets.may_retry(work.pool)

    try:
        place, view, answer = race(
            attempt,
            may_repeat,
            attempts=call.access.route.attempts,
            patience=patience,
            discard=lambda won: won[0].close(),
        )
    except ShedError as error:
        raise RefusalError(503, str(error)) from error
    except ServerFailedError as error:
        # The target's own failure is its answer if no other target gives one.
        return error.view, error.answer
    except (NotSentError, OutcomeUnknownError) as error:
        raise _report(error, call.active.sent) from error
    stack.enter_context(place)
    return view, answer


class ServerFailedError(Exception):
    """The target answered that it failed; another one may succeed."""

    def __init__(self, view: Assignment, answer: ForwardedAnswer) -> None:
        super().__init__(f"target {view.id} answered with status {answer.status}")
        self.view = view
        self.answer = answer


def _forward(
    call: CallerRequest,
    view: Assignment,
    request: OutgoingRequest,
    watch: Callable[[], AbstractContextManager[None]],
    on_sent: Callable[[], None],
    targets: Targets,
) -> ForwardedAnswer:
    """Send a request to its place and note what the head of the answer says."""
    assigned_at = boottime()
    started: Callable[[], None] | None = None

    def sent() -> None:
        nonlocal started
        started = targets.on_start(call.access.workspace, view)
        on_sent()

    try:
        answer = forward(view, request, watch, sent, targets.wire)
    except NotRunError as error:
        # The target works and did not run it; its load says more than a failure.
        started = None
        call.active.sent -= 1
        view.cancelled()
        if isinstance(error, MisdirectedError):
            targets.dispatcher.directory.mark_address_reused(view.id)
        raise
    finally:
        if started is not None:
            started()
    return evolve(answer, latency=boottime() - assigned_at)


def _report(failure: Exception | None, sent: bool) -> Exception:
    """Return what a failure means for the caller."""
    if not sent:
        return RefusalError(503, str(failure))
    if isinstance(failure, OutcomeUnknownError):
        return failure
    status = 504 if isinstance(failure, SilentConnectionError) else 502
    return OutcomeUnknownError(status, str(failure))


def _watch(
    call: CallerRequest, view: Assignment, wire: TargetWire
) -> Callable[[], AbstractContextManager[None]]:
    if not wire.probes:
        return nullcontext
    limit = max(MIN_SILENCE_S, SILENT_PART * call.access.route.timeout)
    return lambda: call.active.waiting_for(view.address, limit)
