"""Tests of sessions."""

from ...runtime.clock import boottime
from ..session import Session
from .builders import MemoryStore, until


def test_session_that_nobody_needs_costs_no_calls():
    # Guards against renewals that grow with the fleet: most daemons of a large one own
    # no jobs and hold no duty.
    store = MemoryStore()
    session = Session(store)
    session.start()
    assert not until(lambda: store.calls, 1.0)
    assert not session.alive
    session.close()


def test_request_opens_a_session_at_once():
    # Guards against a job that is refused because no session was open.
    store = MemoryStore()
    session = Session(store)
    session.start()
    started_at = boottime()
    assert session.request(wait=1.0)
    assert boottime() - started_at < 0.3
    assert session.lease in store.leases
    session.close()
    assert not store.leases


def test_request_returns_in_time_while_the_store_is_away():
    # Guards against a submission that waits for a store that does not answer.
    store = MemoryStore()
    session = Session(store)
    session.start()
    with store.outage():
        started_at = boottime()
        assert not session.request(wait=0.2)
        assert 0.15 < boottime() - started_at < 0.5
    session.close()


def test_idle_session_is_not_renewed():
    # Guards against a lease that is renewed for ever after one job.
    store = MemoryStore()
    session = Session(store, idle_timeout_s=0.1)
    session.start()
    assert session.request(wait=1.0)
    assert until(lambda: not session.lease, 3.0)
    assert not session.alive
    session.close()


def test_session_stays_open_while_it_is_held():
    # Guards against an owner of jobs whose session ends for lack of requests.
    store, needed = MemoryStore(), [True]
    session = Session(store, idle_timeout_s=0.1)
    session.hold_while(lambda: needed[0])
    session.start()
    assert until(lambda: session.alive)
    lease = session.lease
    assert not until(lambda: session.lease != lease, 2.0)
    needed[0] = False
    assert until(lambda: not session.alive, 3.0)
    session.close()
