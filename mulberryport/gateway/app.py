"""The caller port: admits requests and answers them."""

import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from functools import partial
from typing import Any

from attrs import Factory, define, field

from ..idempotency import IdempotencyService
from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..runtime.wsgi import StartResponse
from ..tables import MODEL_ENGINE, Route, SnapshotHolder, Tables, find_key
from ..targets import Assignment, Dispatcher, TargetView, WorkRequest
from ..targets.engine_client import has_waiting_requests
from ..telemetry import define as define_event
from ..telemetry import log
from ..usage import UsageCounters, call_before_last_byte
from .access import Access, authorize, match_route
from .active import ActiveRequest, ActiveRequests, RequestEndedError
from .bodies import read_body
from .calls import CallerRequest, Targets, open_answer, open_raced_answer
from .credentials import secret_finder
from .dialect import Dialect, own_dialect
from .forwarding import ForwardedAnswer
from .generation import error_line, parse_generation, stream_generation
from .once import Open, idempotency_key, run_once
from .refusals import OutcomeUnknownError, RefusalError
from .server import PROTOCOL_KEY
from .wire import OWN_WIRE

__all__ = ["Gateway"]

REQUEST_REFUSED = define_event(
    600, "request_refused", "info", "A request was refused and did not run."
)
REQUEST_UNKNOWN = define_event(
    601, "request_unknown", "warning", "A request ended without a whole answer."
)
REQUEST_SERVED = define_event(602, "request_served", "info", "A request was answered.")

TRAINER_PREFIX = "/v1/"
# Entry of the WSGI environment with the request's entry among the running ones.
ACTIVE_KEY = "mulberryport.active"


def always(pool: str) -> bool:
    """Allow each retry."""
    return True


