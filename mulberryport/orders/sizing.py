"""How many targets are wanted in each zone, and at which price class.

Pure policy. ``next_size`` turns the demand for a pool into a size with hysteresis;
``plan_pool`` spreads it evenly over the zones of the pool, within the bounds of
the pool table, and splits it into on-demand and cheap targets.

Sizes are those of the pool: rounding up in each of three zones would add up to two
targets to a pool of five. A pool that must not spread over distant zones is
declared as several pools.
"""

import math
from collections.abc import Callable, Mapping

from attrs import evolve, frozen

__all__ = [
    "DEFAULT_POLICY",
    "PoolBounds",
    "SizeState",
    "SizingPolicy",
    "Wanted",
    "needed_targets",
    "next_size",
    "plan_pool",
    "spending",
]


@frozen(kw_only=True)
class SizingPolicy:
    """Constants of the policy.

    Parameters
    ----------
    queue_weight : float
        Part of the waiting requests that counts as demand. Work that waits for at
        most one service time needs no target of its own.
    utilisation : float
        Part of the capacity that the demand fills after scaling up.
    low_utilisation : float
        A target is given up only if the demand fills at most this part of the
        others. The gap to ``utilisation`` is the hysteresis.
    down_after : float
        Seconds for which the demand must be that low before the first target is
        given up.
    down_interval : float
        Seconds between targets that are given up after that.
    cheap_price : float
        Price of a cheap target, relative to an on-demand one.
    """

    queue_weight: float = 0.5
    utilisation: float = 0.85
    low_utilisation: float = 0.75
    down_after: float = 120.0
    down_interval: float = 30.0
    cheap_price: float = 0.35


DEFAULT_POLICY = SizingPolicy()


@frozen(kw_only=True)
class PoolBounds:
    """What the pool table allows.

    Parameters
    ----------
    minimum, maximum : int
        Ordered targets in each zone of the pool.
    cheap_share : float
        Largest part of the pool's ordered targets that may be cheap.
    spending : float
        Largest price of all ordered targets, in on-demand targets; 0 is no bound.
    """

    minimum: int
    maximum: int
    cheap_share: float = 0.0
    spending: float = 0.0


@frozen
class SizeState:
    """Size of a pool and until when a smaller one must still do.

    Parameters
    ----------
    size : int
        Wanted targets.
    down_at : float or None
        Time at which one target is given up if the demand stays low.
    """

    size: int
    down_at: float | None = None


@frozen
class Wanted:
    """Wanted ordered targets of a pool in a zone."""

    on_demand: int
    cheap: int

    @property
    def total(self) -> int:
        """Targets of both price classes."""
        return self.on_demand + self.cheap


