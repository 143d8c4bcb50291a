"""The caller port: admits requests and answers them."""

import secrets
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import orjson
from attrs import define

from ..runtime.clock import boottime
from ..runtime.wsgi import BadRequestError, StartResponse, read_json
from ..tables import MODEL_ENGINE, SnapshotHolder
from ..targets import Dispatcher, ShedError, WorkRequest
from ..targets.engine_client import (
    GenerationRequest,
    NotStartedError,
    StreamError,
    generate,
)
from ..telemetry import define as define_event
from ..telemetry import log
from ..usage import UsageCounters, before_last_byte
from .access import Access, authorize, match_route
from .credentials import find_credential, forwardable_headers, forwardable_query
from .forwarding import forward
from .headers import request_headers
from .refusals import OutcomeUnknownError, RefusalError, refuse

__all__ = ["Gateway"]

REQUEST_REFUSED = define_event(
    600, "request_refused", "info", "A request was refused and did not run."
)
REQUEST_UNKNOWN = define_event(
    601, "request_unknown", "warning", "A request ended without a whole answer."
)
REQUEST_SERVED = define_event(602, "request_served", "info", "A request was answered.")

TRAINER_PREFIX = "/v1/"
MAX_TOKENS = 65536


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
    """

    holder: SnapshotHolder
    dispatcher: Dispatcher
    counters: UsageCounters
    keys_usable: Callable[[], bool]
    trainers: Callable[..., Iterable[bytes]]

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        """Answer one request; a failure in mid-answer breaks the connection."""
        started = False

        def start(*args: Any) -> Any:
            nonlocal started
            started = True
            return start_response(*args)

        try:
            yield from self._serve(environ, start, environ["PATH_INFO"])
        except RefusalError as error:
            log(REQUEST_REFUSED, status=error.status, reason=str(error))
            yield from refuse(start_response, error)
        except OutcomeUnknownError as error:
            log(REQUEST_UNKNOWN, status=error.status, reason=str(error))
            if started:
                raise
            yield from refuse(start_response, error)

    def _serve(
        self, environ: dict[str, Any], start_response: StartResponse, path: str
    ) -> Iterable[bytes]:
        if path.startswith(TRAINER_PREFIX):
            return self.trainers(environ, start_response)
        tables = self.holder.snapshot.tables
        route = match_route(tables, path)
        if route is None:
            raise RefusalError(404, "no route has this path")
        key = find_credential(request_headers(environ), environ.get("QUERY_STRING", ""))
        access = authorize(tables, route, key, self.keys_usable())
        pool = tables.pools[route.pool]
        if pool.kind == MODEL_ENGINE:
            return self._generate(environ, start_response, access)
        return self._forward(environ, start_response, access, path)

    def _forward(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        access: Access,
        path: str,
    ) -> Iterator[bytes]:
        work = self._work(access)
        query = forwardable_query(environ.get("QUERY_STRING", ""))
        headers = forwardable_headers(request_headers(environ))
        body = None
        if environ.get("CONTENT_LENGTH"):
            headers.append(("Content-Length", environ["CONTENT_LENGTH"]))
            body = environ["wsgi.input"]
        elif environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
            body = environ["wsgi.input"]
        try:
            with self.dispatcher.assign(work) as view:
                answer = forward(
                    view,
                    environ["REQUEST_METHOD"],
                    f"{path}?{query}" if query else path,
                    headers,
                    body,
                    access.route.timeout,
                )
                start_response(f"{answer.status} {answer.reason}", answer.headers)
                lengths = [
                    v for n, v in answer.headers if n.lower() == "content-length"
                ]
                yield from before_last_byte(
                    answer.body,
                    int(lengths[0]) if lengths else None,
                    lambda: self.counters.settle(
                        self.counters.add(
                            access.workspace, access.route.pool, requests=1
                        )
                    ),
                )
                log(REQUEST_SERVED, route=access.route.name, target=view.id)
        except ShedError as error:
            raise RefusalError(503, str(error)) from error

    def _generate(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        access: Access,
    ) -> Iterator[bytes]:
        request = parse_generation(environ, access)
        work = self._work(access, request.prompt)
        try:
            with self.dispatcher.assign(work) as view:
                offset = 0
                start_response("200 OK", [("Content-Type", "application/x-ndjson")])
                for chunk in generate(view.address, request, access.route.timeout):
                    yield _line(
                        offset=offset, tokens=chunk.tokens, version=chunk.version
                    )
                    offset += len(chunk.tokens)
                self.counters.settle(
                    self.counters.add(
                        access.workspace, access.route.pool, requests=1, tokens=offset
                    )
                )
                log(REQUEST_SERVED, route=access.route.name, target=view.id)
                yield _line(done=True, length=offset)
        except ShedError as error:
            raise RefusalError(503, str(error)) from error
        except NotStartedError as error:
            raise RefusalError(503, "the engine cannot be reached") from error
        except StreamError as error:
            raise OutcomeUnknownError(502, "the engine's stream broke") from error

    def _work(self, access: Access, prompt: str = "") -> WorkRequest:
        return WorkRequest(
            pool=access.route.pool,
            workspace=access.workspace,
            priority=access.route.priority,
            deadline=boottime() + access.route.timeout,
            prefix=prompt[:32],
        )


def parse_generation(environ: dict[str, Any], access: Access) -> GenerationRequest:
    """Return the generation that a caller asks for.

    Raises
    ------
    RefusalError
        The body is malformed.
    """
    try:
        body = read_json(environ)
        prompt, max_tokens = body["prompt"], body.get("max_tokens", 16)
        if not isinstance(prompt, str) or not isinstance(max_tokens, int):
            raise BadRequestError("prompt must be text and max_tokens a whole number")
        if not 0 < max_tokens <= MAX_TOKENS:
            raise BadRequestError(f"max_tokens must be from 1 to {MAX_TOKENS}")
    except (BadRequestError, TypeError, KeyError, AttributeError) as error:
        raise RefusalError(400, f"not a generation request: {error}") from error
    return GenerationRequest(
        secrets.token_hex(8), prompt, max_tokens, access.route.priority
    )


def _line(**values: object) -> bytes:
    return orjson.dumps(values) + b"\n"
