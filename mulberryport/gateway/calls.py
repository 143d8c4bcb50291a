"""Authorized requests of callers, and the attempts to run them at targets."""

import re
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack, nullcontext
from functools import partial
from typing import Any
from urllib.parse import unquote

from attrs import Factory, evolve, field, frozen

from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse
from ..targets import (
    Assignment,
    Dispatcher,
    NoRoomError,
    ShedError,
    TargetView,
    WorkRequest,
)
from ..telemetry import define as define_event
from ..telemetry import log
from .access import Access
from .active import ActiveRequest, SilentConnectionError
from .bodies import RequestBody
from .credentials import SecretFinder, forwardable_headers, forwardable_query
from .forwarding import (
    ForwardedResponse,
    MisdirectedError,
    NotRunError,
    NotSentError,
    buffer_body,
    forward,
)
from .headers import request_headers
from .hedging import run_hedged
from .paths import request_path
from .refusals import OutcomeUnknownError, RefusalError
from .suspects import BlockedError, RequestGuard, SuspectRequests
from .target_protocol import NATIVE_PROTOCOL, OutgoingRequest, TargetProtocol

__all__ = [
    "MAX_ATTEMPTS",
    "CallerRequest",
    "TargetClient",
    "open_response",
    "open_hedged_response",
    "outgoing_request",
]

ATTEMPT_FAILED = define_event(
    607, "request_attempt_failed", "info", "An attempt to run a request failed."
)
REQUEST_TRIED_AGAIN = define_event(
    608, "request_tried_again", "info", "A request is being sent to another target."
)

# Targets rarely fail in greater numbers at once; more attempts would add load with
# little benefit.
MAX_ATTEMPTS = 3
# Limit of a retry's wait for another target, before the first failure is reported.
RETRY_QUEUE_TIMEOUT_S = 1.0
# Told to a caller whose body a target has rejected.
RESEND_RETRY_AFTER_S = 0.25
# Shorter pauses are normal while a target is busy.
MIN_SILENCE_S = 3.0
# A plain service that sends nothing for this fraction of the route's timeout, but
# responds to a probe on another connection, is assumed to have lost the connection.
SILENCE_TIMEOUT_FRACTION = 1 / 3
MIN_SERVER_ERROR_STATUS = 500
GATEWAY_TIMEOUT_STATUS = 504
# The bodies of responses to hedged requests are buffered up to this size, so that a
# broken response is replaced by that of another attempt.
MAX_BUFFERED_RESPONSE_BYTES = 1024 * 1024
UNSAFE_PATH = re.compile(r"(^|[/\\])\.{1,2}([/\\;]|$)|[\x00-\x1f\x7f]")


@frozen(eq=False)
class CallerRequest:
    """An authorized request.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    start_response : callable
        WSGI callable that starts the response.
    active : ActiveRequest
        Entry of the request in the registry of running requests.
    access : Access
        Route and workspace that the request is authorized for.
    is_secret : callable
        Returns whether a text contains a key.
    """

    environ: dict[str, Any] = field(repr=False)
    start_response: StartResponse
    active: ActiveRequest
    access: Access
    is_secret: SecretFinder = field(repr=False)

    @property
    def method(self) -> str:
        """HTTP method."""
        return self.environ["REQUEST_METHOD"]

    @property
    def is_idempotent(self) -> bool:
        """Whether the route allows the request to run more than once."""
        return self.access.route.is_idempotent(self.method)


@frozen
class TargetClient:
    """What attempts need to be assigned and sent to targets.

    Parameters
    ----------
    dispatcher : Dispatcher
        Assigns attempts to targets.
    may_retry : callable
        Consumes one retry from a pool's retry budget; returns False if the budget is
        exhausted.
    protocol : TargetProtocol
        Protocol of the targets.
    on_start : callable
        Called with a workspace and a target before a request is sent there; returns a
        function to call if the request may have run, or None.
    suspects : SuspectRequests
        Requests that are suspected of crashing targets.
    """

    dispatcher: Dispatcher
    may_retry: Callable[[str], bool]
    protocol: TargetProtocol = NATIVE_PROTOCOL
    on_start: Callable[[str, TargetView], Callable[[], None] | None] = field(
        default=lambda workspace, view: None
    )
    suspects: SuspectRequests = field(
        default=Factory(
            lambda self: SuspectRequests(self.dispatcher.directory), takes_self=True
        )
    )

    def guard(self, call: CallerRequest, request: OutgoingRequest) -> RequestGuard:
        """Return the guard that admits the attempts of a request."""
        return RequestGuard(
            self.suspects,
            call.active.id,
            call.access,
            request.method,
            request.target,
            request.body.complete,
        )

    def assign(
        self, work: WorkRequest, failure: Exception | None
    ) -> AbstractContextManager[Assignment]:
        """Wait for a slot of a target; a retry waits ``RETRY_QUEUE_TIMEOUT_S`` at most.

        The wait also ends at the deadline of the request.
        """
        if failure is None:
            return self.dispatcher.assign(work)
        deadline = min(work.deadline, boottime() + RETRY_QUEUE_TIMEOUT_S)
        return self.dispatcher.assign(evolve(work, deadline=deadline, purpose="retry"))


