"""Directory of the known targets, from the pool table and the platform's VM list."""

from collections.abc import Iterable, Mapping

from attrs import define, field

from ..routing import LoadReport, TargetView
from ..runtime.clock import boottime
from ..tables import Pool, Snapshot
from ..telemetry import define as define_event
from ..telemetry import log
from .rate_limits import RateLimits
from .vm_list import ListedVm

__all__ = ["TargetDirectory", "TargetState"]

TARGET_LEAVING = define_event(
    800, "target_leaving", "info", "A target is leaving and receives no new requests."
)
TARGET_UNHEALTHY = define_event(
    801, "target_unhealthy", "warning", "A target does not respond to load polls."
)
TARGET_GONE = define_event(
    803,
    "target_gone",
    "warning",
    "The address of a target is in use by another target.",
)
TARGET_HEALTHY = define_event(
    802, "target_healthy", "info", "A target responds to load polls again."
)

TARGET_RESTARTED = define_event(
    809,
    "target_restarted",
    "info",
    "A target has another start or address; what was known of it is forgotten.",
)
ZONE_EVACUATED = define_event(
    806,
    "zone_evacuated",
    "warning",
    "The targets of a zone receive no new requests until the evacuation is taken back.",
)
ZONE_IN_USE_AGAIN = define_event(
    807,
    "zone_in_use_again",
    "info",
    "The evacuation of a zone was taken back; its targets receive requests again.",
)

# Consecutive missed polls before a target is unhealthy. One poll can be lost on the
# network.
MISSED_POLL_LIMIT = 2
# A target that responded to a request within this time is considered responsive.
RESPONSE_FRESHNESS_S = 2.0
# Targets that said that they are leaving and are kept in mind.
MAX_LEAVING_KEPT = 4096
# How long software versions that no listed target runs are kept in mind.
FORMER_SOFTWARE_LIFETIME_S = 600.0


@define(eq=False)
class TargetState:
    """Mutable state of one target.

    All but the counts of this daemon's requests is about one process at one address.
    """

    report: LoadReport | None = None
    reported_at: float = float("-inf")
    healthy: bool = True
    leaving: bool = False
    missed_polls: int = 0
    unresponsive_since: float = float("-inf")
    last_response_at: float = float("-inf")
    in_flight: int = 0
    non_restartable_in_flight: int = 0
    # Address and start of the target that the state is about; None if not known.
    incarnation: tuple[str, int] | None = None
    # Those of a target whose address another target has taken.
    replaced_incarnation: tuple[str, int] | None = None
    versions: dict[str, int] = field(factory=dict)
    # Boot time until which each model accepts no requests, for example while it loads.
    model_suspended_until: dict[str, float] = field(factory=dict)


