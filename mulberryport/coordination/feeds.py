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

__all__ = ["SharedWatch", "WatchServer", "choose_providers"]

PROVIDER_LEFT = define_event(
    424, "provider_left", "info", "Stopped following a provider for a while."
)

# Changes that a provider buffers for its followers: minutes at a low rate of changes.
MAX_BUFFERED_CHANGES = 2000
# Longest wait of one call to a provider. It bounds the time until a provider that hangs
# is noticed; targets may be used for at most 2 s after they announce that they leave.
PROVIDER_WAIT_S = 1.0
# Added to the wait to get the timeout of the call; a provider replies in milliseconds.
REPLY_MARGIN_S = 0.3
# How long a provider is not called after a failure.
PROVIDER_BACKOFF_S = 3.0


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
        return buffer.serve(request.after, min(request.wait, PROVIDER_WAIT_S))


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
    from_store : bool
        Whether the last request was answered by the store and not by a provider.
    """

    store: KeyValueStore
    peers: Peers
    providers: Callable[[], list[str]]
    from_store: bool = False
    _backoff_until: dict[str, float] = field(factory=dict)
    _newest_revision: int = -1

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

    def _select_provider(self) -> str:
        """Return the VM to follow; empty to use the store."""
        now = boottime()
        for vm in self.providers():
            if self._backoff_until.get(vm, now) <= now:
                return vm
        return ""

    def _call_provider(
        self, vm: str, prefix: str, after: int, wait: float
    ) -> peer_pb2.FollowKeysReply | None:
        """Return the reply of a provider, or None if it failed or serves nothing."""
        wait = min(wait, PROVIDER_WAIT_S)
        request = peer_pb2.FollowKeysRequest(prefix=prefix, after=after, wait=wait)
        try:
            outcome = self.peers.call(vm, "FollowKeys", request, wait + REPLY_MARGIN_S)
        except BaseException as error:
            # A BaseException, because the mirror throws WatchStalledError in here.
            self._back_off(vm, prefix, repr(error))
            raise
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
