"""Desired target counts of a zone, computed from the demand known to this daemon."""

from attrs import define, evolve, field

from ..runtime.clock import boottime
from ..tables import Pool
from ..targets import TargetDirectory
from .demand import DemandTracker
from .sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    SizingPolicy,
    TargetCounts,
    needed_targets,
    next_size,
    plan_pool,
)

__all__ = ["CapacityPlanner"]

# If ordered cheap targets are still missing after the start timeout, cheap capacity
# in the zone counts as unavailable for the unavailable period.
START_TIMEOUT_S = 30.0
UNAVAILABLE_PERIOD_S = 120.0


@define(eq=False)
class CapacityPlanner:
    """Computes the desired size of each pool and keeps the state for hysteresis.

    Parameters
    ----------
    directory : TargetDirectory
        The known targets and pools.
    demands : DemandTracker
        Demand reported by all daemons.
    policy : SizingPolicy
        Constants of the sizing policy.
    """

    directory: TargetDirectory
    demands: DemandTracker
    policy: SizingPolicy = DEFAULT_POLICY
    _sizes: dict[str, SizeState] = field(factory=dict)
    _unavailable_until: dict[tuple[str, str], float] = field(factory=dict)
    _shortfall_since: dict[tuple[str, str], float] = field(factory=dict)

    def reset_sizes(self) -> None:
        """Discard the hysteresis state; the next plan starts from current targets."""
        self._sizes = {}

    def plan_zone(
        self, pool: Pool, zone: str, declared: TargetCounts | None
    ) -> TargetCounts | None:
        """Return the desired target counts of a pool in a zone.

        Parameters
        ----------
        pool : Pool
            Entry of the pool table.
        zone : str
            Zone for which this daemon places the orders.
        declared : TargetCounts or None
            Counts that are currently declared.

        Returns
        -------
        TargetCounts or None
            None if too few targets reported their load to change the size.
        """
        demand = self.demands.pool_demand(pool.name)
        if not demand.has_enough_reports:
            return None
        self._track_shortfall(pool, zone, declared)
        # Statically configured targets serve requests too and need no order.
        unordered_ids = {target.id for target in pool.targets}
        views = [v for v in self.directory.views(pool.name) if v.selectable]
        unordered = sum(view.id in unordered_ids for view in views)
        state = self._sizes.get(pool.name, SizeState(len(views)))
        weighted_demand = demand.running + self.policy.queue_weight * demand.queued
        state = next_size(
            state, weighted_demand, demand.capacity, boottime(), self.policy
        )
        max_size = pool.maximum * len(pool.zones) + unordered
        state = evolve(state, size=min(state.size, max_size))
        self._sizes[pool.name] = state
        on_demand_floor = needed_targets(
            self.demands.non_restartable_peak(pool.name),
            demand.capacity,
            self.policy.utilisation,
        )
        unordered_on_demand = sum(
            view.id in unordered_ids and not view.cheap for view in views
        )
        bounds = PoolBounds(
            minimum=pool.minimum,
            maximum=pool.maximum,
            cheap_share=pool.cheap_share,
            spending=pool.spending,
        )
        return plan_pool(
            bounds,
            state.size - unordered,
            {name: self._can_get_cheap_targets(pool.name, name) for name in pool.zones},
            max(0, on_demand_floor - unordered_on_demand),
            self.policy,
        )[zone]

    def _can_get_cheap_targets(self, pool: str, zone: str) -> bool:
        """Whether the platform can start cheap targets; a reclaim shows it cannot."""
        reclaimed = any(
            view.cheap and view.leaving and view.zone == zone
            for view in self.directory.views(pool)
        )
        if reclaimed:
            self._unavailable_until[pool, zone] = boottime() + UNAVAILABLE_PERIOD_S
        return boottime() >= self._unavailable_until.get((pool, zone), 0.0)

    def _track_shortfall(
        self, pool: Pool, zone: str, declared: TargetCounts | None
    ) -> None:
        """Mark cheap targets unavailable if ordered ones are missing for too long."""
        key = (pool.name, zone)
        unordered_ids = {target.id for target in pool.targets}
        present = sum(
            view.cheap and view.zone == zone and view.id not in unordered_ids
            for view in self.directory.views(pool.name)
        )
        if declared is None or present >= declared.cheap:
            self._shortfall_since.pop(key, None)
            return
        shortfall_start = self._shortfall_since.setdefault(key, boottime())
        if boottime() - shortfall_start > START_TIMEOUT_S:
            self._unavailable_until[key] = boottime() + UNAVAILABLE_PERIOD_S
            del self._shortfall_since[key]
