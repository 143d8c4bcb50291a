"""All targets that this daemon knows, from the pool table and the list of VMs."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from ..routing import LoadReport, TargetView
from ..runtime.clock import boottime
from ..tables import Pool, Snapshot
from ..telemetry import define as define_event
from ..telemetry import log
from .vm_list import ListedVm

__all__ = ["TargetDirectory", "TargetState"]

TARGET_LEAVING = define_event(
    800, "target_leaving", "info", "A target is leaving and gets no new work."
)
TARGET_UNHEALTHY = define_event(
    801, "target_unhealthy", "warning", "A target does not answer polls."
)
TARGET_GONE = define_event(
    803, "target_gone", "warning", "Another target answers at a target's address."
)
TARGET_HEALTHY = define_event(
    802, "target_healthy", "info", "A target answers polls again."
)

# A single poll can be lost on the network.
MISSED_POLLS = 2
# A target that answered a request this recently is not silent.
TRAFFIC_PROOF_S = 2.0


@define(eq=False)
class TargetState:
    """What changes about a target between two polls."""

    report: LoadReport | None = None
    reported_at: float = float("-inf")
    healthy: bool = True
    leaving: bool = False
    missed_polls: int = 0
    silent_since: float = float("-inf")
    carried_at: float = float("-inf")
    in_flight: int = 0
    fixed: int = 0
    misdirected: bool = False
    versions: dict[str, int] = field(factory=dict)
    # Boot time until which a model does not take requests, as while it loads.
    refusing: dict[str, float] = field(factory=dict)


@define(eq=False)
class TargetDirectory:
    """The targets of all pools and what was last heard of them."""

    _pools: dict[str, Pool] = field(factory=dict)
    _listed: tuple[ListedVm, ...] = ()
    _listed_at: float = float("-inf")
    _states: dict[str, TargetState] = field(factory=dict)
    _leaving: frozenset[str] = frozenset()

    def use_snapshot(self, snapshot: Snapshot) -> None:
        """Take over the pools of a new revision."""
        self._pools = dict(snapshot.tables.pools)
        self._forget()

    def use_vm_list(self, vms: Iterable[ListedVm]) -> None:
        """Take over the platform's list of VMs."""
        self._listed = tuple(vms)
        self._listed_at = boottime()
        self._leaving = frozenset(vm.id for vm in self._listed if vm.leaving)
        self._forget()

    def report(self, target: str, report: LoadReport, received_at: float) -> None:
        """Take over a load report, unless a newer one is known."""
        state = self._state(target)
        if received_at <= state.reported_at:
            return
        if report.leaving and not state.leaving:
            log(TARGET_LEAVING, target=target)
        if not state.healthy:
            log(TARGET_HEALTHY, target=target)
        state.report, state.reported_at = report, received_at
        state.healthy, state.leaving = True, report.leaving

    def report_silence(self, target: str, since: float) -> None:
        """Send no new work to a target that pollers found silent.

        Parameters
        ----------
        target : str
            Id of the target.
        since : float
            Boot time of the judgement; a newer report of its load outweighs it,
            and so does an answer to a request.
        """
        state = self._state(target)
        if since <= max(state.reported_at, state.carried_at) or not state.healthy:
            return
        self._fell_silent(target, since)

    def poll_answered(self, target: str, report: LoadReport) -> None:
        """Take over the answer to a poll of this daemon."""
        self._state(target).missed_polls = 0
        self.report(target, report, boottime())

    def poll_missed(self, target: str) -> None:
        """Note a poll of this daemon that was not answered.

        One lost poll means nothing. After two in a row the target is unhealthy,
        unless it carries traffic.
        """
        state = self._state(target)
        state.missed_polls += 1
        if state.missed_polls < MISSED_POLLS:
            return
        if boottime() - state.carried_at > TRAFFIC_PROOF_S:
            self._fell_silent(target, boottime())

    def not_polled(self, target: str) -> None:
        """Note that other daemons poll a target; their judgement counts alone."""
        self._state(target).missed_polls = 0

    def carried(self, target: str) -> None:
        """Note that a target answered a request of this daemon."""
        state = self._state(target)
        state.carried_at = boottime()
        if state.missed_polls and not state.healthy:
            log(TARGET_HEALTHY, target=target)
            state.healthy = True

    def judgement(self, target: str) -> "TargetState | None":
        """Return what is known of a target, for other daemons."""
        return self._states.get(target)

    def report_version(self, target: str, model: str, version: int) -> None:
        """Note a weight version that an answer of a target named; it only rises."""
        versions = self._state(target).versions
        versions[model] = max(version, versions.get(model, 0))

    def is_leaving(self, target: str) -> bool:
        """Whether a target that is listed will stop soon."""
        return target in self._leaving

    def report_refusal(self, target: str, model: str, seconds: float) -> None:
        """Send no requests of a model to a target for some seconds."""
        self._state(target).refusing[model] = boottime() + seconds

    def report_misdirected(self, target: str) -> None:
        """Send no more work to a target whose address another one has by now."""
        state = self._state(target)
        if not state.misdirected:
            log(TARGET_GONE, target=target)
        state.misdirected = True

    def started(self, target: str, restartable: bool = False) -> None:
        """Count a request that was given to a target.

        Parameters
        ----------
        target : str
            Id of the target.
        restartable : bool
            Whether it can be run again from the start.
        """
        state = self._state(target)
        state.in_flight += 1
        state.fixed += not restartable

    def finished(self, target: str, restartable: bool = False) -> None:
        """Stop counting a request of a target."""
        state = self._state(target)
        state.in_flight -= 1
        state.fixed -= not restartable

    def fixed_in_flight(self, pool: str) -> int:
        """Return the requests of this daemon in a pool that cannot be run again."""
        return sum(self._state(view.id).fixed for view in self.views(pool))

    @property
    def listed_zones(self) -> frozenset[str]:
        """Zones in which the list of VMs has targets."""
        return frozenset(vm.zone for vm in self._listed)

    @property
    def list_age(self) -> float:
        """Seconds since the list of VMs was read; infinite before that."""
        return boottime() - self._listed_at

    def pool(self, name: str) -> Pool | None:
        """Return a pool by its name."""
        return self._pools.get(name)

    def pools(self) -> tuple[Pool, ...]:
        """Return all pools."""
        return tuple(self._pools.values())

    def views(self, pool_name: str) -> tuple[TargetView, ...]:
        """Return the targets of a pool as they are seen now."""
        pool = self._pools.get(pool_name)
        if pool is None:
            return ()
        static = [
            self._view(pool, t.id, t.address, t.zone, t.cheap, t.checks_fencing, False)
            for t in pool.targets
        ]
        named = {view.id for view in static}
        ordered = [
            self._view(
                pool,
                vm.id,
                vm.address,
                vm.zone,
                vm.cheap,
                pool.checks_fencing,
                vm.leaving,
                vm.slots,
                vm.versions,
            )
            for vm in self._listed
            if vm.pool == pool_name and vm.id not in named
        ]
        return (*static, *ordered)

    def all_views(self) -> tuple[TargetView, ...]:
        """Return the targets of all pools, each once."""
        views = {}
        for name in self._pools:
            for view in self.views(name):
                views.setdefault(view.id, view)
        return tuple(views.values())

    def _view(
        self,
        pool: Pool,
        target: str,
        address: str,
        zone: str,
        cheap: bool,
        checks_fencing: bool,
        leaving: bool,
        slots: int = 0,
        versions: Mapping[str, int] | None = None,
    ) -> TargetView:
        state = self._state(target)
        known = {**state.versions}
        for model, version in (versions or {}).items():
            known[model] = max(version, known.get(model, 0))
        for model, until in state.refusing.items():
            if boottime() < until:
                known.pop(model, None)
        return TargetView(
            id=target,
            address=address,
            zone=zone,
            pool=pool.name,
            kind=pool.kind,
            cheap=cheap,
            checks_fencing=checks_fencing,
            report=state.report,
            report_age=boottime() - state.reported_at,
            leaving=leaving or state.leaving or state.misdirected,
            healthy=state.healthy,
            in_flight=state.in_flight,
            limit=slots or pool.concurrency,
            versions=known,
        )

    def _fell_silent(self, target: str, at: float) -> None:
        state = self._state(target)
        if state.healthy:
            log(TARGET_UNHEALTHY, target=target)
        state.healthy, state.silent_since = False, at

    def _state(self, target: str) -> TargetState:
        return self._states.setdefault(target, TargetState())

    def _forget(self) -> None:
        """Drop the state of targets that are gone and have no work left."""
        known = {t.id for pool in self._pools.values() for t in pool.targets}
        known.update(vm.id for vm in self._listed)
        self._states = {
            target: state
            for target, state in self._states.items()
            if target in known or state.in_flight
        }
