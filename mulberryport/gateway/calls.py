"""A caller's request on its way through this daemon."""

import re
from collections.abc import Callable
from contextlib import AbstractContextManager, ExitStack
from typing import Any
from urllib.parse import unquote

from attrs import evolve, field, frozen

from ..runtime.clock import boottime
from ..runtime.wsgi import StartResponse
from ..targets import Assignment, Dispatcher, ShedError, WorkRequest
from .access import Access
from .active import ActiveRequest, SilentConnectionError
from .bodies import RequestBody
from .credentials import SecretFinder, forwardable_headers, forwardable_query
from .forwarding import (
    ForwardedAnswer,
    NotSentError,
    OutgoingRequest,
    forward,
)
from .headers import request_headers
from .refusals import OutcomeUnknownError, RefusalError

__all__ = [
    "MAX_ATTEMPTS",
    "CallerRequest",
    "Targets",
    "open_answer",
    "outgoing_request",
]

# More attempts than targets usually fail at once gain little and cost load.
MAX_ATTEMPTS = 3
# How long a retry waits for another target before the first failure is reported.
RETRY_WAIT_S = 1.0
# Shorter silences are normal while a target is busy.
MIN_SILENCE_S = 3.0
# A plain service that sends nothing for this part of the route's timeout, and that
# answers a probe beside it, is taken to have lost the connection.
SILENT_PART = 1 / 3
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
        return self.method in self.access.route.idempotent_methods


@frozen
class Targets:
    """How attempts reach targets.

    Parameters
    ----------
    dispatcher : Dispatcher
        Gives attempts to targets.
    may_retry : callable
        Takes a retry of a pool from its budget; False if the budget is spent.
    """

    dispatcher: Dispatcher
    may_retry: Callable[[str], bool]

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
    for _ in range(MAX_ATTEMPTS):
        if failure is not None:
            may_repeat = isinstance(failure, NotSentError) or (
                call.idempotent and request.body.whole
            )
            if not may_repeat or not targets.may_retry(work.pool):
                break
        try:
            with ExitStack() as place:
                view = place.enter_context(targets.assign(work, failure))
                watch = _watch(call, view)
                assigned_at = boottime()
                answer = forward(view, request, watch, on_sent)
                answer = evolve(answer, latency=boottime() - assigned_at)
                stack.enter_context(place.pop_all())
                return view, answer
        except ShedError as error:
            if failure is None:
                raise RefusalError(503, str(error)) from error
            break
        except (NotSentError, OutcomeUnknownError, SilentConnectionError) as error:
            failure = error
            work = evolve(work, exclude=work.exclude | {view.id})
    raise _report(failure, call.active.sent) from failure


def _report(failure: Exception | None, sent: bool) -> Exception:
    """Return what a failure means for the caller."""
    if not sent:
        return RefusalError(503, str(failure))
    if isinstance(failure, OutcomeUnknownError):
        return failure
    status = 504 if isinstance(failure, SilentConnectionError) else 502
    return OutcomeUnknownError(status, str(failure))


def _watch(
    call: CallerRequest, view: Assignment
) -> Callable[[], AbstractContextManager[None]]:
    limit = max(MIN_SILENCE_S, SILENT_PART * call.access.route.timeout)
    return lambda: call.active.waiting_for(view.address, limit)
