"""Tests of jobs at daemons that cannot serve yet."""

import eventlet
from attrs import evolve

from ...coordination import Conflict
from ...membership import Member, rendezvous_order
from ...outcomes import Done, NotDone
from ...peering import peer_pb2
from ...runtime.clock import boottime
from ..codec import encode_job
from .builders import Engine, JobDaemon, MemoryStore, make_job, until

KEY = "roads/drafts"


class LinkedPeers:
    """Peers that handle ``SubmitJob`` calls."""

    def __init__(self):
        self.daemons = {}
        self.asked = []

    def call(self, vm, method, request, timeout):
        """Forward a ``SubmitJob`` call to a daemon."""
        if method != "SubmitJob" or vm not in self.daemons:
            return NotDone("no such call")
        self.asked.append(vm)
        return Done(self.daemons[vm].jobs._submitter.serve_submit(request))


def members_of(daemon):
    """Return the members that a daemon knows."""
    return daemon.jobs.registry.members


def make_pair(store, configured=True):
    """Return a daemon, and the preferred owner of its jobs, with links to each other.

    Parameters
    ----------
    configured : bool
        Whether the preferred owner has a configuration.
    """
    peers = LinkedPeers()
    preferred, other = (
        m.vm
        for m in rendezvous_order(KEY, [Member("vm1", "a", ""), Member("vm2", "a", "")])
    )
    owner = JobDaemon(store, preferred, peers=peers, configured=configured)
    sender = JobDaemon(store, other, peers=peers)
    peers.daemons = {preferred: owner, other: sender}
    for daemon, peer in ((owner, sender), (sender, owner)):
        member = evolve(members_of(peer).self_member, heard_at=boottime())
        members_of(daemon).record_heartbeat(member)
    return sender, owner, peers


def report(daemon, peer):
    """Apply a heartbeat of a peer."""
    member = evolve(members_of(peer).self_member, heard_at=boottime())
    members_of(daemon).record_heartbeat(member)


def test_job_is_not_forwarded_to_a_daemon_that_cannot_serve_yet():
    # Guards against a job at a daemon that has no configuration to execute it.
    sender, owner, peers = make_pair(MemoryStore())
    members_of(owner).set_serving(False)
    report(sender, owner)
    assert sender.jobs.submit(make_job(), boottime() + 2) == Done(True)
    assert peers.asked == [] and "job1" in sender.jobs.registry.owned
    members_of(owner).set_serving(True)
    report(sender, owner)
    assert sender.jobs.submit(make_job("job2"), boottime() + 2) == Done(True)
    assert peers.asked == [members_of(owner).self_member.vm]
    assert "job2" in owner.jobs.registry.owned
    sender.die()
    owner.die()


def test_job_that_a_daemon_without_a_configuration_declines_stays_with_its_sender():
    # Guards against a job given to a daemon whose restart its peers have not noticed.
    sender, owner, peers = make_pair(MemoryStore(), configured=False)
    members_of(owner).set_serving(False)
    started_at = boottime()
    assert sender.jobs.submit(make_job(), boottime() + 2) == Done(True)
    assert peers.asked == [members_of(owner).self_member.vm]
    assert boottime() - started_at < 0.3
    assert "job1" in sender.jobs.registry.owned
    assert "job1" not in owner.jobs.registry.owned
    sender.die()
    owner.die()


def test_daemon_that_cannot_serve_still_confirms_a_job_that_it_owns():
    # Guards against reporting as not accepted a job that runs.
    daemon = JobDaemon(MemoryStore(), engine=Engine(pause=1.0))
    assert daemon.jobs.submit(make_job(), boottime() + 2) == Done(True)
    members_of(daemon).set_serving(False)
    reply = daemon.jobs._submitter.serve_submit(
        peer_pb2.SubmitJobRequest(job=encode_job(make_job()), patience=0.4)
    )
    assert reply.result == peer_pb2.SubmitJobReply.ACCEPTED
    daemon.die()


def test_takeovers_wait_until_the_daemon_can_serve():
    # Guards against jobs claimed by a daemon that cannot execute them.
    store = MemoryStore()
    first = JobDaemon(store, "vm1", Engine(pause=5.0))
    first.jobs.submit(make_job(), boottime() + 2)
    second = JobDaemon(store, "vm2", Engine(pause=1.0))
    members_of(second).set_serving(False)
    first.die()
    eventlet.sleep(1.0)
    assert not second.jobs.registry.owned
    members_of(second).set_serving(True)
    assert until(lambda: "job1" in second.jobs.registry.owned)
    second.die()


def test_members_that_cannot_serve_do_not_delay_takeovers_unless_most_cannot():
    # Guards against takeovers that wait for a daemon that will not claim the job, and
    # against all daemons claiming it at once after a restart of the whole fleet.
    daemon = JobDaemon(MemoryStore(), "vm1")
    members = members_of(daemon)
    others = [Member(f"vm{n}", "a", "", 1, False, boottime()) for n in range(2, 6)]
    for number, member in enumerate(others):
        members.record_heartbeat(evolve(member, serving=number >= 2))
    ranked = daemon.jobs.registry.ranked_members("job1")
    assert sorted(m.vm for m in ranked) == ["vm1", "vm4", "vm5"]
    for member in others:
        heard = evolve(member, serving=False, heard_at=boottime())
        members.record_heartbeat(heard)
    assert len(daemon.jobs.registry.ranked_members("job1")) == 5
    daemon.die()


def test_job_that_cannot_be_read_back_is_not_reported_as_of_another_workspace():
    # Guards against a caller that is told for good that its job is not its own,
    # because the job was deleted between the refused creation and the check.
    daemon = JobDaemon(MemoryStore())
    registry = daemon.jobs.registry
    repository = registry.repository
    reads = [Done(None)]

    class DeletedMeanwhile:
        """Repository whose first read does not find the job."""

        def __getattr__(self, name):
            return getattr(repository, name)

        def create(self, job, owner_id, lease):
            """Refuse to create the job as long as the first read is to come."""
            if reads:
                return Done(Conflict())
            return repository.create(job, owner_id, lease)

        def read_head(self, job_id):
            """Return the scripted outcome, then those of the store."""
            return reads.pop() if reads else repository.read_head(job_id)

    registry.repository = DeletedMeanwhile()
    assert daemon.jobs.submit(make_job(), boottime() + 2) == Done(True)
    daemon.die()
