"""Autoscaling policy: desired targets of each zone by price class.

All functions are pure. ``next_size`` converts the demand for a pool into a size with
hysteresis; ``plan_pool`` spreads it evenly over the zones of the pool, within the
bounds of the pool table, and splits it into on-demand and cheap (reclaimable)
targets.

Sizes apply to the whole pool, because rounding up in each of three zones would add
up to two targets to a pool of five. A pool that must not spread over distant zones
has to be declared as several pools.
"""

import math
from collections.abc import Callable, Mapping

from attrs import evolve, frozen

__all__ = [
    "DEFAULT_POLICY",
    "PoolBounds",
    "SizeState",
    "SizingPolicy",
    "TargetCounts",
    "needed_targets",
    "next_size",
    "plan_pool",
    "plan_cost",
]


@frozen(kw_only=True)
class SizingPolicy:
    """Constants of the sizing policy.

    Parameters
    ----------
    queue_weight : float
        Fraction of the queued requests that counts as demand. Requests that wait for
        at most one service time need no additional target.
    utilisation : float
        Fraction of the capacity in use after scaling up.
    low_utilisation : float
        A target is removed only if the demand uses at most this fraction of the
        capacity of the others. The gap to ``utilisation`` is the hysteresis.
    scale_down_delay_s : float
        Seconds for which the demand must stay that low before the first target is
        removed.
    scale_down_interval_s : float
        Seconds between further removals.
    cheap_price : float
        Price of a cheap target relative to an on-demand target.
    """

    queue_weight: float = 0.5
    utilisation: float = 0.85
    low_utilisation: float = 0.75
    scale_down_delay_s: float = 120.0
    scale_down_interval_s: float = 30.0
    cheap_price: float = 0.35


DEFAULT_POLICY = SizingPolicy()


@frozen(kw_only=True)
class PoolBounds:
    """Limits of a pool from the pool table.

    Parameters
    ----------
    minimum, maximum : int
        Least and greatest number of ordered targets in each zone of the pool.
    cheap_share : float
        Maximum fraction of the pool's ordered targets that may be cheap.
    spending : float
        Maximum price of all ordered targets, in units of one on-demand target; 0
        means no limit.
    """

    minimum: int
    maximum: int
    cheap_share: float = 0.0
    spending: float = 0.0


@frozen
class SizeState:
    """Size of a pool and the time of its next reduction.

    Parameters
    ----------
    size : int
        Desired number of targets.
    scale_down_at : float or None
        Time at which one target is removed if the demand stays low.
    """

    size: int
    scale_down_at: float | None = None


@frozen
class TargetCounts:
    """Number of targets to order for a pool in a zone, by price class."""

    on_demand: int
    cheap: int

    @property
    def total(self) -> int:
        """Number of targets of both price classes."""
        return self.on_demand + self.cheap


def needed_targets(demand: float, capacity: float, utilisation: float) -> int:
    """Return the number of targets needed to serve a demand.

    Parameters
    ----------
    demand : float
        Number of running and waiting requests.
    capacity : float
        Number of requests that one target runs concurrently.
    utilisation : float
        Fraction of the capacity that may be in use.

    Examples
    --------
    >>> needed_targets(33, 16, 0.75)
    3
    """
    return math.ceil(demand / (max(1.0, capacity) * utilisation) - 1e-9)


def next_size(
    state: SizeState,
    demand: float,
    capacity: float,
    now: float,
    policy: SizingPolicy = DEFAULT_POLICY,
) -> SizeState:
    """Return the next size: scale up at once, scale down after a delay.

    Examples
    --------
    >>> next_size(SizeState(1), 33, 16, now=0.0)
    SizeState(size=3, scale_down_at=None)
    >>> next_size(SizeState(3), 10, 16, now=0.0)
    SizeState(size=3, scale_down_at=120.0)
    >>> next_size(SizeState(3, 120.0), 10, 16, now=121.0)
    SizeState(size=2, scale_down_at=151.0)
    """
    needed = needed_targets(demand, capacity, policy.utilisation)
    if needed > state.size:
        return SizeState(needed)
    if needed_targets(demand, capacity, policy.low_utilisation) >= state.size:
        return SizeState(state.size)
    if state.scale_down_at is None:
        return SizeState(state.size, now + policy.scale_down_delay_s)
    if now < state.scale_down_at:
        return state
    return SizeState(state.size - 1, now + policy.scale_down_interval_s)