@define(eq=False)
class TargetDirectory:
    """The targets of all pools and their last known state.

    Parameters
    ----------
    rate_limits : RateLimits
        Rate limits that the targets have named, and those of cold targets.
    """

    rate_limits: RateLimits = field(factory=RateLimits)
    _pools: dict[str, Pool] = field(factory=dict)
    _is_configured: bool = False
    _listed_vms: tuple[ListedVm, ...] = ()
    _vm_list_read_at: float = float("-inf")
    _states: dict[str, TargetState] = field(factory=dict)
    _leaving_ids: frozenset[str] = frozenset()
    # Times of the start of targets that said in a response that they are leaving. They
    # are kept while the targets are not listed, for example in an outage of the store.
    _leaving_by_own_account: dict[str, int] = field(factory=dict)
    _evacuated_zones: frozenset[str] = frozenset()
    _with_malformed_reports: set[str] = field(factory=set)
    _born: dict[str, int] = field(factory=dict)
    _incarnations: dict[str, tuple[str, int]] = field(factory=dict)
    _software: dict[str, str] = field(factory=dict)
    # Boot time until which a pool had targets of a software version, for versions that
    # were listed before the current list.
    _software_listed_at: dict[tuple[str, str], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Let the pools say how many requests cold targets take."""
        self.rate_limits.cold.cold_rate_of = self._cold_terms

    @property
    def is_configured(self) -> bool:
        """Whether a configuration was applied, so that a missing pool was removed."""
        return self._is_configured

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the pools of a new configuration revision."""
        self._pools, self._is_configured = dict(snapshot.tables.pools), True
        self._update_incarnations()
        self._remove_stale_states()

    def apply_vm_list(self, vms: Iterable[ListedVm]) -> None:
        """Apply a new version of the platform's VM list."""
        now = boottime()
        for vm in self._listed_vms:
            self._software_listed_at[vm.pool, vm.software] = now
        self._software_listed_at = {
            software: at
            for software, at in self._software_listed_at.items()
            if now - at < FORMER_SOFTWARE_LIFETIME_S
        }
        self._listed_vms = tuple(vms)
        self._vm_list_read_at = boottime()
        self._leaving_ids = frozenset(vm.id for vm in self._listed_vms if vm.leaving)
        self._born = {vm.id: vm.born for vm in self._listed_vms}
        self._software = {vm.id: vm.software for vm in self._listed_vms}
        self._leaving_by_own_account = {
            target: born
            for target, born in self._leaving_by_own_account.items()
            if self._born.get(target, born) <= born
        }
        self._update_incarnations()
        self._remove_stale_states()

    def apply_evacuations(self, zones: Iterable[str]) -> None:
        """Apply the zones to whose targets nothing more must be sent."""
        zones = frozenset(zones)
        for zone in sorted(zones - self._evacuated_zones):
            log(ZONE_EVACUATED, evacuated_zone=zone)
        for zone in sorted(self._evacuated_zones - zones):
            log(ZONE_IN_USE_AGAIN, evacuated_zone=zone)
            self._suspect_cold(vm for vm in self._listed_vms if vm.zone == zone)
        self._evacuated_zones = zones

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Zones to whose targets nothing more must be sent."""
        return self._evacuated_zones

    def record_failure(self, target: str) -> None:
        """Record that a target failed a request, perhaps because it has restarted."""
        self._suspect_cold(vm for vm in self._listed_vms if vm.id == target)

    def record_load(self, target: str, report: LoadReport, received_at: float) -> None:
        """Store a load report, unless a newer one is already known."""
        state = self._get_or_create_state(target)
        if received_at <= state.reported_at:
            return
        if report.leaving and not state.leaving:
            log(TARGET_LEAVING, target=target)
        if not state.healthy:
            log(TARGET_HEALTHY, target=target)
        state.report, state.reported_at = report, received_at
        state.healthy, state.leaving = True, report.leaving

    def note_malformed_report(self, target: str) -> bool:
        """Note a malformed report of a target; return whether it is the first one."""
        is_first = target not in self._with_malformed_reports
        self._with_malformed_reports.add(target)
        return is_first

    def mark_unresponsive(self, target: str, since: float) -> None:
        """Mark a target as unhealthy because its pollers got no response.

        Parameters
        ----------
        target : str
            Id of the target.
        since : float
            Boot time of the observation. A newer load report or a newer response
            to a request takes precedence.
        """
        state = self._get_or_create_state(target)
        if since <= max(state.reported_at, state.last_response_at) or not state.healthy:
            return
        self._mark_unhealthy(target, since)

    def record_poll_response(self, target: str, report: LoadReport) -> None:
        """Store the load report received by a poll of this daemon."""
        self._get_or_create_state(target).missed_polls = 0
        self.record_load(target, report, boottime())

    def record_missed_poll(self, target: str) -> None:
        """Record a poll of this daemon that got no response.

        A single missed poll has no effect. After two in a row the target is
        unhealthy, unless it responded to a request recently.
        """
        state = self._get_or_create_state(target)
        state.missed_polls += 1
        if state.missed_polls < MISSED_POLL_LIMIT:
            return
        if boottime() - state.last_response_at > RESPONSE_FRESHNESS_S:
            self._mark_unhealthy(target, boottime())

    def reset_missed_polls(self, target: str) -> None:
        """Reset the missed polls of a target that only other daemons poll.

        Its health is then determined by their reports alone.
        """
        self._get_or_create_state(target).missed_polls = 0

    def record_response(self, target: str) -> None:
        """Record that a target responded to a request of this daemon."""
        state = self._get_or_create_state(target)
        state.last_response_at = boottime()
        if state.missed_polls and not state.healthy:
            log(TARGET_HEALTHY, target=target)
            state.healthy = True

    def get_state(self, target: str) -> "TargetState | None":
        """Return the state of a target, or None if the target is unknown."""
        return self._states.get(target)

    def record_weight_version(self, target: str, model: str, version: int) -> None:
        """Record a weight version stated in a target's response; it never decreases."""
        versions = self._get_or_create_state(target).versions
        versions[model] = max(version, versions.get(model, 0))

    def mark_leaving(self, target: str, born: int) -> None:
        """Send no more requests to a target that said that it is leaving.

        Parameters
        ----------
        target : str
            Id of the target.
        born : int
            Time of the start of the target that said so. Another target that starts
            with the same id later is not affected.
        """
        if self._born.get(target, born) > born:
            return
        if target not in self._leaving_by_own_account:
            log(TARGET_LEAVING, target=target)
            self._leaving_by_own_account[target] = born
            if len(self._leaving_by_own_account) > MAX_LEAVING_KEPT:
                oldest = next(iter(self._leaving_by_own_account))
                del self._leaving_by_own_account[oldest]

    def is_leaving(self, target: str) -> bool:
        """Return whether the VM list or the target itself says that it is leaving."""
        return target in self._leaving_ids or target in self._leaving_by_own_account

    def is_in_service(self, view: TargetView) -> bool:
        """Return whether a target is still listed and not known to be leaving."""
        return any(
            current.id == view.id and not current.leaving
            for current in self.views(view.pool)
        )

    def is_replaced(self, view: TargetView) -> bool:
        """Return whether another target is listed under a target's id by now.

        What a request at that id brought may come from either of them.
        """
        if view.id not in self._born:
            return False
        return (self._born[view.id], self._software[view.id]) != (
            view.born,
            view.software,
        )

    def software_listed_within(self, pool: str, seconds: float) -> set[str]:
        """Return the software versions that targets of a pool have or had lately.

        Parameters
        ----------
        pool : str
            The pool.
        seconds : float
            Targets that left earlier than this do not count; at most
            ``FORMER_SOFTWARE_LIFETIME_S``.
        """
        oldest = boottime() - seconds
        former = {
            software
            for (name, software), at in self._software_listed_at.items()
            if name == pool and at >= oldest
        }
        return former | {vm.software for vm in self._listed_vms if vm.pool == pool}

    def serves_software(self, pool: str, software: str, excluded: str = "") -> bool:
        """Return whether a target of a pool that may get requests runs a version.

        Parameters
        ----------
        pool, software : str
            The pool and the version.
        excluded : str
            Id of a target that does not count.
        """
        return any(
            view.selectable and view.software == software and view.id != excluded
            for view in self.views(pool)
        )

    def suspend_model(self, target: str, model: str, seconds: float) -> None:
        """Send no requests for a model to a target for the given number of seconds."""
        self._get_or_create_state(target).model_suspended_until[model] = (
            boottime() + seconds
        )

    def mark_address_reused(self, view: TargetView) -> None:
        """Stop sending requests to a target whose address another target now uses.

        Parameters
        ----------
        view : TargetView
            The target that the request was meant for. One that starts with the same
            id, or that is listed at another address by now, is not affected.
        """
        state = self._get_or_create_state(view.id)
        if state.replaced_incarnation != view.incarnation:
            log(TARGET_GONE, target=view.id, address=view.address)
        state.replaced_incarnation = view.incarnation

    def request_started(self, target: str, restartable: bool = False) -> None:
        """Count a request that was assigned to a target.

        Parameters
        ----------
        target : str
            Id of the target.
        restartable : bool
            Whether the request can be restarted from the beginning.
        """
        state = self._get_or_create_state(target)
        state.in_flight += 1
        state.non_restartable_in_flight += not restartable

    def request_finished(self, target: str, restartable: bool = False) -> None:
        """Remove a finished request from the counts of a target."""
        state = self._get_or_create_state(target)
        state.in_flight -= 1
        state.non_restartable_in_flight -= not restartable

    def count_non_restartable(self, pool: str) -> int:
        """Return the number of this daemon's non-restartable requests in a pool."""
        return sum(
            self._get_or_create_state(view.id).non_restartable_in_flight
            for view in self.views(pool)
        )

    @property
    def listed_zones(self) -> frozenset[str]:
        """Availability zones of the targets on the VM list."""
        return frozenset(vm.zone for vm in self._listed_vms)

    @property
    def vm_list_age_s(self) -> float:
        """Seconds since the VM list was last read; infinite before the first read."""
        return boottime() - self._vm_list_read_at

    def pool(self, name: str) -> Pool | None:
        """Return the pool with the given name, or None if there is none."""
        return self._pools.get(name)

    def pools(self) -> tuple[Pool, ...]:
        """Return all pools."""
        return tuple(self._pools.values())

    def views(self, pool_name: str) -> tuple[TargetView, ...]:
        """Return the current views of the targets of a pool."""
        pool = self._pools.get(pool_name)
        if pool is None:
            return ()
        static = [
            self._build_view(
                pool, t.id, t.address, t.zone, t.cheap, t.checks_fencing, False
            )
            for t in pool.targets
        ]
        static_ids = {view.id for view in static}
        dynamic = [
            self._build_view(
                pool,
                vm.id,
                vm.address,
                vm.zone,
                vm.cheap,
                pool.checks_fencing,
                vm.leaving,
                vm.slots,
                vm.versions,
                vm.born,
                vm.software,
            )
            for vm in self._listed_vms
            if vm.pool == pool_name and vm.id not in static_ids
        ]
        return (*static, *dynamic)

    def all_views(self) -> tuple[TargetView, ...]:
        """Return the views of the targets of all pools, without duplicates."""
        views = {}
        for name in self._pools:
            for view in self.views(name):
                views.setdefault(view.id, view)
        return tuple(views.values())

    def _build_view(
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
        born: int = 0,
        software: str = "",
    ) -> TargetView:
        state = self._get_or_create_state(target)
        known_versions = {**state.versions}
        for model, version in (versions or {}).items():
            known_versions[model] = max(version, known_versions.get(model, 0))
        for model, until in state.model_suspended_until.items():
            if boottime() < until:
                known_versions.pop(model, None)
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
            leaving=leaving
            or state.leaving
            or state.replaced_incarnation == (address, born)
            or target in self._leaving_by_own_account,
            healthy=state.healthy,
            in_flight=state.in_flight,
            limit=slots or pool.concurrency,
            versions=known_versions,
            rate_limit=self.rate_limits.report_in_force(target),
            is_cold=self.rate_limits.cold.rate(target) is not None,
            born=born,
            software=software,
            evacuated=zone in self._evacuated_zones,
        )

    def _cold_terms(self, pool_name: str) -> tuple[float, float] | None:
        pool = self._pools.get(pool_name)
        if pool is None or not pool.cold_time:
            return None
        return pool.cold_rate, pool.cold_time

    def _suspect_cold(self, vms: Iterable[ListedVm]) -> None:
        for vm in vms:
            self.rate_limits.cold.suspect(vm.id, vm.pool)

    def _mark_unhealthy(self, target: str, at: float) -> None:
        state = self._get_or_create_state(target)
        if state.healthy:
            log(TARGET_UNHEALTHY, target=target)
        state.healthy, state.unresponsive_since = False, at

    def _get_or_create_state(self, target: str) -> TargetState:
        if target not in self._states:
            incarnation = self._incarnations.get(target)
            self._states[target] = TargetState(incarnation=incarnation)
        return self._states[target]

    def _update_incarnations(self) -> None:
        """Start anew with the state of targets whose id another process has taken."""
        self._incarnations = {vm.id: (vm.address, vm.born) for vm in self._listed_vms}
        for pool in self._pools.values():
            self._incarnations.update((t.id, (t.address, 0)) for t in pool.targets)
        for target, state in self._states.items():
            incarnation = self._incarnations.get(target, state.incarnation)
            if state.incarnation not in (None, incarnation):
                log(TARGET_RESTARTED, target=target, address=incarnation[0])
                self._states[target] = state = TargetState(
                    in_flight=state.in_flight,
                    non_restartable_in_flight=state.non_restartable_in_flight,
                    replaced_incarnation=state.replaced_incarnation,
                )
            state.incarnation = incarnation

    def _remove_stale_states(self) -> None:
        """Remove the state of unlisted targets that have no request in flight."""
        known_ids = {t.id for pool in self._pools.values() for t in pool.targets}
        known_ids.update(vm.id for vm in self._listed_vms)
        self._states = {
            target: state
            for target, state in self._states.items()
            if target in known_ids or state.in_flight
        }
        self._with_malformed_reports &= known_ids
        self.rate_limits.remove_outdated(known_ids)
