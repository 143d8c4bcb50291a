"""Tests of leases against a simulated store with delays, losses and pauses."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from ...outcomes import Done, NotDone, Unknown
from .. import LEASE_MARGIN_S, LEASE_TTL_S
from ..manager import SECOND_OWNER_DELAY_S
from .builders import DUTY_NAME, PROCESS_COUNT, LeaseSimulation, install_simulated_clock


@pytest.fixture
def simulation(monkeypatch):
    """Return a simulation whose clock replaces the system clock."""
    simulation = LeaseSimulation()
    install_simulated_clock(monkeypatch, simulation)
    return simulation


class LeaseMachine(RuleBasedStateMachine):
    """State machine of manager runs, deliveries, losses, pauses and clock steps."""

    def __init__(self):
        super().__init__()
        self.simulation = LeaseSimulation()
        self.patch = pytest.MonkeyPatch()
        install_simulated_clock(self.patch, self.simulation)
        self.paused = set()
        self.last_fencing = {}

    def teardown(self):
        """Restore the clock."""
        self.patch.undo()

    @rule(process=st.integers(0, PROCESS_COUNT - 1))
    def run_once(self, process):
        """Run the manager of a process, which sends the calls that are due."""
        if process not in self.paused:
            self.simulation.managers[process].run_once()

    @rule(
        process=st.integers(0, PROCESS_COUNT - 1),
        seconds=st.sampled_from([0.0, 0.5, 1.9]),
    )
    def run_undisturbed(self, process, seconds):
        """Run the manager of a process and complete the calls that it sends."""
        if process in self.paused:
            return
        earlier = list(self.simulation.calls)
        self.simulation.managers[process].run_once()
        for call in [c for c in self.simulation.calls if c not in earlier]:
            self.simulation.now += seconds
            self.simulation.deliver(call)
            self.simulation.complete(call, Done(call.reply))
            self.simulation.calls.remove(call)

    @rule(seconds=st.sampled_from([0.1, 1.0, 2.0, 2.9, 7.9, 9.0]))
    def advance(self, seconds):
        """Advance the clock."""
        self.simulation.now += seconds

    @precondition(lambda self: self.simulation.calls)
    @rule(index=st.integers(0, 9), data=st.data())
    def progress(self, index, data):
        """Deliver, reply to, lose or refuse a call that is in flight."""
        simulation = self.simulation
        call = simulation.calls[index % len(simulation.calls)]
        waiting = call.thread is not None and call.process not in self.paused
        steps = [] if call.delivered else ["deliver"]
        if waiting:
            steps += ["reply", "lose"] if call.delivered else ["lose", "refuse"]
        if not steps:
            return
        step = data.draw(st.sampled_from(steps))
        if step == "deliver":
            simulation.deliver(call)
        elif step == "reply":
            simulation.complete(call, Done(call.reply))
        elif step == "lose":
            # A lost call that was not delivered yet may be delivered later.
            simulation.complete(call, Unknown("lost"))
        else:
            simulation.complete(call, NotDone("refused"))
            call.delivered = True
        simulation.calls = [c for c in simulation.calls if c.thread or not c.delivered]

    @rule(process=st.integers(0, PROCESS_COUNT - 1))
    def pause_or_resume(self, process):
        """Pause a process at its current point, or resume it."""
        self.paused ^= {process}

    @rule(order=st.permutations(range(PROCESS_COUNT)))
    def change_owners(self, order):
        """Change the ranking of the processes as owners."""
        self.simulation.owners = order

    @invariant()
    def at_most_one_process_passes_the_guard(self):
        """Check that at most one process, paused or not, would pass its guard now."""
        simulation = self.simulation
        passing = [n for n in range(PROCESS_COUNT) if simulation.passes_guard(n)]
        assert len(passing) <= 1
        for process in passing:
            duty = simulation.managers[process].contend_for(DUTY_NAME)
            assert (simulation.holder, simulation.fencing) == (
                f"{process}/1",
                duty.fencing,
            )
            # The margin remains even if the process pauses right after the guard.
            assert simulation.expires > simulation.now + LEASE_MARGIN_S
            assert duty.fencing >= max(self.last_fencing.values(), default=0)
            self.last_fencing[process] = duty.fencing


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=60
)


def test_second_owner_acquires_after_a_delay(simulation):
    # Guards against two owners that both request each lease continually, and against
    # an unheld duty while its first owner cannot reach the store.
    calls_before_run = []
    for _ in range(int(SECOND_OWNER_DELAY_S)):
        calls_before_run.append(len(simulation.calls))
        simulation.run_once(1)
        simulation.now += 1
        assert not simulation.passes_guard(1)
    assert not any(calls_before_run)
    simulation.run_once(1)
    assert simulation.passes_guard(1)
    simulation.now += LEASE_TTL_S + SECOND_OWNER_DELAY_S
    simulation.run_once(2)
    assert not simulation.passes_guard(2)


def test_first_owner_keeps_a_lease_that_the_second_requests(simulation):
    for _ in range(60):
        simulation.run_once(0)
        simulation.run_once(1)
        simulation.now += 1
        assert simulation.passes_guard(0)
    assert simulation.fencing == 1


def test_successor_waits_before_unfenced_orders(simulation):
    # Guards against an order of the previous holder that takes effect later.
    simulation.run_once(0)
    duty = simulation.managers[0].contend_for(DUTY_NAME)
    gained_at = simulation.now
    while simulation.now < gained_at + 20:
        assert duty.may_send_unfenced_orders(5.0) == (
            simulation.now >= gained_at + 15.0
        )
        simulation.now += 1
        simulation.run_once(0)
    simulation.now += LEASE_TTL_S
    assert not duty.may_send_unfenced_orders(5.0)
    simulation.run_once(0)
    assert duty.is_held and not duty.may_send_unfenced_orders(5.0)


def test_planned_shutdown_releases_the_lease(simulation):
    # Guards against a duty that stays unheld until its lease expires, and against a
    # renewal in flight that acquires the lease again.
    lost = []
    simulation.managers[0].on_loss(lost.append)
    simulation.run_once(0)
    simulation.now += 4
    simulation.managers[0].run_once()
    (renewal,) = simulation.calls
    simulation.deliver(renewal)
    duty = simulation.managers[0].contend_for(DUTY_NAME)
    simulation.managers[0].release_all()
    simulation.complete(renewal, Done(renewal.reply))
    simulation.calls.clear()
    assert not duty.is_held
    assert [duty.name for duty in lost] == [DUTY_NAME]
    simulation.owners = [1, 2]
    simulation.run_once(1)
    assert simulation.passes_guard(1)


def test_renewal_of_a_dropped_duty_is_ignored(simulation):
    # Guards against a dropped duty that a late reply revives.
    simulation.run_once(0)
    simulation.now += 4
    simulation.managers[0].run_once()
    (renewal,) = simulation.calls
    simulation.deliver(renewal)
    duty = simulation.managers[0].contend_for(DUTY_NAME)
    simulation.managers[0].stop_contending(DUTY_NAME)
    simulation.complete(renewal, Done(renewal.reply))
    assert not duty.is_held
    assert simulation.managers[0].duties == ()
