"""Tests of how the client interprets replies from the store."""

import pytest

from ...outcomes import Done, NotDone, Unknown
from ...runtime.wsgi import listen, respond, serve
from .. import Entry, StoreClient

CALLS = {
    "read": lambda store: store.read("a"),
    "write": lambda store: store.write("a", b"x", 0),
    "remove": lambda store: store.remove("a", 1),
    "list": lambda store: store.list_keys("a"),
    "watch": lambda store: store.watch("a", 0, 0.0),
    "acquire": lambda store: store.acquire_lease("a", "vm1", 10.0),
    "renew": lambda store: store.renew_lease("a", "vm1", 1, 10.0),
}


@pytest.fixture
def store_replying():
    """Return a function that starts a store with one fixed reply and its client."""
    servers = []

    def start_store(status, body):
        listener = listen("127.0.0.1:0")
        servers.append(serve(listener, lambda e, start: respond(start, status, body)))
        return StoreClient(f"http://127.0.0.1:{listener.getsockname()[1]}")

    yield start_store
    for server in servers:
        server.kill()


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("body", [[], 3, {"version": None}, {"value": "!"}, None])
def test_malformed_reply_is_unknown(store_replying, call, body):
    # Guards against a malformed reply that raises an exception in a polling loop or
    # counts as success.
    assert isinstance(CALLS[call](store_replying(200, body)), Unknown)


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("status", [400, 401, 405, 429])
def test_rejected_call_is_not_done(store_replying, call, status):
    assert isinstance(CALLS[call](store_replying(status, {})), NotDone)


def test_missing_path_is_not_a_success(store_replying):
    # Guards against a write to a wrong URL that counts as an accepted change.
    store = store_replying(404, {"version": 0})
    assert store.read("a") == Done(Entry(None, 0))
    for call in ("write", "remove", "list", "acquire", "renew"):
        assert isinstance(CALLS[call](store), NotDone)


def test_value_above_the_limit_is_not_sent(store_replying):
    store = store_replying(200, {"version": 1, "value": None})
    assert isinstance(store.write("a", b"x" * 1_000_001, 0), NotDone)
    assert store.calls == 0
