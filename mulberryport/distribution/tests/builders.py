"""A simulated fleet of daemons that distribute the configuration, on simulated time.

Messages are passed by function calls; the test controls links, access to the store
and delays.
"""

from collections.abc import Callable, Iterable
from types import SimpleNamespace

import pytest
from attrs import define, field

from ...membership import Member, Members
from ...outcomes import Done, NotDone, Outcome, Unknown
from ...peering import peer_pb2
from ...runtime import clock
from ...store import Conflict, Entry
from ...tables import SnapshotHolder
from .. import Distribution, service

__all__ = ["MemoryStore", "SimulatedFleet", "simulated_time"]

TICK_S = 0.5


@define(eq=False)
class SimulatedTime:
    """The boot time that the code under test reads."""

    now: float = 1000.0


def simulated_time(patch: pytest.MonkeyPatch) -> SimulatedTime:
    """Replace the boot-time clock and the sleeps and threads of the package."""
    time = SimulatedTime()
    fake = SimpleNamespace(clock_gettime=lambda _: time.now, CLOCK_BOOTTIME=None)
    patch.setattr(clock, "time", fake)
    waits = SimpleNamespace(sleep=lambda _: None, spawn_n=lambda f, *args: f(*args))
    patch.setattr(service, "eventlet", waits)
    return time


@define(eq=False, slots=False)
class MemoryStore:
    """An in-memory store and its client, which replies immediately."""

    entries: dict[str, Entry] = field(factory=dict)
    last_version: int = 0
    timeout: float = 2.0
    calls: int = 0
    reachable: Callable[[], bool] = lambda: True

    def read(self, key: str) -> Outcome[Entry]:
        """Read a key."""
        self.calls += 1
        if not self.reachable():
            return Unknown("the store is down")
        return Done(self.entries.get(key, Entry(None, 0)))

    def watch(self, key: str, seen: int, wait: float) -> Outcome[Entry]:
        """Read a key; nothing changes while a simulated call waits."""
        return self.read(key)

    def write(self, key: str, value: bytes, expected: int) -> Outcome:
        """Write a key by compare-and-swap."""
        current = self.read(key)
        if not isinstance(current, Done) or current.value.version != expected:
            return Done(Conflict(current.value.version))
        self.last_version += 1
        self.entries[key] = Entry(value, self.last_version)
        return Done(self.entries[key])

    def remove(self, key: str, expected: int) -> Outcome:
        """Remove a key by compare-and-swap."""
        current = self.read(key).value
        if current.version != expected:
            return Done(Conflict(current.version))
        self.entries.pop(key, None)
        return Done(Entry(None, 0))

    def list_keys(self, prefix: str) -> Outcome[list[str]]:
        """Return the keys with a prefix."""
        self.calls += 1
        return Done(sorted(key for key in self.entries if key.startswith(prefix)))

    def view(self, reachable: Callable[[], bool]) -> "MemoryStore":
        """Return a client of the same content, with its own reachability."""
        return MemoryStore(self.entries, reachable=reachable)


@define(eq=False)
class SimulatedFleet:
    """Daemons ``vm0``, ``vm1``, ... in two zones, each with its own state.

    Parameters
    ----------
    time : SimulatedTime
        The clock that all daemons share.
    size : int
        Number of daemons.
    """

    time: SimulatedTime
    size: int
    store: MemoryStore = field(factory=MemoryStore)
    groups: dict[str, int] = field(factory=dict)
    without_store: set[str] = field(factory=set)
    without_fetch: set[str] = field(factory=set)
    daemons: dict[str, Distribution] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the daemons, each with all others as seeds."""
        for number in range(self.size):
            vm = f"vm{number}"
            members = Members(self._member(number))
            for other in range(self.size):
                members.add_seed(*self._seed(other))
            self.daemons[vm] = Distribution(
                self.store.view(lambda vm=vm: vm not in self.without_store),
                SnapshotHolder(),
                members,
                SimpleNamespace(call=self._caller(vm)),
            )

    def _seed(self, number: int) -> tuple[str, str, str]:
        return f"vm{number}", f"zone{number % 2}", f"127.0.0.1:{number + 1}"

    def _member(self, number: int) -> Member:
        return Member(*self._seed(number), incarnation=number + 1)

    def linked(self, one: str, other: str) -> bool:
        """Return whether two daemons can reach each other."""
        return self.groups.get(one, 0) == self.groups.get(other, 0)

    def cut(
        self, groups: Iterable[Iterable[str]], without_store: Iterable[str]
    ) -> None:
        """Partition the fleet and cut some daemons off from the store."""
        self.groups = {vm: n for n, group in enumerate(groups) for vm in group}
        self.without_store = set(without_store)

    def run(self, seconds: float) -> None:
        """Advance the time, with reads, heartbeats and replies in every tick."""
        for _ in range(round(seconds / TICK_S)):
            self.time.now += TICK_S
            for daemon in self.daemons.values():
                daemon.run_once()
            for one in self.daemons:
                for other in self.daemons:
                    if one != other and self.linked(one, other):
                        self.deliver(self.heartbeat(one, other), other)
                        self.deliver(self.heartbeat(other, one), one)

    def heartbeat(self, sender: str, addressee: str) -> peer_pb2.Heartbeat:
        """Return the heartbeat that one daemon would send to another now."""
        daemon = self.daemons[sender]
        age_ms = min(daemon.snapshot_holder.confirmation_age * 1000, 2**40)
        heartbeat = peer_pb2.Heartbeat(
            sender=peer_pb2.Sender(vm=sender),
            revision=daemon.snapshot_holder.snapshot.revision,
            confirmation_age_ms=int(age_ms),
        )
        return daemon.add_report(heartbeat, addressee)

    def deliver(self, heartbeat: peer_pb2.Heartbeat, addressee: str) -> None:
        """Deliver a heartbeat to a daemon now."""
        daemon, vm = self.daemons[addressee], heartbeat.sender.vm
        vm_id, zone, address = self._seed(int(vm[2:]))
        daemon.members.record_heartbeat(
            Member(vm_id, zone, address, 1, False, self.time.now)
        )
        daemon.apply_heartbeat(heartbeat)

    def _caller(self, caller: str) -> Callable[..., Outcome]:
        def call(vm: str, method: str, request: object, timeout: float) -> Outcome:
            if caller in self.without_fetch or not self.linked(caller, vm):
                return NotDone("no link")
            return Done(self.daemons[vm]._serve_fetch(request))

        return call
