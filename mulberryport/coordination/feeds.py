"""Changes of the store that daemons pass on to others of their availability zone.

A watch of the store costs a call for each change and daemon. In a large deployment only
some daemons of each zone, the providers, watch the store; the others follow the mirrors
of a provider. Revisions are those of the store, so a follower can change the provider,
or watch the store itself, at any revision.

A provider serves only what it has from the store itself, so that two daemons cannot
keep each other from the news, and nothing while the store does not answer it. A
follower that gets no answer, or that another daemon shows to be behind
(``Mirror.expect``), leaves its provider for some seconds and watches the store.
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

__all__ = ["MirrorFeeds", "SharedWatch", "choose_providers"]

PROVIDER_LEFT = define_event(
    424, "provider_left", "info", "Changes are not followed at this provider for now."
)

# Changes that a provider keeps for its followers: minutes of a calm day.
MOST_KEPT = 2000
# How long a provider lets a follower wait. It bounds how long a provider that froze
# goes unnoticed; targets may be used for 2 s after they said that they leave.
SHARED_WAIT_S = 1.0
# Time beyond the wait for an answer of a provider, which takes milliseconds.
ANSWER_EXTRA_S = 0.3
# How long a provider that failed is not asked.
AVOID_S = 3.0


def choose_providers(members: Members) -> list[str]:
    """Return the VMs that this daemon may follow; none if it is a provider itself.

    Two daemons of each availability zone are providers. Followers prefer either of
    them by turns.
    """
    own = members.self_member
    staying = [m for m in members.in_zone(own.zone) if not m.leaving]
    providers = relays(own.zone, staying)
    if own.leaving or own.vm in {member.vm for member in providers}:
        return []
    return [member.vm for member in rendezvous_order(own.vm, providers)]


@define(eq=False)
class Feed:
    """The newest changes of one mirror.

    Parameters
    ----------
    mirror : Mirror
        What is passed on.
    source : SharedWatch
        Where the mirror reads.
    """

    mirror: Mirror
    source: "SharedWatch"
    _changes: deque[Change] = field(factory=deque)
    # The feed has all changes after this revision; unknown before the first full read.
    _floor: int | None = None

    def __attrs_post_init__(self) -> None:
        """Note changes from now on."""
        self.mirror.subscribe(self._on_change)

    def serve(self, after: int, wait: float) -> peer_pb2.FollowKeysReply:
        """Return the changes after a revision, or all keys for a negative one.

        Parameters
        ----------
        after : int
            Revision of the store.
        wait : float
            Seconds to wait for a change.
        """
        mirror, deadline = self.mirror, boottime() + wait
        while mirror.loaded and mirror.following and self.source.direct:
            if self._floor is None:
                self._floor = mirror.revision
            if after < 0:
                items = [Change(i.key, i.revision, i) for i in mirror.items.values()]
                return _reply(items, mirror.revision)
            if after < self._floor:
                return peer_pb2.FollowKeysReply(served=True, history_lost=True)
            # Own commits can be known here before the watch brings what precedes them.
            known = mirror.revision
            news = [c for c in self._changes if after < c.revision <= known]
            left = deadline - boottime()
            if news or left <= 0:
                return _reply(news, max(after, known))
            mirror.progress.wait(left)
        return peer_pb2.FollowKeysReply(served=False)

    def _on_change(self, change: Change) -> None:
        if self._floor is None:
            return
        self._changes.append(change)
        if len(self._changes) > MOST_KEPT:
            self._floor = max(self._floor, self._changes.popleft().revision)


@define(eq=False)
class MirrorFeeds:
    """Serves the mirrors of this daemon to followers.

    Parameters
    ----------
    sources : iterable of (Mirror, SharedWatch)
        Mirrors of different prefixes, and where they read.
    """

    sources: Iterable[tuple[Mirror, "SharedWatch"]]
    _feeds: dict[str, Feed] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Note the changes of the mirrors."""
        self._feeds = {
            mirror.prefix: Feed(mirror, source) for mirror, source in self.sources
        }

    def register(self, server: PeerServer) -> None:
        """Serve the peer call of followers."""
        server.register("FollowKeys", self._serve)

    def _serve(self, request: peer_pb2.FollowKeysRequest) -> peer_pb2.FollowKeysReply:
        feed = self._feeds.get(request.prefix)
        if feed is None:
            return peer_pb2.FollowKeysReply(served=False)
        return feed.serve(request.after, min(request.wait, SHARED_WAIT_S))


