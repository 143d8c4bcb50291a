"""Processes that contend for a duty in a simulated world, and its store."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import greenlet
import pytest
from attrs import define, field

from ...outcomes import Done
from ...runtime import clock
from ...store import Lease
from .. import LEASE_TTL_S, DutyKeeper, LeaseLostError

__all__ = ["NAME", "SIZE", "Call", "LeaseWorld", "use_clock"]

NAME = "orders/rosario"
SIZE = 3


@define(eq=False)
class Call:
    """A call to the store that is on its way."""

    process: int
    arguments: tuple
    thread: Any
    arrived: bool = False
    answer: Any = None


@define(eq=False)
class LeaseWorld:
    """Processes that contend for one duty, and the store's own record of it."""

    now: float = 1000.0
    holder: str = ""
    fencing: int = 0
    expires: float = float("-inf")
    calls: list[Call] = field(factory=list)
    keepers: list[DutyKeeper] = field(factory=list)
    owners: list[int] = field(factory=lambda: list(range(SIZE)))

    def __attrs_post_init__(self) -> None:
        """Make the processes."""
        for number in range(SIZE):
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
            keeper = DutyKeeper(client, members, spawn=self.spawn)
            keeper.duty(NAME)
            self.keepers.append(keeper)

    def spawn(self, function: Callable, *arguments: object) -> None:
        """Run a function until it calls the store or ends."""
        greenlet.greenlet(function).switch(*arguments)

    def suspend(self, process: int, *arguments: object) -> Any:
        """Put a call on its way and wait for its outcome."""
        thread = greenlet.getcurrent()
        self.calls.append(Call(process, arguments, thread))
        return thread.parent.switch()

    def arrive(self, call: Call) -> None:
        """Let the store act on a call."""
        kind, name, holder, *rest = call.arguments
        mine = self.holder == holder and self.now < self.expires
        call.arrived = True
        if kind == "renew" and not (mine and rest[0] == self.fencing):
            return
        if not mine and self.now < self.expires:
            return
        if not mine:
            self.fencing, self.holder = self.fencing + 1, holder
        self.expires = self.now + LEASE_TTL_S
        call.answer = Lease(name, self.fencing, LEASE_TTL_S)

    def finish(self, call: Call, outcome: Any) -> None:
        """Let the caller see an outcome."""
        thread, call.thread = call.thread, None
        thread.parent = greenlet.getcurrent()
        thread.switch(outcome)

    def release(self, name: str, holder: str, fencing: int) -> None:
        """Give the lease back at once."""
        if (holder, fencing) == (self.holder, self.fencing):
            self.expires = float("-inf")

    def passes_guard(self, process: int) -> bool:
        """Return whether a process would act now."""
        try:
            self.keepers[process].duty(NAME).guard()
        except LeaseLostError:
            return False
        return True

    def settle(self, process: int) -> None:
        """Run one turn of a process, every call being answered at once."""
        self.keepers[process].turn()
        for call in list(self.calls):
            self.arrive(call)
            self.finish(call, Done(call.answer))
        self.calls.clear()


def use_clock(patch: pytest.MonkeyPatch, world: LeaseWorld) -> None:
    """Let all code see the clock of a world."""
    fake = SimpleNamespace(clock_gettime=lambda _: world.now, CLOCK_BOOTTIME=None)
    patch.setattr(clock, "time", fake)
