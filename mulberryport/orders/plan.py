"""What is wanted in a zone, from the demand that this daemon sees."""

from attrs import define, evolve, field

from ..runtime.clock import boottime
from ..tables import Pool
from ..targets import TargetDirectory
from .demand import DemandBoard
from .sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    SizingPolicy,
    Wanted,
    needed_targets,
    next_size,
    plan_pool,
)

__all__ = ["Planner"]

# Time that the platform has to start what was ordered before its cheap targets
# count as unavailable, and for which they then do.
START_TIME_S = 30.0
UNAVAILABLE_S = 120.0


@define(eq=False)
class Planner:
    """Sizes of the pools, with the memory that hysteresis needs.

    Parameters
    ----------
    directory : TargetDirectory
        Targets and pools.
    demands : DemandBoard
        Demand of all daemons.
    policy : SizingPolicy
        Constants.
    """

    directory: TargetDirectory
    demands: DemandBoard
    policy: SizingPolicy = DEFAULT_POLICY
    _sizes: dict[str, SizeState] = field(factory=dict)
    _unavailable_until: dict[tuple[str, str], float] = field(factory=dict)
    _short_since: dict[tuple[str, str], float] = field(factory=dict)

    def forget(self) -> None:
        """Drop the memory; the next plan starts from the targets that there are."""
        self._sizes = {}

    def wanted(self, pool: Pool, zone: str, declared: Wanted | None) -> Wanted | None:
        """Return what is wanted in a zone.

        Parameters
        ----------
        pool : Pool
            From the pool table.
        zone : str
            The zone whose orders this daemon gives.
        declared : Wanted or None
            What is declared now.

        Returns
        -------
        Wanted or None
            None if too little is known to change anything.
        """
        demand = self.demands.pool_demand(pool.name)
        if not demand.known:
            return None
        self._note_availability(pool, zone, declared)
        # Targets without an order serve as well and need not be ordered.
        static = {target.id for target in pool.targets}
        views = [v for v in self.directory.views(pool.name) if v.selectable]
        unordered = sum(view.id in static for view in views)
        state = self._sizes.get(pool.name, SizeState(len(views)))
        weighted = demand.running + self.policy.queue_weight * demand.queued
        state = next_size(state, weighted, demand.capacity, boottime(), self.policy)
        limit = pool.maximum * len(pool.zones) + unordered
        state = evolve(state, size=min(state.size, limit))
        self._sizes[pool.name] = state
        floor = needed_targets(
            self.demands.fixed_peak(pool.name),
            demand.capacity,
            self.policy.utilisation,
        )
        unordered_floor = sum(view.id in static and not view.cheap for view in views)
        bounds = PoolBounds(
            minimum=pool.minimum,
            maximum=pool.maximum,
            cheap_share=pool.cheap_share,
            spending=pool.spending,
        )
        return plan_pool(
            bounds,
            state.size - unordered,
            {name: self._is_available(pool.name, name) for name in pool.zones},
            max(0, floor - unordered_floor),
            self.policy,
        )[zone]

    def _is_available(self, pool: str, zone: str) -> bool:
        """Whether cheap targets can be had; a reclaim shows that they cannot."""
        reclaimed = any(
            view.cheap and view.leaving and view.zone == zone
            for view in self.directory.views(pool)
        )
        if reclaimed:
            self._unavailable_until[pool, zone] = boottime() + UNAVAILABLE_S
        return boottime() >= self._unavailable_until.get((pool, zone), 0.0)

    def _note_availability(
        self, pool: Pool, zone: str, declared: Wanted | None
    ) -> None:
        """Note when ordered cheap targets do not come for too long."""
        key = (pool.name, zone)
        static = {target.id for target in pool.targets}
        present = sum(
            view.cheap and view.zone == zone and view.id not in static
            for view in self.directory.views(pool.name)
        )
        if declared is None or present >= declared.cheap:
            self._short_since.pop(key, None)
            return
        since = self._short_since.setdefault(key, boottime())
        if boottime() - since > START_TIME_S:
            self._unavailable_until[key] = boottime() + UNAVAILABLE_S
            del self._short_since[key]
