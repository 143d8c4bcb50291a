"""Tests of claims of orphaned jobs."""

from attrs import define, field

from ...coordination import Session
from ...coordination.tests.builders import MemoryStore
from ...membership.tests.builders import fleet_members
from ..takeover import CLAIM_STAGGER_S, TAKEOVER_DELAY_S, OwnershipManager


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
