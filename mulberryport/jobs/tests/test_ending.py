"""Tests of what an owner sends after the end of its job was acknowledged."""

import eventlet
from attrs import define, evolve, field

from ...outcomes import Done, NotDone
from ...peering import peer_pb2
from ..repository import OWNER_PREFIX
from .builders import Engine, HookedStore, JobDaemon, MemoryStore, make_job, until
from .test_service import deadline_in


@define(eq=False)
class ImpatientPeers:
    """Peers whose calls end at their time-out, as over a network.

    Parameters
    ----------
    daemons : dict
        Daemons by VM.
    lost : int
        Number of calls that are lost first.
    """

    daemons: dict = field(factory=dict)
    lost: int = 0
    asked: list = field(factory=list)

    def call(self, vm, method, request, timeout):
        """Forward a ``StopJob`` call to a daemon."""
        if method != "StopJob" or vm not in self.daemons:
            return NotDone("no such call")
        self.asked.append(vm)
        if self.lost:
            self.lost -= 1
            return NotDone("lost")
        thread = eventlet.spawn(self.daemons[vm].jobs._serve_stop, request)
        with eventlet.Timeout(timeout, False):
            return Done(thread.wait())
        # The server ends the green thread of a call that its client gave up.
        thread.kill()
        return NotDone("no answer in time")


def cut_off(daemon, connection):
    """Let a daemon see no changes, and let its reads of the store hang."""
    daemon.mirror._subscribers.clear()
    connection.hook = lambda key: eventlet.sleep(60.0)


def start_fleet(lost=0):
    """Return an owner with its connection to the store, and a reader of its job."""
    store, peers = MemoryStore(), ImpatientPeers(lost=lost)
    connection = HookedStore(store)
    owner = JobDaemon(connection, "vm1", Engine(length=200, pause=0.05), peers=peers)
    owner.jobs.submit(make_job(), deadline_in())
    reader = JobDaemon(store, "vm2", peers=peers)
    reader._running = False
    assert until(lambda: reader.jobs.registry.owner_vm("job1") == "vm1")
    peers.daemons = {"vm1": owner, "vm2": reader}
    return store, peers, connection, owner, reader


def test_the_end_of_a_job_reaches_an_owner_that_the_store_does_not_answer():
    # Guards against items that are sent for seconds after the end of their job: the
    # owner asked the store first, and its check was given up with the call.
    _, _, connection, owner, reader = start_fleet()
    cut_off(owner, connection)
    assert reader.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: "job1" not in owner.jobs.registry.owned, 0.5)
    assert not owner.jobs.registry.heads["job1"].open
    owner.die()
    reader.die()


def test_the_end_of_a_job_is_told_again_if_the_call_is_lost():
    _, peers, connection, owner, reader = start_fleet(lost=3)
    cut_off(owner, connection)
    assert reader.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: "job1" not in owner.jobs.registry.owned, 2.0)
    assert peers.asked == ["vm1"] * 4
    owner.die()
    reader.die()


def test_the_end_of_a_job_is_told_to_its_present_owner():
    # Guards against a daemon that tells the owner that its outdated mirror names.
    store, peers, connection, owner, reader = start_fleet()
    reader.mirror._subscribers.clear()
    reader.mirror.stop()
    other = JobDaemon(store, "vm3", Engine(length=200, pause=0.05), peers=peers)
    peers.daemons["vm3"] = other
    connection.hook = lambda key: eventlet.sleep(60.0)
    owner.session._stopped = True
    store.expire(owner.session.lease)
    assert until(lambda: "job1" in other.jobs.registry.owned)
    reader.mirror._items[OWNER_PREFIX + "job1"] = evolve(
        store.items[OWNER_PREFIX + "job1"], value=b"vm1 1", revision=1
    )
    other.mirror._subscribers.clear()
    assert reader.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: "job1" not in other.jobs.registry.owned, 1.0)
    for daemon in (owner, reader, other):
        daemon.die()


def test_an_owner_is_told_by_a_repeated_end():
    # Guards against a daemon that ended a job, got no answer, and told nobody.
    store, _, connection, owner, reader = start_fleet()
    cut_off(owner, connection)
    head = reader.jobs.registry.heads["job1"]
    reader.jobs._repository.end("job1", head)
    assert until(lambda: not reader.jobs.registry.heads["job1"].open)
    assert reader.jobs.end("job1", "roads") == Done(True)
    assert until(lambda: "job1" not in owner.jobs.registry.owned, 0.5)
    owner.die()
    reader.die()


def test_a_check_goes_on_after_the_call_that_asked_for_it():
    # Guards against a job that two daemons run, because the former owner could not ask
    # the store within the time of the call.
    store, peers, connection, owner, reader = start_fleet()
    owner.mirror._subscribers.clear()
    owner.jobs._ownership_manager.stop()
    store.touch(OWNER_PREFIX + "job1")
    connection.hook = lambda key: eventlet.sleep(0.8)
    request = peer_pb2.StopJobRequest(job="job1")
    assert not isinstance(peers.call("vm1", "StopJob", request, 0.3), Done)
    assert until(lambda: "job1" not in owner.jobs.registry.owned, 2.0)
    owner.die()
    reader.die()


def test_nothing_is_sent_while_the_end_of_a_job_cannot_be_ruled_out():
    # Guards against items and scoring calls of a job that others may have ended.
    daemon = JobDaemon(MemoryStore(), engine=Engine(length=2, pause=0.01))
    outdated = [True]
    daemon.jobs.may_be_outdated = lambda: outdated[0]
    daemon.jobs.submit(make_job(), deadline_in())
    eventlet.sleep(0.3)
    assert not daemon.engine.calls
    outdated[0] = False
    assert until(lambda: len(daemon.engine.scored) == 4)
    daemon.die()
