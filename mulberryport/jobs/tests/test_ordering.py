"""Tests of guarded writes whose condition outlives what they were computed from."""

import eventlet

from ...outcomes import Done
from ...runtime.clock import boottime
from .builders import Engine, HookedStore, JobDaemon, MemoryStore, make_job, until


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
