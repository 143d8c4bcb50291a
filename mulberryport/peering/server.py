"""The peer port: answers calls of other daemons.

Every call must carry the peer token in its metadata. Handlers are plain
functions that parts of the daemon register by method name; they run in green
threads, so that they may block.
"""

import hmac
from collections.abc import Callable
from typing import Any

from attrs import define, field
from grpclib.const import Status
from grpclib.events import RecvRequest
from grpclib.events import listen as listen_event
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from ..runtime import await_green, run_coroutine
from ..runtime.wsgi import split_address
from ..telemetry import define as define_event
from ..telemetry import log, process_clock
from .proto import peer_pb2
from .proto.peer_grpc import PeerBase

__all__ = ["PeerServer"]

REFUSED = define_event(
    510, "peer_refused", "warning", "A peer call without the peer token was refused."
)
HANDLER_FAILED = define_event(
    511, "peer_handler_failed", "error", "A handler of a peer call raised."
)

START_TIMEOUT_S = 10.0
TOKEN_HEADER = "authorization"

Handler = Callable[[Any], Any]
# Takes a heartbeat and the members last told on its stream, and returns the answer
# and the members told by then.
HeartbeatHandler = Callable[[peer_pb2.Heartbeat, Any], tuple[peer_pb2.Heartbeat, Any]]


@define(eq=False)
class PeerServer:
    """The listening side of the peer protocol.

    Parameters
    ----------
    address : str
        IP number and port to listen on.
    token : str
        Credential that every call must carry.
    """

    address: str
    token: str = field(repr=False)
    _handlers: dict[str, Handler] = field(factory=dict)
    _server: Server | None = None

    def register(self, method: str, handler: Handler) -> None:
        """Answer a method of the protocol with a function of its request."""
        self._handlers[method] = handler

    def start(self) -> None:
        """Listen on the peer port."""
        server = Server([_Service(self._handlers)])
        listen_event(server, RecvRequest, self._check_token)
        host, port = split_address(self.address)
        run_coroutine(server.start(host, port), START_TIMEOUT_S)
        self._server = server

    def stop(self) -> None:
        """Stop listening and end running calls."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def _check_token(self, event: RecvRequest) -> None:
        sent = event.metadata.get(TOKEN_HEADER, "")
        if not isinstance(sent, str) or not hmac.compare_digest(
            sent.encode(), f"Bearer {self.token}".encode()
        ):
            log(REFUSED, method=event.method_name)
            raise GRPCError(Status.UNAUTHENTICATED, "peer token is missing or wrong")


def _unary(method: str) -> Any:
    """Return the coroutine of one unary method."""

    async def serve(self: "_Service", stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no request message")
        process_clock.observe(request.sender.clock)
        handler = self.handlers.get(method)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, f"{method} is not served here")
        try:
            reply = await await_green(handler, request)
        except Exception as error:
            log(HANDLER_FAILED, method=method, error=repr(error))
            raise GRPCError(Status.INTERNAL, f"{method} failed") from error
        reply.clock = process_clock.now()
        await stream.send_message(reply)

    return serve


class _Service(PeerBase):
    """Adapts the registered handlers to the generated service."""

    def __init__(self, handlers: dict[str, Handler]) -> None:
        self.handlers = handlers

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Answer each heartbeat with one of this daemon."""
        answer: HeartbeatHandler | None = self.handlers.get("Exchange")
        if answer is None:
            raise GRPCError(Status.UNIMPLEMENTED, "Exchange is not served here")
        told = None
        async for heartbeat in stream:
            process_clock.observe(heartbeat.sender.clock)
            reply, told = answer(heartbeat, told)
            await stream.send_message(reply)

    FetchConfig = _unary("FetchConfig")
    OpenStep = _unary("OpenStep")
    PullSamples = _unary("PullSamples")
    CloseStep = _unary("CloseStep")
    ReplicateSamples = _unary("ReplicateSamples")
    FetchReplica = _unary("FetchReplica")
    MergeUsage = _unary("MergeUsage")
    CollectUsage = _unary("CollectUsage")
    ClaimIdempotency = _unary("ClaimIdempotency")
    CompleteIdempotency = _unary("CompleteIdempotency")
    HandOverIdempotency = _unary("HandOverIdempotency")
    CallStore = _unary("CallStore")
    FollowKeys = _unary("FollowKeys")
    KeepJob = _unary("KeepJob")
    SubmitJob = _unary("SubmitJob")
    ReadJob = _unary("ReadJob")
    StopJob = _unary("StopJob")
