"""Tests of changes that daemons pass on to each other."""

from contextlib import contextmanager

import eventlet
from attrs import define, field

from ...membership import Member, Members
from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from .. import feeds
from ..feeds import MirrorFeeds, SharedWatch, choose_providers
from ..mirror import Mirror
from ..model import Change, Item
from .builders import MemoryStore, until


@define(eq=False)
class StorePath:
    """The way of one daemon to the store."""

    store: MemoryStore
    cut: bool = False
    calls: int = 0

    def list(self, prefix):
        """Return the keys below a prefix."""
        self.calls += 1
        return NotDone("cut") if self.cut else self.store.list(prefix)

    def watch(self, prefix, after, wait):
        """Wait for changes after a revision, in short steps as the cut may come."""
        self.calls += 1
        deadline = boottime() + wait
        while not self.cut:
            outcome = self.store.watch(prefix, after, 0.05)
            if boottime() >= deadline or getattr(outcome.value, "changes", True):
                return outcome
        return NotDone("cut")


@define(eq=False)
class FakePeers:
    """Calls handlers of other daemons in this process."""

    handlers: dict = field(factory=dict)
    frozen: set = field(factory=set)

    def call(self, vm, method, request, timeout):
        """Call a handler; a frozen daemon does not answer."""
        if vm in self.frozen:
            eventlet.sleep(timeout)
            return Unknown("no answer")
        return Done(self.handlers[vm](request))


class Daemon:
    """A mirror that other daemons can follow."""

    def __init__(self, vm, store, peers, providers=()):
        self.path = StorePath(store)
        self.source = SharedWatch(self.path, peers, lambda: list(providers))
        self.mirror = Mirror(self.source, "a/")
        MirrorFeeds([(self.mirror, self.source)]).register(self)
        peers.handlers[vm] = self.handler
        self.mirror.start()

    def register(self, method, handler):
        """Keep the handler, as a peer server does."""
        self.handler = handler

    def value(self, key):
        """Return the value of a key in the mirror."""
        item = self.mirror.get(key)
        return item.value if item is not None else None


@contextmanager
def provider_and_follower():
    """Run two daemons, of which the second follows the first."""
    store, peers = MemoryStore(), FakePeers()
    store.write("a/old", b"old")
    provider = Daemon("p", store, peers)
    assert until(lambda: provider.mirror.loaded)
    follower = Daemon("f", store, peers, ["p"])
    try:
        assert until(lambda: follower.mirror.loaded)
        yield store, peers, provider, follower
    finally:
        provider.mirror.stop()
        follower.mirror.stop()


def test_a_follower_needs_no_call_of_the_store():
    # Guards against calls that grow with the number of daemons.
    with provider_and_follower() as (store, _, _, follower):
        for number in range(5):
            store.write("a/new", b"%d" % number)
            assert until(lambda n=number: follower.value("a/new") == b"%d" % n)
        store.remove("a/old")
        assert until(lambda: follower.mirror.get("a/old") is None)
        assert follower.path.calls == 0


def test_a_provider_without_the_store_is_left():
    # Guards against a daemon that stays behind because its provider is cut off.
    with provider_and_follower() as (store, _, provider, follower):
        provider.path.cut = True
        assert until(lambda: not provider.mirror.following)
        store.write("a/new", b"x")
        assert until(lambda: follower.value("a/new") == b"x", 1.0)
        assert provider.value("a/new") is None


def test_a_provider_that_does_not_answer_is_left_in_time():
    # Guards against a target that is used for seconds after it said that it leaves.
    with provider_and_follower() as (store, peers, _, follower):
        peers.frozen.add("p")
        eventlet.sleep(feeds.SHARED_WAIT_S)
        store.write("a/new", b"x")
        limit = feeds.SHARED_WAIT_S + feeds.ANSWER_EXTRA_S + 0.2
        assert until(lambda: follower.value("a/new") == b"x", limit)