@define(eq=False)
class SharedWatch:
    """Lists and watches keys at a provider, or in the store without one.

    Stands in for the store in a ``Mirror``.

    Parameters
    ----------
    store : KeyValueStore
        The store.
    peers : Peers
        Calls providers.
    providers : callable
        Returns the VMs to follow, in order of preference; empty if this daemon is to
        watch the store.
    direct : bool
        Whether the last answer was the store's own.
    """

    store: KeyValueStore
    peers: Peers
    providers: Callable[[], list[str]]
    direct: bool = False
    _avoided: dict[str, float] = field(factory=dict)
    _newest: int = -1

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all items below a prefix, never older than what was seen."""
        vm = self._provider()
        if vm:
            reply = self._follow(vm, prefix, -1, 0.0)
            if reply is not None and reply.revision >= self._newest:
                self.direct, self._newest = False, reply.revision
                items = [_item(change) for change in reply.changes]
                return Done(Listing(tuple(items), reply.revision))
        outcome = self.store.list(prefix)
        self.direct = True
        if isinstance(outcome, Done):
            self._newest = max(self._newest, outcome.value.revision)
        return outcome

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        vm = self._provider()
        reply = self._follow(vm, prefix, after, wait) if vm else None
        self.direct = reply is None
        if reply is not None and reply.history_lost:
            return Done(HistoryLost())
        if reply is not None:
            self._newest = max(self._newest, reply.revision)
            changes = tuple(_change(change) for change in reply.changes)
            return Done(Changes(changes, reply.revision))
        # Short, so that a provider is followed again soon.
        outcome = self.store.watch(prefix, after, min(wait, AVOID_S) if vm else wait)
        if isinstance(outcome, Done) and isinstance(outcome.value, Changes):
            self._newest = max(self._newest, outcome.value.revision)
        return outcome

    def _provider(self) -> str:
        """Return the VM to follow; empty if the store is to be asked."""
        now = boottime()
        for vm in self.providers():
            if self._avoided.get(vm, now) <= now:
                return vm
        return ""

    def _follow(
        self, vm: str, prefix: str, after: int, wait: float
    ) -> peer_pb2.FollowKeysReply | None:
        """Return the answer of a provider, None if it cannot be followed now."""
        wait = min(wait, SHARED_WAIT_S)
        request = peer_pb2.FollowKeysRequest(prefix=prefix, after=after, wait=wait)
        try:
            outcome = self.peers.call(vm, "FollowKeys", request, wait + ANSWER_EXTRA_S)
        except BaseException as error:
            # The mirror ends a watch that brings nothing.
            self._avoid(vm, prefix, repr(error))
            raise
        if isinstance(outcome, Done) and outcome.value.served:
            return outcome.value
        served = isinstance(outcome, Done)
        self._avoid(vm, prefix, "it has no news" if served else outcome.reason)
        return None

    def _avoid(self, vm: str, prefix: str, reason: str) -> None:
        log(PROVIDER_LEFT, provider=vm, prefix=prefix, reason=reason)
        self._avoided[vm] = boottime() + AVOID_S


def _reply(changes: Iterable[Change], revision: int) -> peer_pb2.FollowKeysReply:
    reply = peer_pb2.FollowKeysReply(served=True, revision=revision)
    for change in changes:
        message = reply.changes.add(key=change.key, revision=change.revision)
        if change.item is None:
            message.removed = True
        else:
            message.value, message.lease = change.item.value, change.item.lease
    return reply


def _item(message: peer_pb2.KeyChange) -> Item:
    return Item(message.key, message.value, message.revision, message.lease)


def _change(message: peer_pb2.KeyChange) -> Change:
    item = None if message.removed else _item(message)
    return Change(message.key, message.revision, item)