def outgoing_request(call: CallerRequest, body: RequestBody) -> OutgoingRequest:
    """Return a request as it is forwarded to targets, without keys.

    Raises
    ------
    RefusalError
        The path contains a key, or a target may resolve it to another path.
    """
    path = request_path(call.environ)
    if call.is_secret(path):
        raise RefusalError(400, "the path contains a key")
    if UNSAFE_PATH.search(path) or UNSAFE_PATH.search(unquote(unquote(path))):
        raise RefusalError(400, "the path has relative segments or control characters")
    query = forwardable_query(call.environ.get("QUERY_STRING", ""), call.is_secret)
    headers = forwardable_headers(request_headers(call.environ), call.is_secret)
    target = f"{path}?{query}" if query else path
    return OutgoingRequest(call.method, target, headers, body)


def open_response(
    stack: ExitStack,
    call: CallerRequest,
    request: OutgoingRequest,
    client: TargetClient,
    work: WorkRequest,
    on_sent: Callable[[], None],
) -> tuple[Assignment, ForwardedResponse]:
    """Run a request at a target, and retry at others where that is safe.

    A retry requires that the request certainly did not run or is idempotent and can
    be sent again, and that the retry budget allows it.

    Parameters
    ----------
    stack : ExitStack
        Holds the slot of the target until the response is complete.
    on_sent : callable
        Called before the first byte is sent to a target.

    Raises
    ------
    RefusalError
        No attempt ran at a target.
    OutcomeUnknownError
        An attempt may have run, and there is no response.
    """
    guard = client.guard(call, request)
    failure: Exception | None = None
    for _ in range(call.access.route.attempts):
        if failure is not None:
            may_run_again = isinstance(failure, NotSentError) or call.is_idempotent
            if not request.body.can_be_sent and not call.active.sent_attempts:
                # Only the caller can send the body again, and any other target may
                # run it.
                reason = f"{failure}; the body cannot be sent again"
                raise RefusalError(503, reason, RESEND_RETRY_AFTER_S) from failure
            is_retryable = may_run_again and request.body.can_be_sent
            if not is_retryable or not client.may_retry(work.pool):
                break
        try:
            with ExitStack() as assignment_stack:
                assignment = assignment_stack.enter_context(
                    guard.admit(partial(client.assign, failure=failure), work)
                )
                wait_context = _make_wait_context(call, assignment, client.protocol)
                response = _forward(
                    call, assignment, request, wait_context, on_sent, client
                )
                stack.enter_context(assignment_stack.pop_all())
                return assignment, response
        except ShedError as error:
            is_told_when = isinstance(error, NoRoomError) and not (
                call.active.sent_attempts
            )
            if failure is None or is_told_when:
                raise _refusal(error) from error
            break
        except BlockedError as error:
            failure = error
            break
        except (NotSentError, OutcomeUnknownError, SilentConnectionError) as error:
            failure = error
            log(ATTEMPT_FAILED, request=call.active.id, error=str(error))
            work = evolve(work, exclude=work.exclude | {assignment.id})
    raise _error_for_caller(failure, call.active.sent_attempts) from failure


