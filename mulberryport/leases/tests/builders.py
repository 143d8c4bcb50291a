"""Simulation of processes that contend for a duty, and of the lease store."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import greenlet
import pytest
from attrs import define, field

from ...outcomes import Done
from ...runtime import clock
from ...store import Lease
from .. import LEASE_TTL_S, DutyManager, LeaseLostError

__all__ = [
    "DUTY_NAME",
    "PROCESS_COUNT",
    "PendingCall",
    "LeaseSimulation",
    "install_simulated_clock",
]

DUTY_NAME = "orders/rosario"
PROCESS_COUNT = 3


@define(eq=False)
class PendingCall:
    """A call to the store that is in flight."""

    process: int
    arguments: tuple
    thread: Any
    delivered: bool = False
    reply: Any = None


@define(eq=False)
class LeaseSimulation:
    """Processes that contend for one duty, and the lease as recorded by the store."""

    now: float = 1000.0
    holder: str = ""
    fencing: int = 0
    expires: float = float("-inf")
    calls: list[PendingCall] = field(factory=list)
    managers: list[DutyManager] = field(factory=list)
    owners: list[int] = field(factory=lambda: list(range(PROCESS_COUNT)))

    def __attrs_post_init__(self) -> None:
        """Create the duty managers of the processes."""
        for number in range(PROCESS_COUNT):
            client = SimpleNamespace(
                acquire_lease=lambda *a, n=number: self.suspend(n, "acquire", *a),
                renew_lease=lambda *a, n=number: self.suspend(n, "renew", *a),
                release_lease=lambda *a: self.release(*a),
            )
            members = SimpleNamespace(
                self_member=SimpleNamespace(vm=str(number), incarnation=1),
                owners=lambda _, count: [
                    SimpleNamespace(vm=str(n)) for n in self.owners[:count]
                ],
            )
            manager = DutyManager(client, members, spawn=self.spawn)
            manager.contend_for(DUTY_NAME)
            self.managers.append(manager)

    def spawn(self, function: Callable, *arguments: object) -> None:
        """Run a function until it calls the store or returns."""
        greenlet.greenlet(function).switch(*arguments)

    def suspend(self, process: int, *arguments: object) -> Any:
        """Send a call and suspend the caller until its outcome."""
        thread = greenlet.getcurrent()
        self.calls.append(PendingCall(process, arguments, thread))
        return thread.parent.switch()

    def deliver(self, call: PendingCall) -> None:
        """Deliver a call to the store, which processes it."""
        kind, name, holder, *rest = call.arguments
        is_held = self.holder == holder and self.now < self.expires
        call.delivered = True
        if kind == "renew" and not (is_held and rest[0] == self.fencing):
            return
        if not is_held and self.now < self.expires:
            return
        if not is_held:
            self.fencing, self.holder = self.fencing + 1, holder
        self.expires = self.now + LEASE_TTL_S
        call.reply = Lease(name, self.fencing, LEASE_TTL_S)

    def complete(self, call: PendingCall, outcome: Any) -> None:
        """Resume the caller of a call with an outcome."""
        thread, call.thread = call.thread, None
        thread.parent = greenlet.getcurrent()
        thread.switch(outcome)

    def release(self, name: str, holder: str, fencing: int) -> None:
        """Release the lease immediately."""
        if (holder, fencing) == (self.holder, self.fencing):
            self.expires = float("-inf")

    def passes_guard(self, process: int) -> bool:
        """Return whether the guard of a process passes now."""
        try:
            self.managers[process].contend_for(DUTY_NAME).guard()
        except LeaseLostError:
            return False
        return True

    def run_once(self, process: int) -> None:
        """Run the manager of a process with immediate replies to all its calls."""
        self.managers[process].run_once()
        for call in list(self.calls):
            self.deliver(call)
            self.complete(call, Done(call.reply))
        self.calls.clear()


def install_simulated_clock(
    patch: pytest.MonkeyPatch, simulation: LeaseSimulation
) -> None:
    """Replace the system clock with that of a simulation."""
    fake = SimpleNamespace(clock_gettime=lambda _: simulation.now, CLOCK_BOOTTIME=None)
    patch.setattr(clock, "time", fake)
