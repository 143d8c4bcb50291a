"""Tests of leases against a simulated store with delays, losses and pauses."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...outcomes import Done, NotDone, Unknown
from .. import LEASE_MARGIN_S, LEASE_TTL_S
from ..keeper import SECOND_OWNER_WAIT_S
from .builders import NAME, SIZE, LeaseWorld, use_clock


@pytest.fixture
def world(monkeypatch):
    """Return processes with a simulated clock."""
    world = LeaseWorld()
    use_clock(monkeypatch, world)
    return world


class LeaseMachine(RuleBasedStateMachine):
    """Any order of turns, deliveries, losses, pauses and steps of the clock."""

    def __init__(self):
        super().__init__()
        self.world = LeaseWorld()
        self.patch = pytest.MonkeyPatch()
        use_clock(self.patch, self.world)
        self.paused = set()
        self.seen = {}

    def teardown(self):
        """Restore the clock."""
        self.patch.undo()

    @rule(process=st.integers(0, SIZE - 1))
    def turn(self, process):
        """Let a process make the calls that are due."""
        if process not in self.paused:
            self.world.keepers[process].turn()

    @rule(process=st.integers(0, SIZE - 1), seconds=st.sampled_from([0.0, 0.5, 1.9]))
    def undisturbed_turn(self, process, seconds):
        """Let a process make the calls that are due and see their answers."""
        if process in self.paused:
            return
        earlier = list(self.world.calls)
        self.world.keepers[process].turn()
        for call in [c for c in self.world.calls if c not in earlier]:
            self.world.now += seconds
            self.world.arrive(call)
            self.world.finish(call, Done(call.answer))
            self.world.calls.remove(call)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 2.9, 7.9, 9.0]))
    def advance(self, seconds):
        """Let time pass for all."""
        self.world.now += seconds

    @precondition(lambda self: self.world.calls)
    @rule(index=st.integers(0, 9), data=st.data())
    def progress(self, index, data):
        """Deliver, answer or lose one of the calls on their way."""
        world = self.world
        call = world.calls[index % len(world.calls)]
        waiting = call.thread is not None and call.process not in self.paused
        steps = [] if call.arrived else ["arrive"]
        if waiting:
            steps += ["answer", "lose"] if call.arrived else ["lose", "refuse"]
        if not steps:
            return
        step = data.draw(st.sampled_from(steps))
        if step == "arrive":
            world.arrive(call)
        elif step == "answer":
            world.finish(call, Done(call.answer))
        elif step == "lose":
            # A lost call that did not arrive yet may arrive later.
            world.finish(call, Unknown("lost"))
        else:
            world.finish(call, NotDone("refused"))
            call.arrived = True
        world.calls = [c for c in world.calls if c.thread or not c.arrived]

    @rule(process=st.integers(0, SIZE - 1))
    def pause_or_resume(self, process):
        """Stop a process where it is, or let it go on."""
        self.paused ^= {process}

    @rule(order=st.permutations(range(SIZE)))
    def change_owners(self, order):
        """Change the ranks of the processes."""
        self.world.owners = order

    @invariant()
    def one_holder_acts(self):
        """Check what a process would do if it ran now, paused or not."""
        world = self.world
        acting = [n for n in range(SIZE) if world.passes_guard(n)]
        assert len(acting) <= 1
        for process in acting:
            duty = world.keepers[process].duty(NAME)
            assert (world.holder, world.fencing) == (f"{process}/1", duty.fencing)
            # The margin is left even if the process stops right after the guard.
            assert world.expires > world.now + LEASE_MARGIN_S
            assert duty.fencing >= max(self.seen.values(), default=0)
            self.seen[process] = duty.fencing


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=60
)


def test_second_owner_steps_in_after_a_while(world):
    # Guards against two owners that ask the store for each lease all the time, and
    # against a duty that nobody does while its first owner cannot reach the store.
    asked = []
    for _ in range(int(SECOND_OWNER_WAIT_S)):
        asked.append(len(world.calls))
        world.settle(1)
        world.now += 1
        assert not world.passes_guard(1)
    assert not any(asked)
    world.settle(1)
    assert world.passes_guard(1)
    world.now += LEASE_TTL_S + SECOND_OWNER_WAIT_S
    world.settle(2)
    assert not world.passes_guard(2)


def test_first_owner_keeps_a_lease_that_the_second_asks_for(world):
    for _ in range(60):
        world.settle(0)
        world.settle(1)
        world.now += 1
        assert world.passes_guard(0)
    assert world.fencing == 1


def test_successor_waits_before_unfenced_orders(world):
    # Guards against an order of the holder before that takes effect afterwards.
    world.settle(0)
    duty = world.keepers[0].duty(NAME)
    gained_at = world.now
    while world.now < gained_at + 20:
        assert duty.may_order_unfenced(5.0) == (world.now >= gained_at + 15.0)
        world.now += 1
        world.settle(0)
    world.now += LEASE_TTL_S
    assert not duty.may_order_unfenced(5.0)
    world.settle(0)
    assert duty.held and not duty.may_order_unfenced(5.0)


def test_lease_is_given_back_at_a_planned_stop(world):
    # Guards against a duty that rests for a whole lease, and against a renewal on
    # its way that takes it again.
    lost = []
    world.keepers[0].on_loss(lost.append)
    world.settle(0)
    world.now += 4
    world.keepers[0].turn()
    (renewal,) = world.calls
    world.arrive(renewal)
    duty = world.keepers[0].duty(NAME)
    world.keepers[0].release_all()
    world.finish(renewal, Done(renewal.answer))
    world.calls.clear()
    assert not duty.held
    assert [duty.name for duty in lost] == [NAME]
    world.owners = [1, 2]
    world.settle(1)
    assert world.passes_guard(1)


def test_renewal_of_a_duty_that_was_given_up_is_ignored(world):
    # Guards against a duty that goes on without being served.
    world.settle(0)
    world.now += 4
    world.keepers[0].turn()
    (renewal,) = world.calls
    world.arrive(renewal)
    duty = world.keepers[0].duty(NAME)
    world.keepers[0].give_up(NAME)
    world.finish(renewal, Done(renewal.answer))
    assert not duty.held
    assert world.keepers[0].duties == ()
