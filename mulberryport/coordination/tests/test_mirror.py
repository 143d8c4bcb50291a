"""Tests of mirrors."""

from contextlib import contextmanager

import eventlet
from attrs import define
from eventlet.event import Event

from ...outcomes import NotDone
from ..mirror import Mirror
from .builders import MemoryStore, until


@contextmanager
def running_mirror(store, prefix="a/"):
    """Run a mirror and record the changes that it passes to a subscriber."""
    mirror, seen = Mirror(store, prefix), []
    mirror.subscribe(lambda c: seen.append((c.key, c.item and c.item.value)))
    mirror.start()
    try:
        assert until(lambda: mirror.loaded)
        yield mirror, seen
    finally:
        mirror.stop()


def test_changes_under_the_prefix_are_delivered_once():
    store = MemoryStore()
    store.write("a/1", b"old")
    with running_mirror(store) as (mirror, seen):
        store.write("a/2", b"new")
        store.write("b/1", b"other")
        assert until(lambda: mirror.get("a/2") is not None)
        assert seen == [("a/1", b"old"), ("a/2", b"new")]


def test_changes_during_an_outage_are_delivered_afterwards():
    # Guards against a mirror that stays outdated after an outage of the store.
    store = MemoryStore()
    with running_mirror(store) as (mirror, _):
        with store.outage():
            assert until(lambda: not mirror.connected)
            store.write("a/1", b"meanwhile")
        assert until(lambda: mirror.get("a/1") is not None)
        assert mirror.connected


def test_prefix_is_listed_again_when_the_history_is_lost():
    # Guards against missing writes and removals that happened while no watch was open.
    store = MemoryStore()
    store.write("a/gone", b"x")
    with running_mirror(store) as (mirror, seen):
        del store.items["a/gone"]
        store.compact({"a/came": b"y"})
        assert until(lambda: mirror.get("a/came") is not None)
        assert mirror.get("a/gone") is None
        assert ("a/gone", None) in seen


def test_older_change_does_not_replace_a_newer_one():
    # Guards against reverting this daemon's own commit, which the mirror applies before
    # the watch delivers older changes.
    store = MemoryStore()
    with running_mirror(store) as (mirror, seen):
        item = store.write("a/1", b"new")
        assert until(lambda: mirror.get("a/1") is not None)
        from ..model import Change, Item

        mirror.apply(Change("a/1", 1, Item("a/1", b"old", 1)))
        assert mirror.get("a/1") == item
        assert len(seen) == 1


def test_failing_subscriber_does_not_affect_the_others():
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


def test_stalled_watch_is_aborted_when_another_daemon_is_ahead():
    # Guards against a withdrawn key that stays valid because the connection of the
    # watch no longer passes data.
    store = MemoryStore()
    with running_mirror(store) as (mirror, _):
        history = store._history
        store._history = []
        item = store.write("a/1", b"withdrawn")
        store._history = history
        assert not until(lambda: mirror.get("a/1") is not None, 0.5)
        mirror.expect_revision(item.revision)
        assert until(lambda: mirror.get("a/1") is not None, 2.0)
        mirror.expect_revision(item.revision)
        assert mirror.newest_revision == item.revision


def test_mirror_is_behind_until_it_has_what_another_daemon_has_seen():
    # Guards against judging by keys that are known to be out of date.
    store = MemoryStore()
    with running_mirror(store) as (mirror, _):
        assert not mirror.is_behind
        mirror.expect_revision(store.revision + 1)
        assert mirror.is_behind
        store.write("a/1", b"x")
        assert until(lambda: not mirror.is_behind)


def test_listing_covers_removals_that_other_daemons_saw():
    # Guards against listing the prefix in an endless loop after lost history.
    store = MemoryStore()
    store.write("a/1", b"x")
    with running_mirror(store) as (mirror, _):
        removed = store.revision + 1
        store.compact({"a/2": b"y"})
        assert until(lambda: mirror.get("a/2") is not None)
        calls = store.calls
        mirror.expect_revision(removed)
        assert not until(lambda: store.calls > calls + 1, 1.0)


@define(eq=False)
class HeldSource:
    """A source whose watches return what a test sends, or wait."""

    store: MemoryStore
    reply: Event | None = None

    def list(self, prefix):
        """List a prefix of the store."""
        return self.store.list(prefix)

    def watch(self, prefix, after, wait):
        """Wait for a reply of the test."""
        self.reply = Event()
        return self.reply.wait()


def test_mirror_survives_a_watch_that_fails_as_it_is_found_to_be_stalled():
    # Guards against a daemon that follows the configuration no more, for good: the
    # abort of a stalled watch reached the mirror after its watch had ended.
    store = MemoryStore()
    source = HeldSource(store)
    with running_mirror(source) as (mirror, _):
        assert until(lambda: source.reply is not None)
        mirror._expected_revision = store.write("a/1", b"x").revision
        # Both reach the mirror in one pass of the hub, the end of the watch first.
        source.reply.send(NotDone("the path to the store was lost"))
        mirror._check_stalled(store.revision)
        source.reply = None
        assert until(lambda: source.reply is not None or mirror.get("a/1"), 2.0)
        mirror._check_stalled(store.revision)
        assert until(lambda: mirror.get("a/1") is not None, 2.0)
        assert not mirror.is_behind and mirror.silent_for_s < 3.0


def test_mirror_goes_on_after_an_unexpected_error():
    # Guards against a mirror that ends by an error that nothing foresaw.
    store = MemoryStore()
    source = HeldSource(store)
    with running_mirror(source) as (mirror, _):
        assert until(lambda: source.reply is not None)
        store.write("a/1", b"x")
        source.reply.send_exception(RuntimeError("unexpected"))
        assert until(lambda: mirror.get("a/1") is not None, 2.0)


def test_mirror_tells_for_how_long_it_lacks_what_others_have_seen():
    # Guards against a daemon that counts as ready while it accepts withdrawn keys.
    store = MemoryStore()
    with running_mirror(HeldSource(store)) as (mirror, _):
        assert mirror.behind_for_s == 0.0
        mirror.expect_revision(store.revision + 5)
        eventlet.sleep(0.1)
        mirror.expect_revision(store.revision + 6)
        assert mirror.behind_for_s >= 0.1