def needed_targets(demand: float, capacity: float, utilisation: float) -> int:
    """Return how many targets a demand needs.

    Parameters
    ----------
    demand : float
        Requests that run or wait.
    capacity : float
        Requests that one target runs at the same time.
    utilisation : float
        Part of the capacity that may be filled.

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
    """Return the size after a look at the demand: up at once, down slowly.

    Examples
    --------
    >>> next_size(SizeState(1), 33, 16, now=0.0)
    SizeState(size=3, down_at=None)
    >>> next_size(SizeState(3), 10, 16, now=0.0)
    SizeState(size=3, down_at=120.0)
    >>> next_size(SizeState(3, 120.0), 10, 16, now=121.0)
    SizeState(size=2, down_at=151.0)
    """
    needed = needed_targets(demand, capacity, policy.utilisation)
    if needed > state.size:
        return SizeState(needed)
    if needed_targets(demand, capacity, policy.low_utilisation) >= state.size:
        return SizeState(state.size)
    if state.down_at is None:
        return SizeState(state.size, now + policy.down_after)
    if now < state.down_at:
        return state
    return SizeState(state.size - 1, now + policy.down_interval)


def plan_pool(
    bounds: PoolBounds,
    size: int,
    zones: Mapping[str, bool],
    fixed_needed: int,
    policy: SizingPolicy = DEFAULT_POLICY,
) -> dict[str, Wanted]:
    """Return the wanted targets of a pool in each of its zones.

    Parameters
    ----------
    bounds : PoolBounds
        From the pool table. Its minimum and maximum always hold.
    size : int
        Targets that the demand asks for; may exceed the bounds.
    zones : mapping of str to bool
        Whether the platform starts cheap targets in each zone now.
    fixed_needed : int
        On-demand targets that would carry the work that cannot be run again, if
        all cheap targets vanished. This floor comes before the spending bound.

    Examples
    --------
    >>> bounds = PoolBounds(minimum=1, maximum=4, cheap_share=0.5)
    >>> plan_pool(bounds, 4, {"a": True, "b": False}, 1)
    {'a': Wanted(on_demand=1, cheap=2), 'b': Wanted(on_demand=1, cheap=0)}
    """
    least = dict.fromkeys(sorted(zones), bounds.minimum)
    lowest = sum(least.values())
    size = min(max(size, fixed_needed, lowest), bounds.maximum * len(zones))
    while True:
        sizes = _fill(bounds, least, size - lowest)
        plan = _split(bounds, sizes, zones, fixed_needed)
        affordable = spending(plan, policy) <= bounds.spending + 1e-9
        if not bounds.spending or affordable or size <= max(lowest, fixed_needed):
            return plan
        size -= 1


def spending(
    plan: Mapping[str, Wanted], policy: SizingPolicy = DEFAULT_POLICY
) -> float:
    """Return the price of a plan, in on-demand targets."""
    return sum(
        wanted.on_demand + policy.cheap_price * wanted.cheap for wanted in plan.values()
    )


def _fill(bounds: PoolBounds, sizes: dict[str, int], more: int) -> dict[str, int]:
    """Add targets one by one where there is most room."""
    sizes = dict(sizes)
    for _ in range(more):
        smallest = _least(sizes, lambda name: sizes[name] < bounds.maximum)
        if smallest is None:
            break
        sizes[smallest] += 1
    return sizes


def _split(
    bounds: PoolBounds,
    sizes: Mapping[str, int],
    zones: Mapping[str, bool],
    fixed_needed: int,
) -> dict[str, Wanted]:
    """Choose price classes: the cheap share, spread evenly over the zones.

    Cheap targets that a zone cannot get move to zones that can, within their
    maximum; what still cannot be had stays in its zone as on-demand.
    """
    total = sum(sizes.values())
    cheap_total = min(
        math.floor(bounds.cheap_share * total + 1e-9), total - fixed_needed
    )
    cheap = dict.fromkeys(sizes, 0)
    for _ in range(max(0, cheap_total)):
        name = _least(cheap, lambda name: cheap[name] < sizes[name])
        if name is None:
            break
        cheap[name] += 1
    plan = {name: Wanted(sizes[name] - cheap[name], cheap[name]) for name in sizes}
    for name in sorted(sizes):
        if zones[name]:
            continue
        for _ in range(plan[name].cheap):
            other = _least(
                {n: plan[n].cheap for n in plan if zones[n]},
                lambda n: plan[n].total < bounds.maximum,
            )
            # The minimum of a zone stays in the zone.
            if other is None or plan[name].total <= bounds.minimum:
                plan[name] = Wanted(plan[name].on_demand + 1, plan[name].cheap - 1)
            else:
                plan[name] = evolve(plan[name], cheap=plan[name].cheap - 1)
                plan[other] = evolve(plan[other], cheap=plan[other].cheap + 1)
    return plan


def _least(counts: Mapping[str, int], allowed: Callable[[str], bool]) -> str | None:
    """Return the allowed name with the lowest count; the first of equals."""
    names = [name for name in sorted(counts) if allowed(name)]
    return min(names, key=lambda name: counts[name], default=None)
