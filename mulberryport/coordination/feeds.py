"""Fan-out of watches from a few daemons to the others of their availability zone.

If every daemon watched the store, each change would cost one request per daemon. In a
large deployment only some daemons of each zone, the providers, watch the store; the
others, the followers, watch the mirrors of a provider. Providers pass on the revisions
of the store, so a follower can switch to another provider or to the store at any
revision.

A provider serves only changes that it received from the store itself; otherwise two
daemons could follow each other and both miss every change. It serves nothing while the
store does not answer it. A follower whose provider does not answer, or turns out to be
behind another daemon (``Mirror.expect_revision``), watches the store for some seconds
before it uses that provider again.
"""

from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import eventlet.hubs
from attrs import define, field

from ..membership import Members, rendezvous_order
from ..membership.topology import relays
from ..outcomes import Done, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .mirror import Mirror
from .model import Change, Changes, HistoryLost, Item, KeyValueStore, Listing

__all__ = [
    "SharedWatch",
    "WatchServer",
    "choose_providers",
    "choose_wait_s",
    "is_silent",
]

PROVIDER_LEFT = define_event(
    424, "provider_left", "info", "Stopped following a provider for a while."
)

# Changes that a provider buffers for its followers: minutes at a low rate of changes.
MAX_BUFFERED_CHANGES = 2000
# Longest wait of one call to a provider. In a small deployment it bounds the time until
# a provider that hangs is noticed; targets may be used for at most 2 s after they
# announce that they leave. In a large one, where each call costs the providers more,
# missing heartbeats of the provider end the call.
PROVIDER_WAIT_S = 1.0
LARGE_FLEET_WAIT_S = 10.0
# Age of the last heartbeat at which a provider counts as hanging.
MAX_HEARTBEAT_AGE_S = 1.8
# Added to the wait to get the timeout of the call; a provider replies in milliseconds.
REPLY_MARGIN_S = 0.3
# How long a provider is not called after a failure.
PROVIDER_BACKOFF_S = 3.0


class ProviderSilentError(BaseException):
    """Thrown into the green thread of a call to a provider that stays silent.

    It derives from ``BaseException`` so that no ``except Exception`` swallows it.
    """


def choose_wait_s(members: Members) -> float:
    """Return how long a call to a provider may wait for a change."""
    return LARGE_FLEET_WAIT_S if members.is_large() else PROVIDER_WAIT_S


def is_silent(members: Members, vm: str) -> bool:
    """Return whether the heartbeats of a member are overdue."""
    member = members.get(vm)
    return member is None or boottime() - member.heard_at > MAX_HEARTBEAT_AGE_S


def choose_providers(members: Members) -> list[str]:
    """Return the VMs that this daemon may follow; empty if it is a provider itself.

    Two daemons of each availability zone are providers. Rendezvous hashing of the
    follower's id sets which of the two it prefers, so that the load is spread.
    """
    own = members.self_member
    staying = [m for m in members.in_zone(own.zone) if not m.leaving]
    providers = relays(own.zone, staying)
    if own.leaving or own.vm in {member.vm for member in providers}:
        return []
    return [member.vm for member in rendezvous_order(own.vm, providers)]


@define(eq=False)
class ChangeBuffer:
    """The most recent changes of one mirror.

    Parameters
    ----------
    mirror : Mirror
        The mirror whose changes are buffered.
    source : SharedWatch
        The source that the mirror reads from.
    """

    mirror: Mirror
    source: "SharedWatch"
    _changes: deque[Change] = field(factory=deque)
    # All changes after this revision are buffered; None before the first listing.
    _compacted_revision: int | None = None

    def __attrs_post_init__(self) -> None:
        """Subscribe to the changes of the mirror."""
        self.mirror.subscribe(self._on_change)

    def serve(self, after: int, wait: float) -> peer_pb2.FollowKeysReply:
        """Return the changes after a revision, or all keys if it is negative.

        Parameters
        ----------
        after : int
            Revision of the store.
        wait : float
            Seconds to wait for a change.
        """
        mirror, deadline = self.mirror, boottime() + wait
        while mirror.loaded and mirror.connected and self.source.from_store:
            if self._compacted_revision is None:
                self._compacted_revision = mirror.revision
            if after < 0:
                items = [Change(i.key, i.revision, i) for i in mirror.items.values()]
                return _encode_reply(items, mirror.revision)
            if after < self._compacted_revision:
                return peer_pb2.FollowKeysReply(served=True, history_lost=True)
            # This daemon's own commits may be applied before the watch has delivered
            # the changes that precede them.
            complete = mirror.revision
            changes = [c for c in self._changes if after < c.revision <= complete]
            timeout = deadline - boottime()
            if changes or timeout <= 0:
                return _encode_reply(changes, max(after, complete))
            mirror.polled.wait(timeout)
        return peer_pb2.FollowKeysReply(served=False)

    def _on_change(self, change: Change) -> None:
        if self._compacted_revision is None:
            return
        self._changes.append(change)
        if len(self._changes) > MAX_BUFFERED_CHANGES:
            self._compacted_revision = max(
                self._compacted_revision, self._changes.popleft().revision
            )


