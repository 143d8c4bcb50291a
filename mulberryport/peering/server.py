"""Server side of the peer protocol: answers calls of other daemons.

Every call must carry the peer token in its metadata. Handlers are plain functions that
are registered by method name. Those of unary methods run in green threads and may
block.
"""

import asyncio
import hmac
from collections.abc import Callable
from typing import Any

from attrs import define, field
from grpclib.const import Status
from grpclib.events import RecvRequest
from grpclib.events import listen as listen_event
from grpclib.exceptions import GRPCError
from grpclib.server import Server, Stream

from ..membership import Member
from ..runtime import run_coroutine, run_in_green_thread
from ..runtime.wsgi import split_address
from ..telemetry import define as define_event
from ..telemetry import log, process_clock
from .notices import Notices
from .proto import peer_pb2
from .proto.peer_grpc import PeerBase

__all__ = ["PeerServer"]

REFUSED = define_event(
    510, "peer_refused", "warning", "Refused a peer call without a valid peer token."
)
HANDLER_FAILED = define_event(
    511,
    "peer_handler_failed",
    "error",
    "The handler of a peer call raised an exception.",
)

START_TIMEOUT_S = 10.0
TOKEN_HEADER = "authorization"

Handler = Callable[[Any], Any]
# Takes a heartbeat and the members announced so far on its stream, and returns the
# heartbeat to answer with and the members announced by then. It must not block.
HeartbeatHandler = Callable[[peer_pb2.Heartbeat, Any], tuple[peer_pb2.Heartbeat, Any]]


@define(eq=False)
class PeerServer:
    """Listens on the peer port and passes calls to the registered handlers.

    Parameters
    ----------
    address : str
        IP address and port to listen on.
    token : str
        Peer token that every call must carry.
    notices : Notices or None
        Sends and receives news between heartbeats; None to do without.
    """

    address: str
    token: str = field(repr=False)
    notices: Notices | None = None
    _handlers: dict[str, Handler] = field(factory=dict)
    _server: Server | None = None

    def register(self, method: str, handler: Handler) -> None:
        """Register the function that returns the reply to a request of a method."""
        self._handlers[method] = handler

    def start(self) -> None:
        """Start to listen on the peer port."""
        server = Server([_PeerService(self._handlers, self.notices)])
        listen_event(server, RecvRequest, self._check_token)
        host, port = split_address(self.address)
        run_coroutine(server.start(host, port), START_TIMEOUT_S)
        self._server = server

    def stop(self) -> None:
        """Stop listening and abort the calls in progress."""
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


def _unary_method(method: str) -> Any:
    """Return the coroutine function that serves one unary method."""

    async def serve(self: "_PeerService", stream: Stream) -> None:
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "no request message")
        process_clock.observe(request.sender.clock)
        handler = self.handlers.get(method)
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, f"{method} is not served here")
        try:
            reply = await run_in_green_thread(handler, request)
        except Exception as error:
            log(HANDLER_FAILED, method=method, error=repr(error))
            raise GRPCError(Status.INTERNAL, f"{method} failed") from error
        reply.clock = process_clock.now()
        await stream.send_message(reply)

    return serve


class _PeerService(PeerBase):
    """Implements the generated service with the registered handlers."""

    def __init__(self, handlers: dict[str, Handler], notices: Notices | None) -> None:
        self.handlers = handlers
        self.notices = notices

    async def Exchange(self, stream: Stream) -> None:  # noqa: N802
        """Reply to each heartbeat of a peer with one of this daemon."""
        handler: HeartbeatHandler | None = self.handlers.get("Exchange")
        if handler is None:
            raise GRPCError(Status.UNIMPLEMENTED, "Exchange is not served here")
        announced, notices, notice_stream = None, self.notices, None
        sending = asyncio.Lock()

        async def send(message: peer_pb2.Heartbeat) -> None:
            async with sending:
                await stream.send_message(message)

        try:
            async for heartbeat in stream:
                process_clock.observe(heartbeat.sender.clock)
                if heartbeat.notice:
                    if notices is not None:
                        notices.apply(heartbeat)
                    continue
                reply, announced = handler(heartbeat, announced)
                reply.accepts_notices = notices is not None
                await send(reply)
                if heartbeat.accepts_notices and notice_stream is None and notices:
                    peer = _sender_member(heartbeat.sender)
                    notice_stream = notices.open_stream(peer, send)
        finally:
            if notices is not None:
                notices.close_stream(notice_stream)

    FetchConfig = _unary_method("FetchConfig")
    OpenStep = _unary_method("OpenStep")
    PullSamples = _unary_method("PullSamples")
    CloseStep = _unary_method("CloseStep")
    ReplicateSamples = _unary_method("ReplicateSamples")
    FetchReplica = _unary_method("FetchReplica")
    MergeUsage = _unary_method("MergeUsage")
    CollectUsage = _unary_method("CollectUsage")
    ClaimIdempotency = _unary_method("ClaimIdempotency")
    CompleteIdempotency = _unary_method("CompleteIdempotency")
    HandOverIdempotency = _unary_method("HandOverIdempotency")
    CallStore = _unary_method("CallStore")
    FollowKeys = _unary_method("FollowKeys")
    KeepJob = _unary_method("KeepJob")
    HoldsJob = _unary_method("HoldsJob")
    SubmitJob = _unary_method("SubmitJob")
    ReadJob = _unary_method("ReadJob")
    StopJob = _unary_method("StopJob")
    ListCrashes = _unary_method("ListCrashes")
    LiftBlock = _unary_method("LiftBlock")
    AcquirePermit = _unary_method("AcquirePermit")
    KeepStreamOrigins = _unary_method("KeepStreamOrigins")
    FindStreamOrigin = _unary_method("FindStreamOrigin")


def _sender_member(sender: peer_pb2.Sender) -> Member:
    return Member(sender.vm, sender.zone, sender.peer_address, sender.incarnation)
