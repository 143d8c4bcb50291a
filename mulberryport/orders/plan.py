"""What is wanted in a zone, from the demand that this daemon sees."""

from attrs import define, evolve, field

from ..runtime.clock import boottime
from ..tables import Pool
from ..targets import TargetDirectory
from .demand import DemandBoard, on_demand
from .sizing import (
    DEFAULT_POLICY,
    PoolBounds,
    SizeState,
    SizingPolicy,
    Wanted,
    ZoneState,
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
    """Sizes of the zones, with the memory that hysteresis needs.

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
    _sizes: dict[tuple[str, str], SizeState] = field(factory=dict)
    _unavailable_until: dict[tuple[str, str], float] = field(factory=dict)
    _short_since: dict[tuple[str, str], float] = field(factory=dict)

    def forget(self) -> None:
        """Drop the memory; the next plan starts from the declared sizes."""
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
        demand = self.demands.zone_demand(pool.name, zone)
        if not demand.known:
            return None
        self._note_availability(pool, zone, declared)
        views = self.directory.views(pool.name)
        zones: dict[str, ZoneState] = {}
        for name in pool.zones:
            # Targets without an order serve as well and need not be ordered.
            fixed = sum(t.zone == name for t in pool.targets)
            state = self._sizes.get((pool.name, name))
            if state is None:
                ordered = sum(v.zone == name for v in views if v.selectable) - fixed
                if name == zone and declared is not None:
                    ordered = declared.total
                state = SizeState(max(pool.minimum, ordered) + fixed)
            of_zone = self.demands.zone_demand(pool.name, name)
            state = next_size(
                state, of_zone.demand, of_zone.capacity, boottime(), self.policy
            )
            limit = pool.maximum * len(pool.zones) + fixed
            state = evolve(
                state, size=min(max(state.size, pool.minimum + fixed), limit)
            )
            self._sizes[pool.name, name] = state
            zones[name] = ZoneState(
                state.size - fixed, self._is_available(pool.name, name)
            )
        floor = needed_targets(
            self.demands.fixed_peak(pool.name),
            demand.capacity,
            self.policy.utilisation,
        )
        static = {target.id for target in pool.targets}
        fixed_needed = max(0, floor - on_demand(v for v in views if v.id in static))
        bounds = PoolBounds(
            minimum=pool.minimum,
            maximum=pool.maximum,
            cheap_share=pool.cheap_share,
            spending=pool.spending,
        )
        return plan_pool(bounds, zones, fixed_needed, self.policy)[zone]

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