@define(eq=False)
class WatchServer:
    """Serves watches of this daemon's mirrors to followers.

    Parameters
    ----------
    sources : iterable of (Mirror, SharedWatch)
        Mirrors of different prefixes, each with the source that it reads from.
    """

    sources: Iterable[tuple[Mirror, "SharedWatch"]]
    _buffers: dict[str, ChangeBuffer] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start to buffer the changes of the mirrors."""
        self._buffers = {
            mirror.prefix: ChangeBuffer(mirror, source)
            for mirror, source in self.sources
        }

    def register(self, server: PeerServer) -> None:
        """Register the handler of the peer method ``FollowKeys``."""
        server.register("FollowKeys", self._serve)

    def _serve(self, request: peer_pb2.FollowKeysRequest) -> peer_pb2.FollowKeysReply:
        buffer = self._buffers.get(request.prefix)
        if buffer is None:
            return peer_pb2.FollowKeysReply(served=False)
        return buffer.serve(request.after, min(request.wait, LARGE_FLEET_WAIT_S))


@define(eq=False)
class SharedWatch:
    """Lists and watches keys through a provider, or in the store if there is none.

    Used as the source of a ``Mirror`` in place of the store.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    peers : Peers
        Used to call providers.
    providers : callable
        Returns the VMs that this daemon may follow, in order of preference; empty if it
        must watch the store.
    max_wait_s : callable
        Returns how long a call to a provider may wait, in seconds.
    is_silent : callable
        Returns whether heartbeats of a VM are overdue.
    from_store : bool
        Whether the last request was answered by the store and not by a provider.
    """

    store: KeyValueStore
    peers: Peers
    providers: Callable[[], list[str]]
    max_wait_s: Callable[[], float] = lambda: PROVIDER_WAIT_S
    is_silent: Callable[[str], bool] = lambda vm: False
    from_store: bool = False
    _backoff_until: dict[str, float] = field(factory=dict)
    _newest_revision: int = -1
    # The provider that a call waits for, and the green thread that waits.
    _waiting: tuple[str, Any] | None = None

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all items under a prefix; its revision never goes backwards."""
        vm = self._select_provider()
        if vm:
            reply = self._call_provider(vm, prefix, -1, 0.0)
            if reply is not None and reply.revision >= self._newest_revision:
                self.from_store, self._newest_revision = False, reply.revision
                items = [_decode_item(change) for change in reply.changes]
                return Done(Listing(tuple(items), reply.revision))
        outcome = self.store.list(prefix)
        self.from_store = True
        if isinstance(outcome, Done):
            self._newest_revision = max(self._newest_revision, outcome.value.revision)
        return outcome

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        vm = self._select_provider()
        reply = self._call_provider(vm, prefix, after, wait) if vm else None
        self.from_store = reply is None
        if reply is not None and reply.history_lost:
            return Done(HistoryLost())
        if reply is not None:
            self._newest_revision = max(self._newest_revision, reply.revision)
            changes = tuple(_decode_change(change) for change in reply.changes)
            return Done(Changes(changes, reply.revision))
        # After a failure of the provider the wait is short, to return to one soon.
        outcome = self.store.watch(
            prefix, after, min(wait, PROVIDER_BACKOFF_S) if vm else wait
        )
        if isinstance(outcome, Done) and isinstance(outcome.value, Changes):
            self._newest_revision = max(self._newest_revision, outcome.value.revision)
        return outcome

    def check_provider(self) -> None:
        """End the call to a provider whose heartbeats are overdue.

        Call it a few times a second.
        """
        if self._waiting is not None and self.is_silent(self._waiting[0]):
            eventlet.hubs.get_hub().schedule_call_global(
                0, self._end_call, self._waiting
            )

    def _end_call(self, waiting: tuple[str, Any]) -> None:
        # The call may have ended since the check.
        if self._waiting is waiting:
            waiting[1].throw(ProviderSilentError())

    def _select_provider(self) -> str:
        """Return the VM to follow; empty to use the store."""
        now = boottime()
        for vm in self.providers():
            if self._backoff_until.get(vm, now) <= now and not self.is_silent(vm):
                return vm
        return ""

    def _call_provider(
        self, vm: str, prefix: str, after: int, wait: float
    ) -> peer_pb2.FollowKeysReply | None:
        """Return the reply of a provider, or None if it failed or serves nothing."""
        wait = min(wait, self.max_wait_s())
        request = peer_pb2.FollowKeysRequest(prefix=prefix, after=after, wait=wait)
        self._waiting = (vm, eventlet.getcurrent())
        try:
            outcome = self.peers.call(vm, "FollowKeys", request, wait + REPLY_MARGIN_S)
        except ProviderSilentError:
            self._back_off(vm, prefix, "its heartbeats are overdue")
            return None
        except BaseException as error:
            # A BaseException, because the mirror throws WatchStalledError in here.
            self._back_off(vm, prefix, repr(error))
            raise
        finally:
            self._waiting = None
        if isinstance(outcome, Done) and outcome.value.served:
            return outcome.value
        served = isinstance(outcome, Done)
        self._back_off(
            vm,
            prefix,
            "it does not serve this prefix now" if served else outcome.reason,
        )
        return None

    def _back_off(self, vm: str, prefix: str, reason: str) -> None:
        log(PROVIDER_LEFT, provider=vm, prefix=prefix, reason=reason)
        self._backoff_until[vm] = boottime() + PROVIDER_BACKOFF_S


def _encode_reply(changes: Iterable[Change], revision: int) -> peer_pb2.FollowKeysReply:
    reply = peer_pb2.FollowKeysReply(served=True, revision=revision)
    for change in changes:
        message = reply.changes.add(key=change.key, revision=change.revision)
        if change.item is None:
            message.removed = True
        else:
            message.value, message.lease = change.item.value, change.item.lease
    return reply


def _decode_item(message: peer_pb2.KeyChange) -> Item:
    return Item(message.key, message.value, message.revision, message.lease)


def _decode_change(message: peer_pb2.KeyChange) -> Change:
    item = None if message.removed else _decode_item(message)
    return Change(message.key, message.revision, item)