@define(eq=False)
class Gateway:
    """Serves callers.

    Parameters
    ----------
    holder : SnapshotHolder
        The tables in force.
    dispatcher : Dispatcher
        Gives requests to targets.
    counters : UsageCounters
        What was served, for usage reports.
    keys_usable : callable
        Whether withdrawn keys would be known here.
    trainers : callable
        WSGI application of the trainers' interface.
    may_retry : callable
        Takes a retry of a pool from its budget; False if the budget is spent.
    idempotency : IdempotencyService or None
        Records of idempotency keys.
    dialect : Dialect
        How callers and targets write requests and answers; by default that of the
        project's own interface.
    """

    holder: SnapshotHolder
    dispatcher: Dispatcher
    counters: UsageCounters
    keys_usable: Callable[[], bool]
    trainers: Callable[..., Iterable[bytes]]
    may_retry: Callable[[str], bool] = always
    idempotency: IdempotencyService | None = None
    dialect: Dialect = field(
        default=Factory(lambda self: own_dialect(self.serve_trainer), takes_self=True)
    )
    active: ActiveRequests = field(init=False)
    _targets: Targets = field(init=False)
    _closing: bool = False
    _refusing: bool = False

    def __attrs_post_init__(self) -> None:
        """Watch running requests against each new revision."""
        self.active = ActiveRequests(
            self.holder, self.keys_usable, has_waiting_requests
        )
        self._targets = Targets(
            self.dispatcher,
            lambda pool: self.may_retry(pool),
            self.dialect.wire,
            self._count_start,
        )
        self.holder.subscribe(lambda s: self.active.check_access(s.tables))

    def close_connections(self) -> None:
        """Serve on, but close each connection after its current answer."""
        self._closing = True

    def refuse_requests(self) -> None:
        """Refuse all requests that are read from now on; running ones go on."""
        self._closing = self._refusing = True

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        """Answer one request; a failure in mid-answer breaks the connection."""
        started = False

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            nonlocal started
            started = True
            self._mark_connection(environ)
            return start_response(status, headers)

        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self.active.register(_connection(environ), request_id) as active:
            try:
                yield from self._serve(environ, start, active)
                return
            except RefusalError as caught:
                error: RefusalError | OutcomeUnknownError = caught
            except OutcomeUnknownError as caught:
                error = caught
            except RequestEndedError as caught:
                error = _ended(caught, active, started)
            active.finish()
            self._log_failure(error, active)
            if started or active.caller_is_gone():
                # Without its end, the caller cannot take the answer for a whole one.
                raise error
            self._mark_connection(environ)
            yield from self.dialect.refuse(start_response, error)

    def _log_failure(
        self, error: RefusalError | OutcomeUnknownError, active: ActiveRequest
    ) -> None:
        if isinstance(error, RefusalError):
            require(not active.sent, "not_run_is_true", status=error.status)
            event = REQUEST_REFUSED
        else:
            event = REQUEST_UNKNOWN
        log(
            event,
            request=active.id,
            status=error.status,
            reason=str(error),
            revision=self.holder.snapshot.revision,
        )

    def _mark_connection(self, environ: dict[str, Any]) -> None:
        """Let the server close the connection after this answer, and say so."""
        if self._closing and PROTOCOL_KEY in environ:
            environ[PROTOCOL_KEY].close_connection = 1

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        active: ActiveRequest,
    ) -> Iterable[bytes]:
        if self._refusing:
            raise RefusalError(503, "this daemon is stopping")
        snapshot = self.holder.snapshot
        if not snapshot.revision:
            raise RefusalError(503, "no configuration was received yet")
        tables = snapshot.tables
        intercepted = self.dialect.intercept(environ, start_response, active)
        if intercepted is not None:
            return intercepted
        path, host = environ["PATH_INFO"], environ.get("HTTP_HOST", "")
        route = match_route(tables, path, host)
        if route is None:
            raise RefusalError(404, "no route has this path")
        key = self.dialect.find_key(environ)
        access = authorize(tables, route, key, self.keys_usable())
        active.admit(access)
        active.set_deadline(self.dialect.allowed_time(environ, route))
        is_secret = secret_finder(key, tables)
        call = CallerRequest(environ, start_response, active, access, is_secret)
        if route.batch is not None and self.dialect.submit is not None:
            return self.dialect.submit(call)
        if self._speaks_generation(route, tables):
            return self._generate(call)
        return self._forward(call)

    def serve_trainer(
        self, environ: dict[str, Any], start_response: StartResponse, active: Any
    ) -> Iterable[bytes] | None:
        """Answer a call of the trainers' interface; None for other calls."""
        path = environ["PATH_INFO"]
        if not path.startswith(TRAINER_PREFIX):
            return None
        # The interface checks the key; withdrawal ends its calls as well.
        key = self.dialect.find_key(environ)
        record = find_key(self.holder.snapshot.tables, key) if key else None
        active.key_digest = record.digest if record else ""
        # A pull changes nothing; the other calls may have taken effect.
        active.changes_state = not path.endswith("/pull")
        environ[ACTIVE_KEY] = active
        return self.trainers(environ, start_response)

    def _speaks_generation(self, route: Route, tables: Tables) -> bool:
        """Whether a route's requests are generations of the own interface."""
        if self.dialect.wire is not OWN_WIRE:
            return False
        return tables.pools[route.pool].kind == MODEL_ENGINE

    def _forward(self, call: CallerRequest) -> Iterable[bytes]:
        if _is_old_protocol(call.environ):
            # The end of an HTTP/1.0 answer cannot be told from a broken one.
            raise RefusalError(505, "HTTP/1.1 is required")
        request = self.dialect.outgoing(call, read_body(call.environ))
        work = self._work(call.access, restartable=call.idempotent)
        key = idempotency_key(call)
        patience = self.dialect.patience(call.access.route)
        if patience is not None and call.idempotent and request.body.whole:
            return self._run(
                call,
                lambda stack: open_raced_answer(
                    stack,
                    call,
                    request,
                    self._targets,
                    work,
                    lambda: _sent(call, False),
                    patience,
                ),
            )
        keyed = key is not None and self.idempotency is not None

        def open_(stack: ExitStack) -> tuple[Assignment, ForwardedAnswer]:
            return open_answer(
                stack, call, request, self._targets, work, lambda: _sent(call, keyed)
            )

        if keyed:
            return run_once(
                call,
                request,
                key,
                self.idempotency,
                open_,
                lambda view, answer: self._stream(call, view, answer),
            )
        return self._run(call, open_)

    def _run(self, call: CallerRequest, open_: Open) -> Iterator[bytes]:
        with ExitStack() as stack:
            yield from self._stream(call, *open_(stack))

    def _stream(
        self, call: CallerRequest, view: Assignment, answer: ForwardedAnswer
    ) -> Iterator[bytes]:
        """Yield an answer as it arrives; count it before its last byte."""
        call.start_response(f"{answer.status} {answer.reason}", answer.headers)
        count = partial(self._count, call, view)
        yield from call_before_last_byte(answer.body, answer.length, count)
        view.succeeded(answer.latency)

    def _generate(self, call: CallerRequest) -> Iterator[bytes]:
        request = parse_generation(call)
        work = self._work(call.access, prefix=request.prompt[:32], restartable=True)
        started = False
        try:
            for line in stream_generation(
                call,
                request,
                self._targets,
                work,
                lambda view, tokens: self._count(call, view, tokens),
            ):
                started = True
                yield line
        except (OutcomeUnknownError, RequestEndedError) as error:
            if started:
                yield error_line(str(error))
            raise

    def _count(self, call: CallerRequest, view: Assignment, tokens: int = 0) -> None:
        """Count an answer that is complete but for its last byte."""
        access = call.access
        log(
            REQUEST_SERVED,
            request=call.active.id,
            route=access.route.name,
            target=view.id,
            revision=self.holder.snapshot.revision,
        )
        if self.dialect.counts_starts:
            return
        counter = self.counters.add(
            access.workspace, access.route.pool, requests=1, tokens=tokens
        )
        self.counters.make_durable(counter)

    def _count_start(
        self, workspace: str, view: TargetView
    ) -> Callable[[], None] | None:
        """Return a function that counts a request in the window that it began in."""
        if not self.dialect.counts_starts or not workspace:
            return None
        started_at = self.counters.now()

        def count() -> None:
            counter = self.counters.add(workspace, view.pool, requests=1, at=started_at)
            self.counters.make_durable(counter)

        return count

    def _work(
        self, access: Access, prefix: str = "", restartable: bool = False
    ) -> WorkRequest:
        return WorkRequest(
            pool=access.route.select_pool(random.random()),
            workspace=access.workspace,
            priority=access.route.priority,
            deadline=boottime() + access.route.timeout,
            prefix=prefix,
            restartable=restartable,
        )


def _ended(
    cause: RequestEndedError, active: ActiveRequest, started: bool
) -> RefusalError | OutcomeUnknownError:
    """Return what the early end of a request means for its caller."""
    timed_out = cause.status == 504
    if active.sent or active.changes_state or started:
        return OutcomeUnknownError(504 if timed_out else 502, str(cause))
    return RefusalError(503 if timed_out else cause.status, str(cause))


def _sent(call: CallerRequest, keyed: bool) -> None:
    """Note that the first byte is about to be sent to a target."""
    if not call.idempotent:
        require(not call.active.sent, "non_idempotent_sent_once")
    call.active.sent += 1
    if keyed:
        # The answer is kept for the caller's retry, whether it waits or not.
        call.active.detach_caller()


def _connection(environ: dict[str, Any]) -> Any:
    """Return the caller's socket, None outside of the server."""
    wsgi_input = environ.get("eventlet.input")
    return wsgi_input.get_socket().fd if wsgi_input is not None else None


def _is_old_protocol(environ: dict[str, Any]) -> bool:
    protocol = environ.get(PROTOCOL_KEY)
    return protocol is not None and protocol.request_version != "HTTP/1.1"
