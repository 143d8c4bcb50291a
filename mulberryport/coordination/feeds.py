"""Fan-out of watches from a few daemons to the others of their availability zone.

If every daemon watched the store, each change would cost one request per daemon. In a
large deployment only some daemons watch the store; the others watch the mirrors of a
provider. The relays of an availability zone are the providers of its other members, and
two of the relays of all zones, the roots, are the providers of the other relays.
Providers pass on the revisions of the store, so a daemon can switch to another provider
or to the store at any revision.

A watch knows its distance from the store: 0 if the store answers it, otherwise one more
than that of its provider. A relay uses only providers at distance 0, the others also
those at distance 1; otherwise two daemons could follow each other and both miss every
change. A daemon serves nothing while it gets no answers itself. If a provider does not
answer, or turns out to be behind another daemon (``Mirror.expect_revision``), its
followers watch the store for some seconds before they use that provider again.
"""

from collections import deque
from collections.abc import Callable, Iterable

import eventlet
from attrs import define, field

from ..outcomes import Done, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..runtime.waits import Wait, interruptible_wait
from ..telemetry import define as define_event
from ..telemetry import log
from .mirror import Mirror
from .model import Change, Changes, HistoryLost, Item, KeyValueStore, Listing
from .providers import LARGE_FLEET_WAIT_S, PROVIDER_WAIT_S
from .session import Session

__all__ = ["SharedWatch", "WatchServer", "hold_session"]

PROVIDER_LEFT = define_event(
    424, "provider_left", "info", "Stopped following a provider for a while."
)

# Changes that a provider buffers for its followers: minutes at a low rate of changes.
MAX_BUFFERED_CHANGES = 2000
# Added to the wait to get the timeout of the call; a provider replies in milliseconds.
REPLY_MARGIN_S = 0.3
# Added if overdue heartbeats end a call anyway.
LARGE_FLEET_MARGIN_S = 1.0
# Distance of a watch that has had no answer yet.
NOT_CONNECTED = 2**16
# How long a daemon that has just started waits for the heartbeats of a provider. It
# waits less if it turns out to have none.
PROVIDER_WARM_UP_S = 1.5
MIN_WARM_UP_S = 0.4
WARM_UP_STEP_S = 0.05
# How long a provider is not called after a failure.
PROVIDER_BACKOFF_S = 3.0


class ProviderSilentError(BaseException):
    """Ends the wait for a provider that stays silent.

    It derives from ``BaseException`` so that no ``except Exception`` swallows it.
    """


