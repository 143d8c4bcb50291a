"""Tests of sessions and duties."""

import eventlet
import pytest

from ...leases import LeaseLostError
from ..duty import SessionDuty
from ..mirror import Mirror
from ..session import Session
from .builders import MemoryStore, until

KEY = "live/duty"


class Daemon:
    """A daemon that contends for a duty."""

    def __init__(self, store, vm, incarnation=1, turn_time=0.3):
        self.session = Session(store)
        self.mirror = Mirror(store, "live/")
        self.duty = SessionDuty(
            KEY, vm, incarnation, store, self.mirror, self.session, turn_time
        )
        self.session.start()
        self.mirror.start()
        self._running = True
        eventlet.spawn_n(self._run)

    def _run(self):
        while self._running:
            self.duty.update()
            eventlet.sleep(0.02)

    def die(self):
        """Stop without giving anything back."""
        self._running = False
        self.session._stopped = True
        self.mirror.stop()


def test_one_daemon_holds_the_duty_and_the_next_one_follows():
    store = MemoryStore()
    first = Daemon(store, "vm1")
    assert until(lambda: first.duty.active)
    second = Daemon(store, "vm2")
    assert not until(lambda: second.duty.active, 0.5)
    fencing = first.duty.fencing
    first.die()
    store.expire(first.session.lease)
    assert until(lambda: second.duty.active)
    assert second.duty.fencing > fencing
    with pytest.raises(LeaseLostError):
        first.duty.guard(10.0)
    second.die()


def test_a_restarted_daemon_takes_its_own_duty_over_at_once():
    # Guards against waiting for the session of a process that certainly is gone.
    store = MemoryStore()
    before = Daemon(store, "vm1")
    assert until(lambda: before.duty.active)
    before.die()
    after = Daemon(store, "vm1", incarnation=2, turn_time=30.0)
    assert until(lambda: after.duty.active, 2.0)
    assert after.duty.fencing > before.duty.fencing
    after.die()


def test_a_holder_that_comes_back_waits_for_the_turn_time():
    # Guards against two daemons that take turns within a short time.
    store = MemoryStore()
    first = Daemon(store, "vm1", turn_time=1.0)
    assert until(lambda: first.duty.active)
    store.expire(first.session.lease)
    assert until(lambda: not first.duty.active)
    assert until(lambda: KEY in store.items)
    assert not first.duty.active
    assert until(lambda: first.duty.active, 3.0)
    first.die()


def test_a_lost_answer_still_gives_the_duty_to_its_holder():
    # Guards against a duty that nobody knows to hold.
    store = MemoryStore(losing=True)
    daemon = Daemon(store, "vm1")
    assert until(lambda: KEY in store.items)
    store.losing = False
    assert until(lambda: daemon.duty.active)
    daemon.die()


def test_nothing_may_be_done_after_the_session_could_have_ended():
    store = MemoryStore()
    daemon = Daemon(store, "vm1")
    assert until(lambda: daemon.duty.active)
    with store.outage():
        assert until(lambda: not daemon.duty.active, 6.0)
    daemon.die()


def test_a_session_that_ended_is_opened_again_and_told():
    store, opened = MemoryStore(), []
    session = Session(store)
    session.on_open(lambda: opened.append(session.lease))
    session.start()
    assert until(lambda: opened)
    store.expire(session.lease)
    assert until(lambda: len(opened) == 2)
    session.close()
    assert not store.leases
