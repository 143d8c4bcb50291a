"""The demand for each pool: what all daemons and targets report of it."""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..membership import Member
from ..peering import peer_pb2
from ..runtime.clock import boottime
from ..targets import TargetDirectory, TargetView

__all__ = ["DemandBoard", "ZoneDemand"]

# A daemon that was not heard for five heartbeats is not live.
KEPT_S = 5.0
# Work that cannot be run again varies; the floor follows its maximum of this time.
FIXED_PEAK_S = 120.0


@frozen
class ZoneDemand:
    """Demand for a pool in one zone.

    Parameters
    ----------
    demand : float
        Requests that run or wait, in targets and in daemons of the zone.
    capacity : float
        Requests that one target runs at the same time, on average.
    known : bool
        Whether enough targets reported to act on these figures.
    """

    demand: float
    capacity: float
    known: bool


@define(eq=False)
class DemandBoard:
    """What was last heard of the demand for each pool.

    Parameters
    ----------
    vm, zone : str
        This daemon.
    directory : TargetDirectory
        Targets and their load reports.
    queued : callable
        Returns how many requests wait in this daemon for a pool.
    """

    vm: str
    zone: str
    directory: TargetDirectory
    queued: Callable[[str], int]
    _heard: dict[str, tuple[float, str, tuple[peer_pb2.PoolDemand, ...]]] = field(
        factory=dict
    )
    _fixed_peaks: dict[str, tuple[float, int]] = field(factory=dict)

    def connect(
        self,
        contributors: list[Callable[[peer_pb2.Heartbeat, Member | None], None]],
        listeners: list[Callable[[peer_pb2.Heartbeat], None]],
    ) -> None:
        """Exchange demand with the other daemons by heartbeats."""
        contributors.append(lambda message, peer: message.demands.extend(self.own()))
        listeners.append(
            lambda message: self.heard(
                message.sender.vm, message.sender.zone, message.demands
            )
        )

    def own(self) -> list[peer_pb2.PoolDemand]:
        """Return what this daemon reports to the others."""
        demands = []
        for pool in self.directory.pools():
            if not pool.zones:
                continue
            fixed = self.directory.fixed_in_flight(pool.name)
            queued = self.queued(pool.name)
            if fixed or queued:
                demands.append(
                    peer_pb2.PoolDemand(pool=pool.name, queued=queued, fixed=fixed)
                )
        return demands

    def heard(self, vm: str, zone: str, demands: Iterable[peer_pb2.PoolDemand]) -> None:
        """Take over what a daemon reports."""
        self._heard[vm] = (boottime(), zone, tuple(demands))

    def zone_demand(self, pool: str, zone: str) -> ZoneDemand:
        """Return the demand for a pool in a zone."""
        views = [v for v in self.directory.views(pool) if v.zone == zone]
        live = [v for v in views if v.selectable]
        reports = [v.report for v in live if v.report is not None]
        running = sum(r.running + r.waiting for r in reports)
        queued = sum(
            demand.queued
            for of_zone, demand in self._current()
            if of_zone == zone and demand.pool == pool
        )
        everywhere = [v.report for v in self.directory.views(pool) if v.report]
        capacities = [r.capacity for r in everywhere]
        configured = self.directory.pool(pool)
        capacity = (
            sum(capacities) / len(capacities)
            if capacities
            else float(configured.concurrency if configured else 1)
        )
        return ZoneDemand(running + queued, capacity, 2 * len(reports) >= len(live))

    def fixed_peak(self, pool: str) -> int:
        """Return the recent maximum of work in flight that cannot be run again."""
        now = boottime()
        fixed = sum(d.fixed for _, d in self._current() if d.pool == pool)
        at, peak = self._fixed_peaks.get(pool, (now, 0))
        if fixed >= peak or now - at > FIXED_PEAK_S:
            at, peak = now, fixed
        self._fixed_peaks[pool] = (at, peak)
        return peak

    def _current(self) -> list[tuple[str, peer_pb2.PoolDemand]]:
        limit = boottime() - KEPT_S
        self._heard = {vm: v for vm, v in self._heard.items() if v[0] > limit}
        others = [
            (zone, demand)
            for vm, (_, zone, demands) in self._heard.items()
            if vm != self.vm
            for demand in demands
        ]
        return [(self.zone, demand) for demand in self.own()] + others


def on_demand(views: Iterable[TargetView]) -> int:
    """Return how many targets that can take work are not cheap."""
    return sum(view.selectable and not view.cheap for view in views)