def open_hedged_response(
    stack: ExitStack,
    call: CallerRequest,
    request: OutgoingRequest,
    client: TargetClient,
    work: WorkRequest,
    on_sent: Callable[[], None],
    hedge_delay_s: float,
) -> tuple[Assignment, ForwardedResponse]:
    """Run an idempotent request, with hedged attempts at further targets.

    The first complete response is used, and the other attempts are cancelled. Bodies
    are buffered up to ``MAX_BUFFERED_RESPONSE_BYTES`` first, so that a response that
    breaks off within them does not fail the request.

    Parameters
    ----------
    hedge_delay_s : float
        Seconds without a response after which one hedged attempt starts.

    Raises
    ------
    RefusalError
        No attempt ran at a target.
    OutcomeUnknownError
        An attempt may have run, and there is no response.
    """
    guard = client.guard(call, request)
    assigned_targets: set[str] = set()

    def attempt(
        excluded: frozenset[str], on_assigned: Callable[[str], None]
    ) -> tuple[ExitStack, Assignment, ForwardedResponse]:
        with ExitStack() as assignment_stack:
            failure = NotSentError("an earlier attempt") if excluded else None
            if excluded:
                log(
                    REQUEST_TRIED_AGAIN,
                    request=call.active.id,
                    tried=sorted(excluded),
                )
            remaining_work = evolve(work, exclude=work.exclude | excluded)
            assignment = assignment_stack.enter_context(
                guard.admit(partial(client.assign, failure=failure), remaining_work)
            )
            on_assigned(assignment.id)
            assigned_targets.add(assignment.id)
            response = _forward(call, assignment, request, nullcontext, on_sent, client)
            response = buffer_body(response, MAX_BUFFERED_RESPONSE_BYTES)
            if response.status >= MIN_SERVER_ERROR_STATUS:
                if response.status == GATEWAY_TIMEOUT_STATUS:
                    # The request's deadline expired, which is no failure of the target.
                    assignment.cancelled()
                raise ServerFailedError(assignment, response)
            return assignment_stack.pop_all(), assignment, response

    def may_retry(error: Exception) -> bool:
        log(ATTEMPT_FAILED, request=call.active.id, error=str(error))
        is_final = isinstance(error, (BlockedError, ShedError))
        return not is_final and client.may_retry(work.pool)

    try:
        assignment_stack, assignment, response = run_hedged(
            attempt,
            may_retry,
            max_attempts=call.access.route.attempts,
            hedge_delay_s=hedge_delay_s,
            # A first attempt that still waits for a target is not slow.
            may_run_beside=lambda: (
                bool(assigned_targets)
                and not guard.is_suspect
                and client.dispatcher.may_hedge(
                    evolve(work, exclude=work.exclude | assigned_targets)
                )
            ),
            discard=lambda result: result[0].close(),
        )
    except ServerFailedError as error:
        # The error response is forwarded if no other attempt succeeded.
        return error.assignment, error.response
    except (BlockedError, NotSentError, OutcomeUnknownError, ShedError) as error:
        raise _error_for_caller(error, call.active.sent_attempts) from error
    stack.enter_context(assignment_stack)
    return assignment, response


class ServerFailedError(Exception):
    """The target responded with a server error; another target may succeed."""

    def __init__(self, assignment: Assignment, response: ForwardedResponse) -> None:
        super().__init__(
            f"target {assignment.id} responded with status {response.status}"
        )
        self.assignment = assignment
        self.response = response


def _forward(
    call: CallerRequest,
    assignment: Assignment,
    request: OutgoingRequest,
    wait_context: Callable[[], AbstractContextManager[None]],
    on_sent: Callable[[], None],
    client: TargetClient,
) -> ForwardedResponse:
    """Send a request to its target; record whether it ran and the latency."""
    assigned_at = boottime()
    count_start: Callable[[], None] | None = None

    def before_send() -> None:
        nonlocal count_start
        count_start = client.on_start(call.access.workspace, assignment)
        on_sent()

    try:
        response = forward(
            assignment, request, wait_context, before_send, client.protocol
        )
    except NotRunError as error:
        # The target is healthy but did not run the request; it must not count as a
        # failure, since the load report describes the target better.
        count_start = None
        call.active.sent_attempts -= 1
        assignment.refused()
        if isinstance(error, MisdirectedError):
            client.dispatcher.directory.mark_address_reused(assignment.view)
        raise
    finally:
        if count_start is not None:
            count_start()
    return evolve(response, latency=boottime() - assigned_at)


def _error_for_caller(failure: Exception | None, may_have_run: bool) -> Exception:
    """Return the error to raise for the caller after the last failed attempt."""
    if not may_have_run:
        return _refusal(failure)
    if isinstance(failure, OutcomeUnknownError):
        return failure
    status = 504 if isinstance(failure, SilentConnectionError) else 502
    return OutcomeUnknownError(status, str(failure))


def _refusal(failure: Exception | None) -> RefusalError:
    """Return the refusal of a request of which no attempt ran."""
    retry_after = failure.retry_after if isinstance(failure, ShedError) else None
    if retry_after is None:
        return RefusalError(503, str(failure))
    return RefusalError(503, str(failure), retry_after)


def _make_wait_context(
    call: CallerRequest, assignment: Assignment, protocol: TargetProtocol
) -> Callable[[], AbstractContextManager[None]]:
    if not protocol.supports_probes:
        return nullcontext
    max_silence_s = max(
        MIN_SILENCE_S, SILENCE_TIMEOUT_FRACTION * call.access.route.timeout
    )
    return lambda: call.active.watch_read(assignment.address, max_silence_s)
