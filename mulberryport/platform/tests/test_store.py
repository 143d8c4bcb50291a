"""Tests of the client of the platform's store."""

import pytest

from ...coordination import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Put,
    Transaction,
)
from ...outcomes import Done, NotDone, Unknown
from ...peering import peer_pb2
from ...runtime.wsgi import listen, serve
from ...standins.platform_store import PlatformStandin
from ..store import PlatformStore


@pytest.fixture
def standin():
    return PlatformStandin()


@pytest.fixture
def store(standin):
    listener = listen("127.0.0.1:0")
    host, port = listener.getsockname()
    serve(listener, standin)
    return PlatformStore(f"{host}:{port}")


def put(key, value=b"x", revision=0, lease=0):
    """Return a transaction that writes a key."""
    return Transaction(expected={key: revision}, puts=(Put(key, value, lease),))


def test_keys_are_written_under_their_condition(store):
    first = store.commit(put("a", b"\x00\xff"))
    assert isinstance(first.value, Committed)
    assert store.read("a").value.value == b"\x00\xff"
    conflict = store.commit(put("a"))
    assert isinstance(conflict.value, Conflict)
    assert conflict.value.items[0].revision == first.value.revision
    again = store.commit(put("a", b"new", first.value.revision))
    assert isinstance(again.value, Committed)
    assert store.read("b") == Done(None)


def test_listings_of_several_pages_are_complete(store, standin):
    for number in range(250):
        standin.put(f"p/{number:03}", number)
    listing = store.list("p/").value
    assert len(listing.items) == 250
    assert len({item.key for item in listing.items}) == 250


def test_a_watch_brings_writes_and_removals_and_tells_of_lost_history(store, standin):
    revision = store.list("p/").value.revision
    standin.put("p/1", 1)
    standin.put("q/1", 1)
    standin.remove("p/1")
    changes = store.watch("p/", revision, 1.0).value
    assert isinstance(changes, Changes)
    assert [(c.key, c.item is None) for c in changes.changes] == [
        ("p/1", False),
        ("p/1", True),
    ]
    standin.history = 3
    for number in range(5):
        standin.put(f"p/{number}", 1)
    assert store.watch("p/", revision, 0.1) == Done(HistoryLost())


def test_keys_end_with_their_lease(store):
    lease = store.grant_lease(30.0).value
    store.commit(put("a", lease=lease))
    assert store.renew_lease(lease) == Done(True)
    assert store.end_lease(lease) == Done(True)
    assert store.read("a") == Done(None)
    assert store.renew_lease(lease) == Done(False)
    assert store.commit(put("a", lease=lease)).value.lease_ended


def test_refusals_are_certain_and_lost_answers_are_not(store, standin):
    # Guards against reporting a write that took effect as one that did not.
    standin.refusing = True
    assert isinstance(store.commit(put("a")), NotDone)
    standin.refusing = False
    standin.losing = True
    assert isinstance(store.commit(put("a")), Unknown)
    assert store.read("a").value.value == b"x"


class Peer:
    """A peer that the store serves."""

    def __init__(self, store):
        self.store, self.calls = store, 0

    def call(self, vm, method, request, timeout):
        """Make a call of the store."""
        assert method == "CallStore"
        self.calls += 1
        return Done(self.store._serve_call(request))


def test_a_peer_makes_the_calls_of_a_daemon_that_is_turned_away(store):
    # Guards against a daemon that the store turns away while it serves the others.
    away = PlatformStore("127.0.0.1:1", Peer(store), lambda: ["vm2"])
    assert isinstance(away.commit(put("a")).value, Committed)
    assert away.read("a").value.value == b"x"
    assert not away.served_directly
    assert away.list("a").value.items[0].key == "a"


def test_a_conflict_by_way_of_a_peer_may_be_the_calls_own_effect(store, standin):
    # Guards against taking an own write for that of another daemon.
    standin.losing = True
    peer = Peer(store)

    def call(vm, method, request, timeout):
        standin.losing = False
        return Done(store._serve_call(request))

    peer.call = call
    client = PlatformStore(store.address, peer, lambda: ["vm2"])
    assert isinstance(client.commit(put("a")), Unknown)


def test_malformed_answers_are_not_taken_for_done(store, monkeypatch):
    monkeypatch.setattr(
        PlatformStore,
        "_call",
        lambda *_, **__: Done((200, b'{"items": [{"key": 1}]}')),
    )
    assert isinstance(store.list("p/"), Unknown)
    assert isinstance(store.watch("p/", 0, 0.1), Unknown)
    reply = store._serve_call(
        peer_pb2.CallStoreRequest(method="GET", path="/none", timeout=1.0)
    )
    assert reply.status == 404
