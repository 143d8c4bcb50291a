"""The calling side of the peer protocol: one task and one channel for each peer."""

import asyncio
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..membership import Member, Members
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..runtime import boottime, run_coroutine
from ..runtime.wsgi import split_address
from ..telemetry import define as define_event
from ..telemetry import log, process_clock
from .proto import peer_pb2
from .proto.peer_grpc import PeerStub
from .server import TOKEN_HEADER

__all__ = ["Peers"]

EXCHANGE_ENDED = define_event(
    520, "peer_stream_ended", "info", "The stream to a peer ended and is opened again."
)

# Three heartbeats; a connection can go silent for good while new ones work.
SILENCE_TIMEOUT_S = 3.0
RECONNECT_DELAY_S = 0.5
# Statuses that prove that the handler did not run.
NOT_RUN_STATUSES = (Status.UNAUTHENTICATED, Status.UNIMPLEMENTED)


@define(eq=False)
class Link:
    """The channel to one peer."""

    address: str
    channel: Channel
    connected: bool = False


@define(eq=False)
class Peers:
    """Channels to all peers, with one task that exchanges heartbeats for each.

    Parameters
    ----------
    members : Members
        Whom to talk to.
    token : str
        Credential of the peer port.
    make_heartbeat : callable
        Returns the heartbeat to send to a member and the members told by then, given
        the members that were told on the same stream before, None at its start.
    on_heartbeat : callable
        Called with each heartbeat received.
    """

    members: Members
    token: str = field(repr=False)
    make_heartbeat: Callable[[Member, Any], tuple[peer_pb2.Heartbeat, Any]]
    on_heartbeat: Callable[[peer_pb2.Heartbeat], None]
    _links: dict[str, Link] = field(factory=dict)
    _tasks: dict[str, Any] = field(factory=dict)
    _stopping: bool = False

    def sender(self) -> peer_pb2.Sender:
        """Return the part of a message that tells who sent it and when."""
        member = self.members.self_member
        return peer_pb2.Sender(
            vm=member.vm,
            zone=member.zone,
            peer_address=member.peer_address,
            incarnation=member.incarnation,
            clock=process_clock.now(),
        )

    def call(self, vm: str, method: str, request: Any, timeout: float) -> Outcome[Any]:
        """Call a method of a peer from a green thread.

        Parameters
        ----------
        vm : str
            Id of the peer's VM.
        method : str
            Name of a unary method of the protocol.
        request : message
            Its ``sender`` is filled in.
        timeout : float
            Seconds.
        """
        member = self.members.get(vm)
        if member is None:
            return NotDone(f"peer {vm} is not known")
        return self.call_member(member, method, request, timeout)

    def call_member(
        self, member: Member, method: str, request: Any, timeout: float
    ) -> Outcome[Any]:
        """Call a method of a daemon that need not be one of the members.

        Parameters
        ----------
        member : Member
            Id and peer address of the daemon.
        method, request, timeout
            As for ``call``.
        """
        vm = member.vm
        request.sender.CopyFrom(self.sender())
        link = self._link(member)
        try:
            if not link.connected:
                run_coroutine(link.channel.__connect__(), timeout)
                link.connected = True
        except (OSError, TimeoutError) as error:
            self._drop(vm, link)
            return NotDone(f"{method} at {vm}: cannot connect: {error!r}")
        try:
            reply = run_coroutine(
                getattr(PeerStub(link.channel), method)(
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
            self._drop(vm, link)
            return Unknown(f"{method} at {vm}: {error!r}")
        process_clock.observe(reply.clock)
        return Done(reply)

    def update(self) -> None:
        """Start a task for each neighbour to dial and end obsolete ones."""
        wanted = {vm for vm in self.members.heartbeat_peers() if self._dials(vm)}
        for vm in wanted - self._tasks.keys():
            self._tasks[vm] = eventlet.spawn(self._run, vm)
        for vm in self._tasks.keys() - wanted:
            self._tasks.pop(vm).kill()
            link = self._links.pop(vm, None)
            if link is not None:
                link.channel.close()

    def stop(self) -> None:
        """End all tasks and close all channels."""
        self._stopping = True
        for task in self._tasks.values():
            task.kill()
        for link in self._links.values():
            link.channel.close()
        self._tasks, self._links = {}, {}

    def _dials(self, vm: str) -> bool:
        """Return whether this daemon opens the stream to a neighbour.

        One stream serves both directions, so the one with the lower id dials. The
        other one does so too while it hears nothing, since the first may not know
        of it.
        """
        member = self.members.get(vm)
        if member is None:
            return False
        heard = boottime() - member.heard_at < SILENCE_TIMEOUT_S
        return self.members.self_member.vm < vm or not heard or vm in self._tasks

    def _run(self, vm: str) -> None:
        """Exchange heartbeats with a peer until it is forgotten."""
        while not self._stopping:
            member = self.members.get(vm)
            if member is None:
                return
            started = boottime()
            try:
                run_coroutine(self._exchange(member), None)
            except (
                OSError,
                TimeoutError,
                GRPCError,
                StreamTerminatedError,
                asyncio.CancelledError,
            ) as error:
                if boottime() - started > SILENCE_TIMEOUT_S + RECONNECT_DELAY_S:
                    log(EXCHANGE_ENDED, peer=vm, error=repr(error))
            eventlet.sleep(RECONNECT_DELAY_S)

    async def _exchange(self, member: Member) -> None:
        """Send a heartbeat each period and take the answers, on a fresh channel."""
        host, port = split_address(member.peer_address)
        channel = Channel(host, port)
        try:
            stub = PeerStub(channel)
            async with stub.Exchange.open(metadata=self._metadata()) as stream:
                told = None
                while True:
                    heartbeat, told = self.make_heartbeat(member, told)
                    await asyncio.wait_for(
                        stream.send_message(heartbeat), SILENCE_TIMEOUT_S
                    )
                    answer = await asyncio.wait_for(
                        stream.recv_message(), SILENCE_TIMEOUT_S
                    )
                    if answer is None:
                        return
                    process_clock.observe(answer.sender.clock)
                    self.on_heartbeat(answer)
                    await asyncio.sleep(self.members.heartbeat_period(member))
        finally:
            channel.close()

    def _link(self, member: Member) -> Link:
        link = self._links.get(member.vm)
        if link is None or link.address != member.peer_address:
            if link is not None:
                link.channel.close()
            host, port = split_address(member.peer_address)
            link = Link(member.peer_address, Channel(host, port))
            self._links[member.vm] = link
        return link

    def _drop(self, vm: str, link: Link) -> None:
        """Close a channel that may be dead; the next call opens a fresh one."""
        if self._links.get(vm) is link:
            del self._links[vm]
        link.channel.close()

    def _metadata(self) -> dict[str, str]:
        return {TOKEN_HEADER: f"Bearer {self.token}"}
