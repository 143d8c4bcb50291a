"""Test data for targets that name rate limits."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from ...membership import Member, Members
from ...outcomes import Done, NotDone, Outcome, Unknown
from ...routing import RateLimitReport
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables, TargetSpec
from ..directory import TargetDirectory
from ..dispatcher import Dispatcher
from ..permits import PermitExchange
from ..rate_limits import RateLimits


def limited_dispatcher(requests_per_s: float, targets: int = 1) -> Dispatcher:
    """Return a dispatcher for pool p, whose targets have just named a rate limit."""
    specs = tuple(
        TargetSpec(f"t{n}", f"127.0.0.1:{n + 1}", "a") for n in range(targets)
    )
    pool = Pool(name="p", kind="plain-service", targets=specs, concurrency=64, queue=64)
    snapshot = Snapshot(1, "c", Tables(pools={"p": pool}))
    directory = TargetDirectory()
    directory.apply_snapshot(snapshot)
    dispatcher = Dispatcher(directory, "a")
    dispatcher.apply_snapshot(snapshot)
    for spec in specs:
        name_limit(directory.rate_limits, requests_per_s, spec.id)
    return dispatcher


def name_limit(limits: RateLimits, requests_per_s: float | None, target: str) -> None:
    """Record a response to a request that was sent just now."""
    now = boottime()
    limits.record(target, RateLimitReport(requests_per_s, now, now))


@define(eq=False)
class InMemoryPeers:
    """Calls the handlers of the other exchanges of a test directly."""

    fleet: "PermitFleet"

    def call(self, vm: str, method: str, request: Any, timeout: float) -> Outcome[Any]:
        """Return the reply of a member; no answer if it is unreachable."""
        if vm in self.fleet.unreachable:
            return Unknown("no answer")
        handler = self.fleet.handlers.get((vm, method))
        return Done(handler(request)) if handler else NotDone("not served")


@define(eq=False)
class PermitFleet:
    """Exchanges of permits of several daemons that hear each other.

    Parameters
    ----------
    size : int
        Number of daemons.
    """

    size: int
    unreachable: set[str] = field(factory=set)
    handlers: dict[tuple[str, str], Callable[[Any], Any]] = field(factory=dict)
    exchanges: dict[str, PermitExchange] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the exchanges, of which all members know all others."""
        names = [f"vm-{number:02}" for number in range(self.size)]
        for name in names:
            members = Members(Member(name, "a", f"127.0.0.1:{len(name)}", 1))
            self.exchanges[name] = exchange = PermitExchange(
                RateLimits(), members, InMemoryPeers(self)
            )
            exchange.register(self._server(name))
        self.hear(names)

    def hear(self, names: list[str]) -> None:
        """Let all members receive a heartbeat of the given ones."""
        for exchange in self.exchanges.values():
            for name in names:
                member = Member(name, "a", "127.0.0.1:5", 1, heard_at=boottime())
                exchange.members.record_heartbeat(member)

    def lose_heartbeats_of_others(self, exchange: PermitExchange) -> None:
        """Let a member believe that it has not heard the others for a long time."""
        for name in self.exchanges:
            exchange.members.forget(name)
        for name in self.exchanges:
            if name != exchange.members.self_member.vm:
                silent = Member(name, "a", "127.0.0.1:5", 1, heard_at=-100.0)
                exchange.members.record_heartbeat(silent)

    def _server(self, vm: str) -> Any:
        fleet = self

        class Server:
            def register(self, method: str, handler: Callable[[Any], Any]) -> None:
                fleet.handlers[vm, method] = handler

        return Server()