def hold_session(session: Session, watches: Iterable["SharedWatch"]) -> None:
    """Keep a session open while a watch waits for the store itself.

    A store that falls silent leaves a watch open without an answer. The renewals of the
    session show it within a second or two.
    """
    session.hold_while(lambda: any(watch.distance == 0 for watch in watches))


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

    def serve(
        self, after: int, wait: float, max_distance: int
    ) -> peer_pb2.FollowKeysReply:
        """Return the changes after a revision, or all keys if it is negative.

        Parameters
        ----------
        after : int
            Revision of the store.
        wait : float
            Seconds to wait for a change.
        max_distance : int
            Largest distance from the store at which the caller uses a provider.
        """
        mirror, deadline = self.mirror, boottime() + wait
        while (
            mirror.loaded and mirror.connected and self.source.distance <= max_distance
        ):
            if self._compacted_revision is None:
                self._compacted_revision = mirror.revision
            if after < 0:
                items = [Change(i.key, i.revision, i) for i in mirror.items.values()]
                return self._encode_reply(items, mirror.revision)
            if after < self._compacted_revision:
                return peer_pb2.FollowKeysReply(
                    served=True, history_lost=True, distance=self.source.distance
                )
            # This daemon's own commits may be applied before the watch has delivered
            # the changes that precede them.
            complete = mirror.revision
            changes = [c for c in self._changes if after < c.revision <= complete]
            timeout = deadline - boottime()
            if changes or timeout <= 0:
                return self._encode_reply(changes, max(after, complete))
            mirror.polled.wait(timeout)
        return peer_pb2.FollowKeysReply(served=False)

    def _encode_reply(
        self, changes: Iterable[Change], revision: int
    ) -> peer_pb2.FollowKeysReply:
        reply = peer_pb2.FollowKeysReply(
            served=True, revision=revision, distance=self.source.distance
        )
        for change in changes:
            message = reply.changes.add(key=change.key, revision=change.revision)
            if change.item is None:
                message.removed = True
            else:
                message.value, message.lease = change.item.value, change.item.lease
        return reply

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
        wait = min(request.wait, LARGE_FLEET_WAIT_S)
        return buffer.serve(request.after, wait, request.max_distance)


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
    max_distance : callable
        Returns the largest distance from the store at which a provider may be used.
    lists_at_once : bool
        Whether a daemon that has just started lists the keys in the store, and does not
        wait for a provider.
    """

    store: KeyValueStore
    peers: Peers
    providers: Callable[[], list[str]]
    max_wait_s: Callable[[str], float] = lambda vm: PROVIDER_WAIT_S
    is_silent: Callable[[str], bool] = lambda vm: False
    max_distance: Callable[[], int] = lambda: 0
    lists_at_once: bool = True
    _distance: int = NOT_CONNECTED
    _created_at: float = field(factory=boottime)
    _backoff_until: dict[str, float] = field(factory=dict)
    _newest_revision: int = -1
    # The provider that a call waits for, and the wait.
    _waiting: tuple[str, Wait] | None = None

    @property
    def distance(self) -> int:
        """Number of daemons between this one and the store."""
        return self._distance

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all items under a prefix; its revision never goes backwards."""
        # The first listing of a daemon that has just started must not be older than
        # what it has acted on before.
        is_first = self.lists_at_once and self._newest_revision < 0
        if is_first and isinstance(outcome := self._list_in_store(prefix), Done):
            return outcome
        if not self.lists_at_once:
            self._await_provider()
        vm = self._select_provider()
        if vm:
            reply = self._call_provider(vm, prefix, -1, 0.0)
            if reply is not None and reply.revision >= self._newest_revision:
                self._distance = reply.distance + 1
                self._newest_revision = reply.revision
                items = [_decode_item(change) for change in reply.changes]
                return Done(Listing(tuple(items), reply.revision))
        return self._list_in_store(prefix)

    def _list_in_store(self, prefix: str) -> Outcome[Listing]:
        outcome = self.store.list(prefix)
        self._distance = 0
        if isinstance(outcome, Done):
            self._newest_revision = max(self._newest_revision, outcome.value.revision)
        return outcome

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        self._await_provider()
        vm = self._select_provider()
        reply = self._call_provider(vm, prefix, after, wait) if vm else None
        self._distance = 0 if reply is None else reply.distance + 1
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
            self._waiting[1].end(ProviderSilentError())

    def _await_provider(self) -> None:
        """Wait until a provider is heard, if this daemon has just started."""
        while (age := boottime() - self._created_at) < PROVIDER_WARM_UP_S:
            may_have_none = age >= MIN_WARM_UP_S and not self.providers()
            if may_have_none or self._select_provider():
                return
            eventlet.sleep(WARM_UP_STEP_S)

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
        wait = min(wait, self.max_wait_s(vm))
        request = peer_pb2.FollowKeysRequest(
            prefix=prefix, after=after, wait=wait, max_distance=self.max_distance()
        )
        margin = LARGE_FLEET_MARGIN_S if wait > PROVIDER_WAIT_S else REPLY_MARGIN_S
        try:
            with interruptible_wait() as waiting:
                self._waiting = (vm, waiting)
                outcome = self.peers.call(vm, "FollowKeys", request, wait + margin)
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


def _decode_item(message: peer_pb2.KeyChange) -> Item:
    return Item(message.key, message.value, message.revision, message.lease)


def _decode_change(message: peer_pb2.KeyChange) -> Change:
    item = None if message.removed else _decode_item(message)
    return Change(message.key, message.revision, item)
