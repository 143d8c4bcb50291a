"""Tests of the client of the platform's store."""

import eventlet
import pytest

from ...coordination import (
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Mirror,
    Put,
    Session,
    SharedWatch,
    Transaction,
    hold_session,
)
from ...coordination.tests.builders import until
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
    """Return a transaction that writes a key at an expected revision."""
    return Transaction(expected={key: revision}, puts=(Put(key, value, lease),))


def test_commit_checks_the_expected_revisions(store):
    first = store.commit(put("a", b"\x00\xff"))
    assert isinstance(first.value, Committed)
    assert store.read("a").value.value == b"\x00\xff"
    conflict = store.commit(put("a"))
    assert isinstance(conflict.value, Conflict)
    assert conflict.value.items[0].revision == first.value.revision
    again = store.commit(put("a", b"new", first.value.revision))
    assert isinstance(again.value, Committed)
    assert store.read("b") == Done(None)


def test_list_returns_all_pages(store, standin):
    for number in range(250):
        standin.put(f"p/{number:03}", number)
    listing = store.list("p/").value
    assert len(listing.items) == 250
    assert len({item.key for item in listing.items}) == 250


def test_watch_returns_writes_and_removals_and_reports_lost_history(store, standin):
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


def test_keys_are_removed_with_their_lease(store):
    lease = store.grant_lease(30.0).value
    store.commit(put("a", lease=lease))
    assert store.renew_lease(lease) == Done(True)
    assert store.end_lease(lease) == Done(True)
    assert store.read("a") == Done(None)
    assert store.renew_lease(lease) == Done(False)
    assert store.commit(put("a", lease=lease)).value.lease_ended


def test_refusal_is_not_done_and_lost_response_is_unknown(store, standin):
    # Guards against reporting a write that took effect as not done.
    standin.refusing = True
    assert isinstance(store.commit(put("a")), NotDone)
    standin.refusing = False
    standin.losing = True
    assert isinstance(store.commit(put("a")), Unknown)
    assert store.read("a").value.value == b"x"


class Peer:
    """Peer that the store serves and that relays calls."""

    def __init__(self, store):
        self.store, self.calls = store, 0

    def call(self, vm, method, request, timeout):
        """Relay a call to the store."""
        assert method == "CallStore"
        self.calls += 1
        return Done(self.store._serve_call(request))


def test_a_peer_makes_the_calls_of_a_daemon_that_is_turned_away(store):
    # Guards against failing calls of one daemon while the store serves the others.
    client = PlatformStore("127.0.0.1:1", Peer(store), lambda: ["vm2"])
    assert isinstance(client.commit(put("a")).value, Committed)
    assert client.read("a").value.value == b"x"
    assert not client.served_directly
    assert client.list("a").value.items[0].key == "a"


def test_relayed_conflict_after_an_unknown_outcome_is_unknown(store, standin):
    # Guards against mistaking this daemon's own write for that of another daemon: the
    # response of the direct call is lost, so the relayed call conflicts with it.
    standin.losing = True
    peer = Peer(store)

    def call(vm, method, request, timeout):
        standin.losing = False
        return Done(store._serve_call(request))

    peer.call = call
    client = PlatformStore(store.address, peer, lambda: ["vm2"])
    assert isinstance(client.commit(put("a")), Unknown)


class SilentPeer:
    """Relay whose replies are lost; the first call that it got takes effect.

    Parameters
    ----------
    store : PlatformStore
        The store that executes the call.
    other : Peer
        Relay that is asked next and that replies.
    """

    def __init__(self, store, other):
        self.store, self.other = store, other

    def call(self, vm, method, request, timeout):
        """Relay a call and lose the reply if it is the silent VM's."""
        if vm != "silent":
            return self.other.call(vm, method, request, timeout)
        self.store._serve_call(request)
        return Unknown("the reply of the relay was lost")


def test_conflict_after_a_relay_without_reply_is_unknown(store):
    # Guards against mistaking this daemon's own write for that of another daemon: the
    # first relay executed the call, so the call by way of the second conflicts with it.
    peers = SilentPeer(store, Peer(store))
    client = PlatformStore("127.0.0.1:1", peers, lambda: ["silent", "vm2"])
    assert isinstance(client.commit(put("a")), Unknown)
    assert store.read("a").value.value == b"x"


@pytest.mark.parametrize("is_store_back", [False, True])
def test_direct_call_after_a_relay_without_reply_may_have_been_executed(
    store, is_store_back
):
    # Guards against reporting a write that a relay executed as not done or as a
    # conflict, because the direct call that followed was refused.
    peers = SilentPeer(store, Peer(store))
    client = PlatformStore("127.0.0.1:1", None, lambda: ["silent"])
    assert isinstance(client.read("a"), NotDone)
    client.peers = peers
    client.address = store.address if is_store_back else "127.0.0.1:1"
    assert isinstance(client.commit(put("a")), Unknown)
    assert store.read("a").value.value == b"x"


def test_malformed_responses_are_unknown(store, monkeypatch):
    monkeypatch.setattr(
        PlatformStore,
        "_call",
        lambda *_, **__: Done((200, b'{"items": [{"key": 1}]}')),
    )
    assert isinstance(store.list("p/"), Unknown)
    assert isinstance(store.watch("p/", 0, 0.1), Unknown)
    response = store._serve_call(
        peer_pb2.CallStoreRequest(method="GET", path="/none", timeout=1.0)
    )
    assert response.status == 404


def test_watch_notices_a_store_that_falls_silent():
    # Guards against a daemon that serves outdated targets and keys to its followers for
    # the 25 s of a watch: without renewals of its session it made no other call.
    standin, silent = PlatformStandin(), []

    def answer(environ, start_response):
        response = standin(environ, start_response)
        if silent:
            eventlet.sleep(60.0)
        return response

    listener = listen("127.0.0.1:0")
    host, port = listener.getsockname()
    serve(listener, answer)
    store = PlatformStore(f"{host}:{port}")
    watch = SharedWatch(store, None, list)
    session, mirror = Session(store), Mirror(watch, "p/")
    hold_session(session, [watch])
    session.start()
    mirror.start()
    assert until(lambda: mirror.connected)
    eventlet.sleep(0.5)
    silent.append(True)
    assert until(lambda: not mirror.connected, 3.0)
    mirror.stop()
    session._stopped = True
