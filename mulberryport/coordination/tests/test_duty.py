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
    """A daemon that competes for a duty."""

    def __init__(self, store, vm, incarnation=1, reacquire_delay_s=0.3):
        self.session = Session(store)
        self.mirror = Mirror(store, "live/")
        self.duty = SessionDuty(
            KEY, vm, incarnation, store, self.mirror, self.session, reacquire_delay_s
        )
        self.session.start()
        self.mirror.start()
        self._running = True
        eventlet.spawn_n(self._run)

    def _run(self):
        while self._running:
            self.duty.run_once()
            eventlet.sleep(0.02)

    def crash(self):
        """Stop without releasing the duty or revoking the lease."""
        self._running = False
        self.session._stopped = True
        self.mirror.stop()


def test_another_daemon_acquires_the_duty_when_the_session_expires():
    store = MemoryStore()
    first = Daemon(store, "vm1")
    assert until(lambda: first.duty.active)
    second = Daemon(store, "vm2")
    assert not until(lambda: second.duty.active, 0.5)
    fencing = first.duty.fencing
    first.crash()
    store.expire(first.session.lease)
    assert until(lambda: second.duty.active)
    assert second.duty.fencing > fencing
    with pytest.raises(LeaseLostError):
        first.duty.guard(10.0)
    second.crash()


def test_restarted_daemon_takes_over_its_duty_without_delay():
    # Guards against waiting for the session of a process that has certainly ended.
    store = MemoryStore()
    before = Daemon(store, "vm1")
    assert until(lambda: before.duty.active)
    before.crash()
    after = Daemon(store, "vm1", incarnation=2, reacquire_delay_s=30.0)
    assert until(lambda: after.duty.active, 2.0)
    assert after.duty.fencing > before.duty.fencing
    after.crash()


def test_former_holder_waits_for_the_reacquire_delay():
    # Guards against a duty that moves back and forth within the delay.
    store = MemoryStore()
    first = Daemon(store, "vm1", reacquire_delay_s=1.0)
    assert until(lambda: first.duty.active)
    store.expire(first.session.lease)
    assert until(lambda: not first.duty.active)
    assert until(lambda: KEY in store.items)
    assert not first.duty.active
    assert until(lambda: first.duty.active, 3.0)
    first.crash()


def test_duty_is_held_when_the_answer_of_the_commit_is_lost():
    # Guards against a duty whose key exists while no daemon acts as its holder.
    store = MemoryStore(losing=True)
    daemon = Daemon(store, "vm1")
    assert until(lambda: KEY in store.items)
    store.losing = False
    assert until(lambda: daemon.duty.active)
    daemon.crash()


def test_duty_is_inactive_once_the_session_may_have_expired():
    store = MemoryStore()
    daemon = Daemon(store, "vm1")
    assert until(lambda: daemon.duty.active)
    with store.outage():
        assert until(lambda: not daemon.duty.active, 6.0)
    daemon.crash()


def test_expired_session_is_reopened_and_callbacks_run():
    store, opened = MemoryStore(), []
    session = Session(store)
    session.on_open(lambda: opened.append(session.lease))
    session.start()
    assert session.request(wait=1.0)
    assert until(lambda: opened)
    store.expire(session.lease)
    assert until(lambda: len(opened) == 2)
    session.close()
    assert not store.leases
