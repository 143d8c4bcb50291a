"""WSGI application of the caller port: authorizes, dispatches and meters requests."""

import random
from collections.abc import Callable, Iterable, Iterator
from contextlib import ExitStack
from functools import partial
from typing import Any

from attrs import Factory, define, evolve, field

from ..idempotency import IdempotencyService
from ..quarantine import CrashTable
from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..runtime.wsgi import StartResponse
from ..streams import StreamOrigin, StreamOrigins, stream_key
from ..tables import MODEL_ENGINE, Route, SnapshotHolder, Tables, find_key
from ..targets import Assignment, Dispatcher, TargetView, WorkRequest
from ..targets.engine_client import has_waiting_requests
from ..telemetry import define as define_event
from ..telemetry import log
from ..usage import UsageCounters, call_before_last_byte
from .access import Access, authorize
from .active import ActiveRequest, ActiveRequests, RequestAbortedError
from .bodies import read_body
from .calls import CallerRequest, TargetClient, open_hedged_response, open_response
from .credentials import secret_finder
from .dialect import Dialect, native_dialect
from .durations import RouteDurations
from .forwarding import ForwardedResponse
from .generation import error_line, parse_generation, stream_generation
from .once import ResponseOpener, idempotency_key, run_once
from .paths import AmbiguousPathError, match_route, request_path
from .refusals import OutcomeUnknownError, RefusalError
from .server import PROTOCOL_KEY
from .suspects import SuspectRequests
from .target_protocol import NATIVE_PROTOCOL, OutgoingRequest

__all__ = ["Gateway"]

REQUEST_REFUSED = define_event(
    600, "request_refused", "info", "A request was rejected without being run."
)
REQUEST_UNKNOWN = define_event(
    601,
    "request_unknown",
    "warning",
    "A request ended without a complete response; it may have run.",
)
REQUEST_SERVED = define_event(602, "request_served", "info", "A request was served.")

SUCCESS_STATUSES = range(200, 300)
TRAINER_PREFIX = "/v1/"
# Statuses after which callers do not repeat a request.
FINAL_STATUSES = frozenset({401, 403, 404})
# Key of the WSGI environment that holds the request's ``ActiveRequest``.
ACTIVE_KEY = "mulberryport.active"


def allow_retry(pool: str) -> bool:
    """Allow every retry, as if the retry budget were unlimited."""
    return True


