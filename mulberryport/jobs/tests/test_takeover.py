"""Tests of reacquisitions, and of claims of orphaned jobs."""

import eventlet
from attrs import define, field

from ...coordination import Session
from ...membership.tests.builders import fleet_members
from ...outcomes import Done
from ...runtime.clock import boottime
from ..takeover import CLAIM_STAGGER_S, TAKEOVER_DELAY_S, OwnershipManager
from .builders import Engine, HookedStore, JobDaemon, MemoryStore, make_job, until


@define(eq=False)
class FleetRegistry:
    """Registry of one member of a fleet, for a job without an owner."""

    vm: str
    members: list
    session: Session = field(factory=lambda: Session(MemoryStore()))
    owned: dict = field(factory=dict)

    def owner_vm(self, job_id):
        """Return that the job has no owner."""
        return ""

    def ranked_members(self, job_id):
        """Return the members in the order in which they claim the job."""
        return self.members


def test_members_of_a_herd_claim_a_job_one_after_the_other():
    # Guards against a large fleet that claims a job at once after many daemons were
    # killed: all members ranked fifth or later had the same delay.
    members = fleet_members(165, 5).live()
    delays = sorted(
        OwnershipManager(
            FleetRegistry(member.vm, members), None, None
        ).takeover_delay_s("job")
        for member in members
    )
    gaps = [after - before for before, after in zip(delays, delays[1:], strict=False)]
    assert delays[0] == TAKEOVER_DELAY_S
    assert min(gaps) > 0.9 * CLAIM_STAGGER_S


def test_second_reacquisition_of_a_job_does_not_close_it():
    # Guards against items that are generated again after a session ended: of two
    # reacquisitions side by side, the slower one compared the results that it had
    # read with those that were committed after the faster one, and closed the job.
    connection = HookedStore(MemoryStore())
    daemon = JobDaemon(connection, engine=Engine(pause=60.0))
    daemon.jobs.submit(make_job(), boottime() + 2.0)
    owned = daemon.jobs.registry.owned["job1"]
    connection.expire(daemon.session.lease)
    assert until(lambda: not daemon.session.alive)
    assert until(lambda: daemon.session.alive and owned.ownership_lock.balance == 1)
    connection.expire(daemon.session.lease)
    daemon.session._lease = connection.grant_lease(3.0).value
    outcomes, is_slow = [], [True]

    def reacquire():
        outcomes.append(daemon.jobs._context.reacquire(owned))

    def delay_first_read(prefix):
        if "/results/" in prefix and is_slow.pop():
            connection.hook = lambda key: None
            eventlet.spawn(reacquire)
            eventlet.sleep(0.2)
            # Stands for a commit under the ownership of the faster one.
            if outcomes:
                owned.committed.append(b"result")

    connection.hook = delay_first_read
    reacquire()
    assert until(lambda: len(outcomes) == 2)
    assert outcomes == [Done(True), Done(True)]
    daemon.die()
