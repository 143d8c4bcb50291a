"""News for peers that must not wait for the next heartbeat.

A notice is sent on the open heartbeat stream, by either side, without an answer. A peer
states in its heartbeats that it accepts notices, because versions without them would
take a notice for an answer.
"""

import asyncio
from collections.abc import Awaitable, Callable

from attrs import define, field
from grpclib.exceptions import GRPCError, StreamTerminatedError

from ..membership import Member
from ..runtime.wakeup import Wakeup
from ..telemetry import define as define_event
from ..telemetry import log
from .proto import peer_pb2

__all__ = ["MIN_NOTICE_INTERVAL_S", "NoticeStream", "Notices"]

NOTICE_FAILED = define_event(
    521,
    "peer_notice_failed",
    "info",
    "A notice could not be sent; its news follow with the next heartbeat.",
)

# Limits the notices on a stream while many changes follow each other.
MIN_NOTICE_INTERVAL_S = 0.2


@define(eq=False)
class NoticeStream:
    """Sends the notices for one peer on a heartbeat stream.

    Parameters
    ----------
    make : callable
        Returns the notice for the peer; None if there is no news for it.
    send : callable
        Sends a message on the stream. Its calls must not overlap those for heartbeats.
    """

    make: Callable[[], peer_pb2.Heartbeat | None]
    send: Callable[[peer_pb2.Heartbeat], Awaitable[object]]
    wakeup: Wakeup = field(factory=Wakeup)

    async def run(self) -> None:
        """Send notices until the stream fails."""
        try:
            while True:
                await self.wakeup.wait()
                self.wakeup.clear()
                # More news than one notice can hold go into further ones.
                while (notice := self.make()) is not None:
                    await self.send(notice)
                    await asyncio.sleep(MIN_NOTICE_INTERVAL_S)
        except (OSError, TimeoutError, GRPCError, StreamTerminatedError) as error:
            log(NOTICE_FAILED, error=repr(error))


@define(eq=False)
class Notices:
    """Sends and receives the notices of one daemon.

    Parameters
    ----------
    make : callable
        Returns the notice for a peer; None if there is no news for it.
    apply : callable
        Called with each notice of a peer.
    """

    make: Callable[[Member], peer_pb2.Heartbeat | None]
    apply: Callable[[peer_pb2.Heartbeat], object]
    _streams: dict[NoticeStream, asyncio.Task[None]] = field(factory=dict)

    def send(self) -> None:
        """Send the news to all peers that accept notices."""
        for stream in self._streams:
            stream.wakeup.set()

    def open_stream(
        self, peer: Member, send: Callable[[peer_pb2.Heartbeat], Awaitable[object]]
    ) -> NoticeStream:
        """Send notices to a peer until the stream is closed; called in a coroutine."""
        stream = NoticeStream(lambda: self.make(peer), send)
        # News since the last heartbeat may have found no stream to wake.
        stream.wakeup.set()
        self._streams[stream] = asyncio.ensure_future(stream.run())
        return stream

    def close_stream(self, stream: NoticeStream | None) -> None:
        """End the notices on a stream, if they were started."""
        if stream is not None:
            self._streams.pop(stream).cancel()