def test_daemons_that_follow_each_other_ask_the_store():
    # Guards against two daemons that take each other for the provider.
    store, peers = MemoryStore(), FakePeers()
    one = Daemon("1", store, peers, ["2"])
    two = Daemon("2", store, peers, ["1"])
    try:
        assert until(lambda: one.mirror.loaded and two.mirror.loaded)
        store.write("a/new", b"x")
        assert until(lambda: one.value("a/new") == b"x" and two.value("a/new") == b"x")
        assert one.path.calls + two.path.calls > 0
    finally:
        one.mirror.stop()
        two.mirror.stop()


def test_a_listing_that_is_behind_brings_nothing_back():
    # Guards against removed keys that a slower provider still has.
    store, peers = MemoryStore(), FakePeers()
    gone = store.write("a/gone", b"x")
    behind = Daemon("p", store, peers)
    assert until(lambda: behind.mirror.loaded)
    follower = SharedWatch(StorePath(store), peers, list)
    follower.watch("a/", gone.revision, 0.0)
    behind.path.cut, behind.source.direct = True, True
    store.remove("a/gone")
    seen = follower.list("a/").value
    follower.providers = lambda: ["p"]
    assert follower.list("a/").value.items == seen.items == ()
    behind.mirror.stop()


def test_a_follower_that_fell_behind_reads_in_full(monkeypatch):
    # Guards against changes that a provider keeps no more and a follower never gets.
    monkeypatch.setattr(feeds, "MOST_KEPT", 2)
    with provider_and_follower() as (store, peers, provider, follower):
        after = provider.mirror.revision
        for number in range(5):
            store.write(f"a/{number}", b"x")
        assert until(lambda: provider.value("a/4") == b"x")
        request = feeds.peer_pb2.FollowKeysRequest(prefix="a/", after=after)
        assert peers.handlers["p"](request).history_lost
        assert until(lambda: all(follower.value(f"a/{n}") == b"x" for n in range(5)))


def test_an_own_commit_that_overtook_the_watch_is_not_served_again_and_again():
    # Guards against followers that ask without a pause until the watch catches up.
    with provider_and_follower() as (store, peers, provider, _):
        after = provider.mirror.revision
        provider.mirror.apply(
            Change("a/own", after + 9, Item("a/own", b"x", after + 9))
        )
        request = feeds.peer_pb2.FollowKeysRequest(prefix="a/", after=after, wait=0.2)
        reply = peers.handlers["p"](request)
        assert not reply.changes and reply.revision == after
        for _ in range(9):
            store.write("a/other", b"y")
        request.wait = 1.0
        assert until(lambda: provider.mirror.revision >= after + 9)
        assert "a/own" in {c.key for c in peers.handlers["p"](request).changes}


def test_news_that_a_provider_lacks_make_its_follower_leave_it():
    # Guards against a provider whose watch went silent without an error.
    with provider_and_follower() as (store, _, provider, follower):
        history, store._history = store._history, []
        item = store.write("a/new", b"x")
        store._history = history
        assert not until(lambda: follower.value("a/new") == b"x", 0.5)
        follower.mirror.expect(item.revision)
        assert until(lambda: follower.value("a/new") == b"x", 2.0)
        assert provider.value("a/new") is None


def test_two_daemons_of_a_zone_are_providers():
    # Guards against zones in which all daemons, or none, watch the store.
    names = [f"vm{number}" for number in range(6)]
    chosen = {}
    for own in names:
        members = Members(Member(own, "a", "127.0.0.1:1", 1))
        for name in names:
            if name != own:
                zone = "b" if name == "vm5" else "a"
                members.record_heartbeat(
                    Member(name, zone, "127.0.0.1:1", 1, heard_at=boottime())
                )
        if own != "vm5":
            chosen[own] = choose_providers(members)
    providers = {vm for vm, followed in chosen.items() if not followed}
    assert len(providers) == 2
    for followed in chosen.values():
        assert not followed or set(followed) == providers
