"""Tests of guarded writes whose condition outlives what they were computed from."""

import eventlet
import greenlet

from ...outcomes import Done
from ...runtime.clock import boottime
from ..repository import OWNER_PREFIX
from .builders import (
    Engine,
    HookedStore,
    JobDaemon,
    LateStore,
    MemoryStore,
    make_job,
    puts_results,
    until,
)
from .test_service import deadline_in, read_all


def test_nothing_is_listed_after_the_end_of_a_job():
    # Guards against results that some daemons list and others never do: a daemon that
    # has read the results of an ended job keeps that list, and an owner claimed the
    # job after its end, with a head that it had read before.
    store = MemoryStore()
    connection = HookedStore(store)
    # The last page expects the head, so the items end one after the other.
    pauses = {f"job1-{n}": 0.4 * (n + 1) for n in range(4)}
    owner = JobDaemon(connection, "vm1", Engine(pauses=pauses))
    reader = JobDaemon(store, "vm2")
    # The reader takes nothing over.
    reader._running = False
    owner.jobs.submit(make_job(), boottime() + 2.0)
    assert until(lambda: "job1" in reader.jobs.registry.heads)

    def end_job(key):
        if "/job/" not in key:
            return
        connection.hook = lambda key: None
        # Stands for a mirror that delivers the end late.
        owner.mirror._subscribers.clear()
        assert reader.jobs.end("job1", "roads") == Done(True)

    connection.hook = end_job
    store.expire(owner.session.lease)
    assert until(lambda: not reader.jobs.registry.heads["job1"].open)
    read = reader.jobs.read("job1", "roads", 0, 0.0)
    eventlet.sleep(2.5)
    listed = owner.jobs._repository.read_results("job1")
    assert len(listed.value) == len(read.value.results)
    owner.die()
    reader.die()


def test_reacquisition_in_a_session_that_ended_does_not_replace_that_of_the_next():
    # Guards against a job without an owner key that its owner still runs, which another
    # daemon takes over: a reacquisition ended after its session did, and the one of the
    # new session took that for its own.
    store = MemoryStore()
    connection = HookedStore(store)
    daemon = JobDaemon(connection, engine=Engine(pause=60.0))
    daemon.jobs.submit(make_job(), boottime() + 2.0)
    owned = daemon.jobs.registry.owned["job1"]
    leases = []

    def end_session(prefix):
        if "/results/" not in prefix:
            return
        connection.hook = lambda key: None
        lease = daemon.session.lease
        leases.append(lease)
        store.expire(lease)
        assert until(lambda: daemon.session.lease not in (0, lease))
        leases.append(daemon.session.lease)
        # The new session's reacquisition waits for this one.
        eventlet.sleep(0.2)

    connection.hook = end_session
    store.expire(daemon.session.lease)
    assert until(lambda: len(leases) == 2)
    assert until(lambda: owned.lease == leases[1], 2.0)
    owner = store.items.get(OWNER_PREFIX + "job1")
    assert owner is not None and owner.revision == owned.ownership
    daemon.die()


def test_repeated_submission_does_not_end_the_protection_of_the_first():
    # Guards against a job that is taken over at the daemon that is still creating it:
    # the first of two submissions to end cleared the protection of both.
    connection = LateStore(MemoryStore())
    daemon = JobDaemon(connection, engine=Engine(pause=60.0))
    job, registry = make_job(), daemon.jobs.registry
    protected = []

    def submit_again(transaction):
        connection.is_late = lambda transaction: False
        assert daemon.jobs.submit(job, boottime() + 1.0) == Done(True)
        protected.append(registry.is_in_transition("job1"))
        return False

    connection.is_late = submit_again
    assert daemon.jobs.submit(job, boottime() + 2.0) == Done(True)
    assert protected == [True]
    assert not registry.is_in_transition("job1")
    daemon.die()


class HeldStore(LateStore):
    """Connection to a store whose first answer to results comes when it is released."""

    def __init__(self, store):
        super().__init__(store)
        self.is_asked, self.released = eventlet.event.Event(), eventlet.event.Event()

    def commit(self, transaction):
        """Apply a transaction, and hold back the first answer to results."""
        outcome = self.store.commit(transaction)
        if puts_results(transaction) and not self.is_asked.ready():
            self.is_asked.send()
            self.released.wait()
        return outcome


class ReleasingEngine(Engine):
    """Engine that releases an answer of the store when a text is cancelled."""

    released = None

    def generate(self, view, job, item, transcript, on_event):
        """Generate a text; that of a cancelled item releases the answer."""
        try:
            super().generate(view, job, item, transcript, on_event)
        except greenlet.GreenletExit:
            if not self.released.ready():
                self.released.send()
            raise


def test_a_commit_that_ends_while_the_job_is_handed_over_lists_nothing_twice():
    # Guards against results that a planned stop commits again, behind themselves: the
    # committer ended its commit after the stop had noted what was to be committed.
    store = HeldStore(MemoryStore())
    engine = ReleasingEngine(pauses={f"job1-{n}": 60.0 for n in range(2, 8)})
    engine.released = store.released
    daemon = JobDaemon(store, engine=engine)
    assert daemon.jobs.submit(make_job(items=8, scored=False), deadline_in()) == Done(
        True
    )
    store.is_asked.wait()
    daemon.jobs.registry.owned["job1"].hand_over()
    listed = read_all(daemon)
    assert sorted(result[0] for result in listed) == ["job1-0", "job1-1"]
    daemon.die()


class CancellingEngine(Engine):
    """Engine that kills a green thread when the first of its texts is cancelled."""

    def __init__(self):
        super().__init__(pause=60.0)
        self.ended, self.closer = [], None

    def generate(self, view, job, item, transcript, on_event):
        """Generate a text, and record that it ended."""
        try:
            super().generate(view, job, item, transcript, on_event)
        finally:
            self.ended.append(item.id)
            if len(self.ended) == 1:
                self.closer.kill()


def test_all_items_of_a_closed_job_end_if_the_call_that_closes_it_is_cancelled():
    # Guards against items that go on after the end of their job, for as long as they
    # last: the call of the peer that stopped the job ended after some were cancelled.
    engine = CancellingEngine()
    daemon = JobDaemon(MemoryStore(), engine=engine)
    job = make_job(items=8, scored=False)
    assert daemon.jobs.submit(job, deadline_in()) == Done(True)
    assert until(lambda: len(engine.calls) == 8)
    owned = daemon.jobs.registry.owned["job1"]
    engine.closer = eventlet.spawn(owned.close, "stopped by a peer")
    assert until(lambda: len(engine.ended) == 8)
    daemon.die()