@define(eq=False)
class Gateway:
    """WSGI application that forwards callers' requests to targets.

    Parameters
    ----------
    snapshot_holder : SnapshotHolder
        Current tables.
    dispatcher : Dispatcher
        Assigns requests to targets.
    counters : UsageCounters
        Usage counters of the served requests, for usage reports.
    keys_usable : callable
        Returns whether this daemon is up to date on withdrawn keys.
    trainers : callable
        WSGI application of the trainer API.
    is_behind : callable
        Returns whether another daemon has a newer configuration than this one.
    may_retry : callable
        Consumes one retry from a pool's retry budget; returns False if the budget is
        exhausted.
    idempotency : IdempotencyService or None
        Records of idempotency keys; None to ignore the keys.
    dialect : Dialect
        Format of requests and responses of callers and targets; by default that of
        the native API.
    crashes : CrashTable
        Requests that have crashed targets.
    origins : StreamOrigins or None
        Where streams of callers began; None if streams are not taken up.
    """

    snapshot_holder: SnapshotHolder
    dispatcher: Dispatcher
    counters: UsageCounters
    keys_usable: Callable[[], bool]
    trainers: Callable[..., Iterable[bytes]]
    is_behind: Callable[[], bool] = lambda: False
    may_retry: Callable[[str], bool] = allow_retry
    idempotency: IdempotencyService | None = None
    crashes: CrashTable = field(factory=CrashTable)
    origins: StreamOrigins | None = None
    dialect: Dialect = field(
        default=Factory(
            lambda self: native_dialect(self.serve_trainer), takes_self=True
        )
    )
    active: ActiveRequests = field(init=False)
    _target_client: TargetClient = field(init=False)
    _closes_connections: bool = False
    _refuses_requests: bool = False
    _ends_at: float = float("inf")
    _durations: RouteDurations = field(factory=RouteDurations)

    def __attrs_post_init__(self) -> None:
        """Subscribe to snapshots, to abort requests that a revision disallows."""
        self.active = ActiveRequests(
            self.snapshot_holder, self.keys_usable, has_waiting_requests
        )
        self._target_client = TargetClient(
            self.dispatcher,
            lambda pool: self.may_retry(pool),
            self.dialect.target_protocol,
            self._make_start_counter,
            SuspectRequests(self.dispatcher.directory, self.crashes),
        )
        self.snapshot_holder.subscribe(
            lambda s: self.active.abort_unauthorized(s.tables)
        )

    def close_connections(self, ends_at: float = float("inf")) -> None:
        """Keep serving, but close each connection after its current response.

        Parameters
        ----------
        ends_at : float
            Boot time at which the requests that still run are aborted. Requests of a
            route that lately took longer than the time until then are refused.
        """
        self._closes_connections, self._ends_at = True, ends_at

    def refuse_requests(self) -> None:
        """Reject all further requests; running requests continue."""
        self._closes_connections = self._refuses_requests = True

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        """Serve one request; a failure within the response breaks the connection."""
        has_started = False

        def start(status: str, headers: list[tuple[str, str]]) -> Any:
            nonlocal has_started
            has_started = True
            self._close_if_draining(environ)
            return start_response(status, headers)

        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        with self.active.register(_caller_socket(environ), request_id) as active:
            try:
                yield from self._serve(environ, start, active)
                return
            except RefusalError as caught:
                error: RefusalError | OutcomeUnknownError = caught
            except OutcomeUnknownError as caught:
                error = caught
            except RequestAbortedError as caught:
                error = _error_of_abort(caught, active, has_started)
            active.finish()
            self._log_failure(error, active)
            if has_started or active.is_caller_disconnected():
                # The missing end tells the caller that the response is incomplete.
                raise error
            self._close_if_draining(environ)
            yield from self.dialect.refuse(start_response, error)

    def _log_failure(
        self, error: RefusalError | OutcomeUnknownError, active: ActiveRequest
    ) -> None:
        if isinstance(error, RefusalError):
            require(not active.sent_attempts, "not_run_is_true", status=error.status)
            event = REQUEST_REFUSED
        else:
            event = REQUEST_UNKNOWN
        log(
            event,
            request=active.id,
            status=error.status,
            reason=str(error),
            revision=self.snapshot_holder.snapshot.revision,
        )

    def _close_if_draining(self, environ: dict[str, Any]) -> None:
        """Announce and close the connection after this response while draining."""
        if self._closes_connections and PROTOCOL_KEY in environ:
            environ[PROTOCOL_KEY].close_connection = 1

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        active: ActiveRequest,
    ) -> Iterable[bytes]:
        if self._refuses_requests:
            raise RefusalError(503, "this daemon is stopping")
        snapshot = self.snapshot_holder.snapshot
        if not snapshot.revision:
            raise RefusalError(503, "no configuration was received yet")
        tables = snapshot.tables
        intercepted = self.dialect.intercept(environ, start_response, active)
        if intercepted is not None:
            return intercepted
        access, key = self._authorize(environ, tables)
        route = access.route
        active.set_access(access)
        active.set_deadline(self.dialect.timeout_s(environ, route))
        is_secret = secret_finder(key, tables)
        call = CallerRequest(environ, start_response, active, access, is_secret)
        if route.batch is not None and self.dialect.submit is not None:
            return self.dialect.submit(call)
        if self._may_outlast_stop(route.name):
            raise RefusalError(503, "this daemon stops before the request may end")
        if self._serves_generation(route, tables):
            return self._generate(call)
        return self._forward(call)

    def _may_outlast_stop(self, route: str) -> bool:
        """Whether a planned stop may abort a request of a route that begins now."""
        if self._ends_at == float("inf"):
            return False
        return self._durations.longest_s(route) > self._ends_at - boottime()

    def _authorize(
        self, environ: dict[str, Any], tables: Tables
    ) -> tuple[Access, str | None]:
        """Return what a request is authorized for, and its key.

        Raises
        ------
        RefusalError
            The request is not authorized. The refusal is not final if a newer
            configuration may authorize it.
        """
        try:
            host = environ.get("HTTP_HOST", "")
            route = match_route(tables, request_path(environ), host)
            if route is None:
                raise RefusalError(404, "no route has this path")
            key = self.dialect.find_key(environ)
            return authorize(tables, route, key, self.keys_usable()), key
        except AmbiguousPathError as error:
            raise RefusalError(400, str(error)) from error
        except RefusalError as error:
            if error.status in FINAL_STATUSES and self.is_behind():
                reason = f"a newer configuration is not read yet; by this one, {error}"
                raise RefusalError(503, reason) from error
            raise

    def serve_trainer(
        self, environ: dict[str, Any], start_response: StartResponse, active: Any
    ) -> Iterable[bytes] | None:
        """Serve a call of the trainer API; return None for all other calls."""
        path = environ["PATH_INFO"]
        if not path.startswith(TRAINER_PREFIX):
            return None
        # The trainer API checks the key itself. The digest is set here so that a
        # withdrawal of the key aborts the call as well.
        key = self.dialect.find_key(environ)
        record = find_key(self.snapshot_holder.snapshot.tables, key) if key else None
        active.key_digest = record.digest if record else ""
        # A pull changes no state; any other call may have taken effect.
        active.changes_state = not path.endswith("/pull")
        environ[ACTIVE_KEY] = active
        return self.trainers(environ, start_response)

    def _serves_generation(self, route: Route, tables: Tables) -> bool:
        """Return whether a route serves generation requests of the native API."""
        if self.dialect.target_protocol is not NATIVE_PROTOCOL:
            return False
        return tables.pools[route.pool].kind == MODEL_ENGINE

    def _forward(self, call: CallerRequest) -> Iterable[bytes]:
        if _is_older_than_http_1_1(call.environ):
            # The end of an HTTP/1.0 response is indistinguishable from a broken
            # connection.
            raise RefusalError(505, "HTTP/1.1 is required")
        request = self.dialect.make_outgoing_request(call, read_body(call.environ))
        work = self._make_work_request(call.access, restartable=call.is_idempotent)
        work = evolve(work, deadline=min(work.deadline, request.deadline))
        key = idempotency_key(call)
        if call.access.route.streaming and self.origins is not None:
            return self._forward_stream(call, request, work)
        hedge_delay_s = self.dialect.hedge_delay_s(call.access.route)
        if (
            hedge_delay_s is not None
            and call.is_idempotent
            and request.body.is_fully_buffered
        ):
            return self._stream_opened(
                call,
                lambda stack: open_hedged_response(
                    stack,
                    call,
                    request,
                    self._target_client,
                    work,
                    lambda: _record_sent(call, False),
                    hedge_delay_s,
                ),
            )
        has_key = key is not None and self.idempotency is not None

        def open_target_response(
            stack: ExitStack,
        ) -> tuple[Assignment, ForwardedResponse]:
            return open_response(
                stack,
                call,
                request,
                self._target_client,
                work,
                lambda: _record_sent(call, has_key),
            )

        if has_key:
            return run_once(
                call,
                request,
                key,
                self.idempotency,
                open_target_response,
                lambda assignment, response: self._stream_response(
                    call, assignment, response
                ),
            )
        return self._stream_opened(call, open_target_response)

    def _forward_stream(
        self, call: CallerRequest, request: OutgoingRequest, work: WorkRequest
    ) -> Iterator[bytes]:
        """Forward a stream; one that is taken up goes on where its software runs."""
        assert self.origins is not None
        resumed = self.dialect.resumed_attempt(call.environ)
        workspace = call.access.workspace
        if resumed is not None:
            key = stream_key(workspace, resumed) if resumed else ""
            work = self._bind_to_origin(call, key, work)
        with ExitStack() as stack:
            assignment, response = open_response(
                stack,
                call,
                request,
                self._target_client,
                work,
                lambda: _record_sent(call, False),
            )
            is_replaced = self.dispatcher.directory.is_replaced(assignment.view)
            if resumed is not None and is_replaced:
                raise OutcomeUnknownError(
                    502, f"target {assignment.id} was replaced under its id"
                )
            is_stream = response.status in SUCCESS_STATUSES
            if is_stream and resumed is not None:
                self._record_resumption(key, call, assignment)
            elif is_stream:
                request_id = call.active.id
                key = stream_key(workspace, request_id) if request_id else ""
                self._record_origin(key, call, assignment, is_replaced)
            yield from self._stream_response(call, assignment, response)
            if is_stream:
                self.origins.end(key)

    def _bind_to_origin(
        self, call: CallerRequest, key: str, work: WorkRequest
    ) -> WorkRequest:
        """Return the work of a stream that is taken up, bound to where it began.

        Raises
        ------
        RefusalError
            It is not known where the stream began, or no target in service runs that
            software version.
        """
        assert self.origins is not None
        route = call.access.route
        origin = self.origins.find(key, route.name, route.timeout)
        if origin is None:
            raise RefusalError(503, "it is not known which software began the stream")
        if origin.pool not in {route.pool, *(share.pool for share in route.split)}:
            raise RefusalError(
                503, f"the route no longer leads to pool {origin.pool}, where it began"
            )
        directory = self.dispatcher.directory
        if not directory.serves_software(origin.pool, origin.software):
            raise RefusalError(
                503,
                f"no target in service runs software {origin.software}, which began "
                "the stream",
            )
        return evolve(work, pool=origin.pool, software=origin.software)

    def _record_origin(
        self, key: str, call: CallerRequest, assignment: Assignment, is_replaced: bool
    ) -> None:
        assert self.origins is not None
        timeout = call.access.route.timeout
        route, pool = call.access.route.name, assignment.pool
        origin = StreamOrigin(pool, assignment.software)
        if not key:
            # Nobody can name this stream, but it may be of another version than others.
            self.origins.begin_unknown(route, {origin})
        elif is_replaced:
            views = self.dispatcher.directory.views(pool)
            listed = {StreamOrigin(pool, view.software) for view in views}
            self.origins.begin_unknown(route, {origin, *listed})
        else:
            self.origins.begin(key, route, origin, timeout)

    def _record_resumption(
        self, key: str, call: CallerRequest, assignment: Assignment
    ) -> None:
        assert self.origins is not None
        route = call.access.route
        origin = StreamOrigin(assignment.pool, assignment.software)
        if key:
            self.origins.resume(key, route.name, origin, route.timeout)

    def _stream_opened(
        self, call: CallerRequest, open_target_response: ResponseOpener
    ) -> Iterator[bytes]:
        with ExitStack() as stack:
            yield from self._stream_response(call, *open_target_response(stack))

    def _stream_response(
        self, call: CallerRequest, assignment: Assignment, response: ForwardedResponse
    ) -> Iterator[bytes]:
        """Yield a response as it arrives; record its usage before its last byte."""
        call.start_response(f"{response.status} {response.reason}", response.headers)
        record = partial(self._record_served, call, assignment)
        yield from call_before_last_byte(response.body, response.length, record)
        assignment.succeeded(response.latency)

    def _generate(self, call: CallerRequest) -> Iterator[bytes]:
        request = parse_generation(call)
        work = self._make_work_request(
            call.access, prefix=request.prompt[:32], restartable=True
        )
        has_started = False
        try:
            for line in stream_generation(
                call,
                request,
                self._target_client,
                work,
                lambda assignment, tokens: self._record_served(
                    call, assignment, tokens
                ),
            ):
                has_started = True
                yield line
        except (OutcomeUnknownError, RequestAbortedError) as error:
            if has_started:
                yield error_line(str(error))
            raise

    def _record_served(
        self, call: CallerRequest, assignment: Assignment, tokens: int = 0
    ) -> None:
        """Log and meter a response of which only the last byte is still to be sent."""
        access = call.access
        duration_s = boottime() - call.active.started_at
        self._durations.record(access.route.name, duration_s)
        log(
            REQUEST_SERVED,
            request=call.active.id,
            route=access.route.name,
            target=assignment.id,
            revision=self.snapshot_holder.snapshot.revision,
        )
        if self.dialect.counts_started_requests:
            return
        counter = self.counters.add(
            access.workspace, access.route.pool, requests=1, tokens=tokens
        )
        self.counters.make_durable(counter)

    def _make_start_counter(
        self, workspace: str, view: TargetView
    ) -> Callable[[], None] | None:
        """Return a function that meters a request in the window in which it started.

        Returns None if usage does not count started requests, or has no workspace to
        count this one for.
        """
        if not self.dialect.counts_started_requests or not workspace:
            return None
        started_at = self.counters.now()

        def count_start() -> None:
            counter = self.counters.add(workspace, view.pool, requests=1, at=started_at)
            self.counters.make_durable(counter)

        return count_start

    def _make_work_request(
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


def _error_of_abort(
    cause: RequestAbortedError, active: ActiveRequest, has_started: bool
) -> RefusalError | OutcomeUnknownError:
    """Return the error that an aborted request has for its caller."""
    timed_out = cause.status == 504
    if active.sent_attempts or active.changes_state or has_started:
        return OutcomeUnknownError(504 if timed_out else 502, str(cause))
    return RefusalError(503 if timed_out else cause.status, str(cause))


def _record_sent(call: CallerRequest, has_key: bool) -> None:
    """Record that the first byte is about to be sent to a target."""
    if not call.is_idempotent:
        require(not call.active.sent_attempts, "non_idempotent_sent_once")
    call.active.sent_attempts += 1
    if has_key:
        # The response is stored for a retry, so it is read to its end even if the
        # caller disconnects.
        call.active.detach_caller()


def _caller_socket(environ: dict[str, Any]) -> Any:
    """Return the caller's socket; None if the server is not eventlet's."""
    wsgi_input = environ.get("eventlet.input")
    return wsgi_input.get_socket().fd if wsgi_input is not None else None


def _is_older_than_http_1_1(environ: dict[str, Any]) -> bool:
    protocol = environ.get(PROTOCOL_KEY)
    return protocol is not None and protocol.request_version != "HTTP/1.1"
