"""Tests of mirrors."""

from contextlib import contextmanager

from ..mirror import Mirror
from .builders import MemoryStore, until


@contextmanager
def following(store, prefix="a/"):
    """Run a mirror and record its changes."""
    mirror, seen = Mirror(store, prefix), []
    mirror.subscribe(lambda c: seen.append((c.key, c.item and c.item.value)))
    mirror.start()
    try:
        assert until(lambda: mirror.loaded)
        yield mirror, seen
    finally:
        mirror.stop()


def test_changes_arrive_once_and_other_prefixes_do_not():
    store = MemoryStore()
    store.write("a/1", b"old")
    with following(store) as (mirror, seen):
        store.write("a/2", b"new")
        store.write("b/1", b"other")
        assert until(lambda: mirror.get("a/2") is not None)
        assert seen == [("a/1", b"old"), ("a/2", b"new")]


def test_changes_during_an_outage_are_not_missed():
    # Guards against a mirror that stays behind after the store was away.
    store = MemoryStore()
    with following(store) as (mirror, _):
        with store.outage():
            assert until(lambda: not mirror.connected)
            store.write("a/1", b"meanwhile")
        assert until(lambda: mirror.get("a/1") is not None)
        assert mirror.connected


def test_lost_history_is_replaced_by_a_full_read():
    # Guards against keys that vanished, or came, while no watch could see it.
    store = MemoryStore()
    store.write("a/gone", b"x")
    with following(store) as (mirror, seen):
        del store.items["a/gone"]
        store.forget_history({"a/came": b"y"})
        assert until(lambda: mirror.get("a/came") is not None)
        assert mirror.get("a/gone") is None
        assert ("a/gone", None) in seen


def test_an_older_change_does_not_replace_a_newer_one():
    # Guards against going back when an own commit overtook the watch.
    store = MemoryStore()
    with following(store) as (mirror, seen):
        item = store.write("a/1", b"new")
        assert until(lambda: mirror.get("a/1") is not None)
        from ..model import Change, Item

        mirror.apply(Change("a/1", 1, Item("a/1", b"old", 1)))
        assert mirror.get("a/1") == item
        assert len(seen) == 1


def test_a_failing_subscriber_does_not_stop_the_others():
    store = MemoryStore()
    mirror, seen = Mirror(store, "a/"), []

    def fail(change):
        raise RuntimeError("subscriber")

    mirror.subscribe(fail)
    mirror.subscribe(seen.append)
    mirror.start()
    store.write("a/1", b"x")
    assert until(lambda: seen)
    mirror.stop()


def test_a_watch_that_brings_nothing_is_given_up_when_others_know_more():
    # Guards against a withdrawn key that lives on behind a silent connection.
    store = MemoryStore()
    with following(store) as (mirror, _):
        quiet = store._history
        store._history = []
        item = store.write("a/1", b"withdrawn")
        store._history = quiet
        assert not until(lambda: mirror.get("a/1") is not None, 0.5)
        mirror.expect_revision(item.revision)
        assert until(lambda: mirror.get("a/1") is not None, 2.0)
        mirror.expect_revision(item.revision)
        assert mirror.newest_revision == item.revision


def test_a_read_in_full_covers_removals_that_others_saw():
    # Guards against reading the prefix again for ever after lost history.
    store = MemoryStore()
    store.write("a/1", b"x")
    with following(store) as (mirror, _):
        removed = store.revision + 1
        store.forget_history({"a/2": b"y"})
        assert until(lambda: mirror.get("a/2") is not None)
        calls = store.calls
        mirror.expect_revision(removed)
        assert not until(lambda: store.calls > calls + 1, 1.0)
