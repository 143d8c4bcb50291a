"""Client side of the peer protocol: a channel and a heartbeat task for each peer."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Any

import eventlet
from attrs import define, field
from grpclib.client import Channel, Stream
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..membership import Member, Members
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..runtime import boottime, run_coroutine
from ..runtime.waits import supervise
from ..runtime.wakeup import Wakeup
from ..runtime.wsgi import split_address
from ..telemetry import define as define_event
from ..telemetry import log, process_clock
from .notices import Notices
from .proto import peer_pb2
from .proto.peer_grpc import PeerStub
from .server import TOKEN_HEADER

__all__ = ["Peers", "call_address"]

EXCHANGE_ENDED = define_event(
    520,
    "peer_stream_ended",
    "info",
    "The heartbeat stream to a peer ended; reconnecting.",
)

# Three heartbeat periods. A connection can stop passing data for good while new
# connections to the same peer work, so it has to be replaced.
SILENCE_TIMEOUT_S = 3.0
RECONNECT_DELAY_S = 0.5
# Statuses with which a peer rejects a call before its handler runs.
NOT_RUN_STATUSES = (Status.UNAUTHENTICATED, Status.UNIMPLEMENTED)


@define(eq=False)
class PeerChannel:
    """The channel for calls to one peer."""

    address: str
    channel: Channel
    connected: bool = False


@define(eq=False)
class Peers:
    """Calls peers and exchanges heartbeats with them, one task for each neighbour.

    Parameters
    ----------
    members : Members
        Known members, from which the peers to connect to are taken.
    token : str
        Credential of the peer port.
    make_heartbeat : callable
        Returns the heartbeat to send to a member, and the members announced so far on
        its stream. Takes the member and the members announced before, None at the
        start of a stream.
    on_heartbeat : callable
        Called with each heartbeat that a peer sends back.
    notices : Notices or None
        Sends and receives news between heartbeats; None to do without.
    """

    members: Members
    token: str = field(repr=False)
    make_heartbeat: Callable[[Member, Any], tuple[peer_pb2.Heartbeat, Any]]
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None]
    notices: Notices | None = None
    _channels: dict[str, PeerChannel] = field(factory=dict)
    _tasks: dict[str, Any] = field(factory=dict)
    _stopping: bool = False

    def sender(self) -> peer_pb2.Sender:
        """Return the field that identifies this daemon and the time of sending."""
        member = self.members.self_member
        return peer_pb2.Sender(
            vm=member.vm,
            zone=member.zone,
            peer_address=member.peer_address,
            incarnation=member.incarnation,
            clock=process_clock.now(),
        )

    def call(self, vm: str, method: str, request: Any, timeout: float) -> Outcome[Any]:
        """Call a method of a member from a green thread and wait for the reply.

        Parameters
        ----------
        vm : str
            Id of the peer's VM.
        method : str
            Name of a unary method of the peer protocol.
        request : message
            Request message; this method sets its ``sender``.
        timeout : float
            Seconds to wait for the connection and again for the reply.
        """
        member = self.members.get(vm)
        if member is None:
            return NotDone(f"peer {vm} is not known")
        return self.call_member(member, method, request, timeout)

    def call_member(
        self, member: Member, method: str, request: Any, timeout: float
    ) -> Outcome[Any]:
        """Call a method of a daemon that need not be a known member.

        Parameters
        ----------
        member : Member
            Id and peer address of the daemon.
        method, request, timeout
            As for ``call``.
        """
        vm = member.vm
        request.sender.CopyFrom(self.sender())
        peer_channel = self._get_channel(member)
        try:
            if not peer_channel.connected:
                run_coroutine(peer_channel.channel.__connect__(), timeout)
                peer_channel.connected = True
        except (OSError, TimeoutError) as error:
            self._close_channel(vm, peer_channel)
            return NotDone(f"{method} at {vm}: cannot connect: {error!r}")
        try:
            reply = run_coroutine(
                getattr(PeerStub(peer_channel.channel), method)(
                    request, timeout=timeout, metadata=self._metadata()
                ),
                timeout + 1.0,
            )
        except GRPCError as error:
            if error.status in NOT_RUN_STATUSES:
                return NotDone(f"{method} at {vm}: {error.message}")
            return Unknown(f"{method} at {vm}: {error.status.name} {error.message}")
        except (
            OSError,
            TimeoutError,
            StreamTerminatedError,
            asyncio.CancelledError,
        ) as error:
            self._close_channel(vm, peer_channel)
            return Unknown(f"{method} at {vm}: {error!r}")
        process_clock.observe(reply.clock)
        return Done(reply)

    def update_heartbeat_tasks(self) -> None:
        """Start the missing heartbeat tasks and end those that are no longer needed."""
        wanted = {vm for vm in self.members.heartbeat_peers() if self._should_dial(vm)}
        for vm in wanted - self._tasks.keys():
            self._tasks[vm] = supervise(f"heartbeats {vm}", partial(self._run, vm))
        for vm in self._tasks.keys() - wanted:
            # Ending a task lets others run, which may end the same tasks.
            task = self._tasks.pop(vm, None)
            if task is None:
                continue
            task.kill()
            peer_channel = self._channels.pop(vm, None)
            if peer_channel is not None:
                peer_channel.channel.close()

    def stop(self) -> None:
        """Stop all heartbeat tasks and close all channels."""
        self._stopping = True
        for task in self._tasks.values():
            task.kill()
        for peer_channel in self._channels.values():
            peer_channel.channel.close()
        self._tasks, self._channels = {}, {}

    def _should_dial(self, vm: str) -> bool:
        """Return whether this daemon opens the heartbeat stream to a neighbour.

        One stream carries heartbeats in both directions, so only the daemon with the
        lower id opens it. The other one also does while it receives no heartbeats,
        because the first may not know about it yet.
        """
        member = self.members.get(vm)
        if member is None:
            return False
        is_heard = boottime() - member.heard_at < SILENCE_TIMEOUT_S
        return self.members.self_member.vm < vm or not is_heard or vm in self._tasks

    def _run(self, vm: str) -> None:
        """Exchange heartbeats with a peer and reconnect while it is a member."""
        while not self._stopping:
            member = self.members.get(vm)
            if member is None:
                return
            started_at = boottime()
            try:
                run_coroutine(self._exchange(member), None)
            except (
                OSError,
                TimeoutError,
                GRPCError,
                StreamTerminatedError,
                asyncio.CancelledError,
            ) as error:
                if boottime() - started_at > SILENCE_TIMEOUT_S + RECONNECT_DELAY_S:
                    log(EXCHANGE_ENDED, peer=vm, error=repr(error))
            eventlet.sleep(RECONNECT_DELAY_S)

    async def _exchange(self, member: Member) -> None:
        """Exchange heartbeats and notices on a new channel until it fails."""
        host, port = split_address(member.peer_address)
        channel = Channel(host, port)
        try:
            stub = PeerStub(channel)
            async with stub.Exchange.open(metadata=self._metadata()) as stream:
                answered, sending = Wakeup(), asyncio.Lock()
                await asyncio.wait_for(stream.send_request(), SILENCE_TIMEOUT_S)

                async def send(message: peer_pb2.Heartbeat) -> None:
                    async with sending:
                        await asyncio.wait_for(
                            stream.send_message(message), SILENCE_TIMEOUT_S
                        )

                await _run_until_first_ends(
                    self._send_heartbeats(member, send, answered),
                    self._receive_heartbeats(member, stream, send, answered),
                )
        finally:
            channel.close()

    async def _send_heartbeats(
        self,
        member: Member,
        send: Callable[[peer_pb2.Heartbeat], Awaitable[object]],
        answered: Wakeup,
    ) -> None:
        """Send heartbeats until one is not answered in time."""
        announced = None
        while True:
            answered.clear()
            heartbeat, announced = self.make_heartbeat(member, announced)
            heartbeat.accepts_notices = self.notices is not None
            await send(heartbeat)
            if not await answered.wait(SILENCE_TIMEOUT_S):
                raise TimeoutError("a heartbeat was not answered")
            await asyncio.sleep(self.members.heartbeat_period(member))

    async def _receive_heartbeats(
        self,
        member: Member,
        stream: Stream,
        send: Callable[[peer_pb2.Heartbeat], Awaitable[object]],
        answered: Wakeup,
    ) -> None:
        """Apply the answers and notices of a peer until it ends the stream."""
        notice_stream = None
        try:
            while (message := await stream.recv_message()) is not None:
                process_clock.observe(message.sender.clock)
                if message.notice:
                    if self.notices is not None:
                        self.notices.apply(message)
                    continue
                self.on_heartbeat(message)
                answered.set()
                if message.accepts_notices and notice_stream is None and self.notices:
                    notice_stream = self.notices.open_stream(member, send)
        finally:
            if self.notices is not None:
                self.notices.close_stream(notice_stream)

    def _get_channel(self, member: Member) -> PeerChannel:
        peer_channel = self._channels.get(member.vm)
        if peer_channel is None or peer_channel.address != member.peer_address:
            if peer_channel is not None:
                peer_channel.channel.close()
            host, port = split_address(member.peer_address)
            peer_channel = PeerChannel(member.peer_address, Channel(host, port))
            self._channels[member.vm] = peer_channel
        return peer_channel

    def _close_channel(self, vm: str, peer_channel: PeerChannel) -> None:
        """Close a channel that may be broken; the next call opens a new one."""
        if self._channels.get(vm) is peer_channel:
            del self._channels[vm]
        peer_channel.channel.close()

    def _metadata(self) -> dict[str, str]:
        return {TOKEN_HEADER: f"Bearer {self.token}"}


def call_address(
    address: str, token: str, method: str, request: Any, timeout: float
) -> Outcome[Any]:
    """Call a method of the daemon at an address, as a client that is no member.

    Parameters
    ----------
    address : str
        IP address and port of the daemon's peer protocol.
    token : str
        Credential of the peer port.
    method, request, timeout
        As for ``Peers.call``.
    """
    own = Member("command-line", "none", address)
    peers = Peers(Members(own), token, _no_heartbeats, _no_heartbeats)
    try:
        daemon = Member("daemon", "none", address)
        return peers.call_member(daemon, method, request, timeout)
    finally:
        peers.stop()


def _no_heartbeats(*_: object) -> Any:
    raise NotImplementedError("this client does not exchange heartbeats")


async def _run_until_first_ends(*coroutines: Coroutine[Any, Any, None]) -> None:
    """Run coroutines until one of them ends, and raise its exception."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    try:
        ended, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        # Also collects the exceptions, so that none is reported as never retrieved.
        await asyncio.gather(*tasks, return_exceptions=True)
    for task in ended:
        task.result()