def plan_pool(
    bounds: PoolBounds,
    size: int,
    zones: Mapping[str, bool],
    on_demand_floor: int,
    policy: SizingPolicy = DEFAULT_POLICY,
) -> dict[str, TargetCounts]:
    """Return the desired target counts of a pool in each of its zones.

    Parameters
    ----------
    bounds : PoolBounds
        Limits from the pool table. Minimum and maximum always hold.
    size : int
        Number of targets that the demand needs; may exceed the limits.
    zones : mapping of str to bool
        Whether the platform can currently start cheap targets in each zone.
    on_demand_floor : int
        On-demand targets needed for the work that cannot be restarted, in case all
        cheap targets are reclaimed. It takes precedence over the spending limit.

    Examples
    --------
    >>> bounds = PoolBounds(minimum=1, maximum=4, cheap_share=0.5)
    >>> plan_pool(bounds, 4, {"a": True, "b": False}, 1)
    {'a': TargetCounts(on_demand=1, cheap=2), 'b': TargetCounts(on_demand=1, cheap=0)}
    """
    minimum_sizes = dict.fromkeys(sorted(zones), bounds.minimum)
    minimum_total = sum(minimum_sizes.values())
    size = min(max(size, on_demand_floor, minimum_total), bounds.maximum * len(zones))
    while True:
        sizes = _distribute(bounds, minimum_sizes, size - minimum_total)
        plan = _split_price_classes(bounds, sizes, zones, on_demand_floor)
        affordable = plan_cost(plan, policy) <= bounds.spending + 1e-9
        if (
            not bounds.spending
            or affordable
            or size <= max(minimum_total, on_demand_floor)
        ):
            return plan
        size -= 1


def plan_cost(
    plan: Mapping[str, TargetCounts], policy: SizingPolicy = DEFAULT_POLICY
) -> float:
    """Return the price of a plan in units of one on-demand target."""
    return sum(
        counts.on_demand + policy.cheap_price * counts.cheap for counts in plan.values()
    )


def _distribute(
    bounds: PoolBounds, sizes: dict[str, int], extra: int
) -> dict[str, int]:
    """Add targets one by one to the zone with the fewest, up to its maximum."""
    sizes = dict(sizes)
    for _ in range(extra):
        smallest = _name_with_lowest_count(
            sizes, lambda name: sizes[name] < bounds.maximum
        )
        if smallest is None:
            break
        sizes[smallest] += 1
    return sizes


def _split_price_classes(
    bounds: PoolBounds,
    sizes: Mapping[str, int],
    zones: Mapping[str, bool],
    on_demand_floor: int,
) -> dict[str, TargetCounts]:
    """Split sizes by price class, with cheap targets spread evenly over the zones.

    Cheap targets that are unavailable in a zone move to zones where they are
    available, up to the maximum of those zones. The rest become on-demand targets in
    their own zone.
    """
    total = sum(sizes.values())
    cheap_total = min(
        math.floor(bounds.cheap_share * total + 1e-9), total - on_demand_floor
    )
    cheap = dict.fromkeys(sizes, 0)
    for _ in range(max(0, cheap_total)):
        name = _name_with_lowest_count(cheap, lambda name: cheap[name] < sizes[name])
        if name is None:
            break
        cheap[name] += 1
    plan = {
        name: TargetCounts(sizes[name] - cheap[name], cheap[name]) for name in sizes
    }
    for name in sorted(sizes):
        if zones[name]:
            continue
        for _ in range(plan[name].cheap):
            recipient = _name_with_lowest_count(
                {n: plan[n].cheap for n in plan if zones[n]},
                lambda n: plan[n].total < bounds.maximum,
            )
            # Moving targets must not leave a zone below its minimum.
            if recipient is None or plan[name].total <= bounds.minimum:
                plan[name] = TargetCounts(
                    plan[name].on_demand + 1, plan[name].cheap - 1
                )
            else:
                plan[name] = evolve(plan[name], cheap=plan[name].cheap - 1)
                plan[recipient] = evolve(
                    plan[recipient], cheap=plan[recipient].cheap + 1
                )
    return plan


def _name_with_lowest_count(
    counts: Mapping[str, int], is_allowed: Callable[[str], bool]
) -> str | None:
    """Return the allowed name with the lowest count; ties go to the first name."""
    names = [name for name in sorted(counts) if is_allowed(name)]
    return min(names, key=lambda name: counts[name], default=None)
