"""The demand for each pool: what all daemons and targets report of it."""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..membership import Member
from ..peering import peer_pb2
from ..runtime.clock import boottime
from ..targets import TargetDirectory

__all__ = ["DemandBoard", "PoolDemand"]

# A daemon that was not heard for five heartbeats is not live.
KEPT_S = 5.0
# Work that cannot be run again varies; the floor follows its maximum of this time.
FIXED_PEAK_S = 120.0


@frozen
class PoolDemand:
    """Demand for a pool.

    Parameters
    ----------
    running : int
        Requests that run or wait in targets.
    queued : int
        Requests that wait in daemons.
    capacity : float
        Requests that one target runs at the same time, on average.
    known : bool
        Whether enough targets reported to act on these figures.
    """

    running: int
    queued: int
    capacity: float
    known: bool


@define(eq=False)
class DemandBoard:
    """What was last heard of the demand for each pool.

    Parameters
    ----------
    vm : str
        Id of this VM.
    directory : TargetDirectory
        Targets and their load reports.
    queued : callable
        Returns how many requests wait in this daemon for a pool.
    """

    vm: str
    directory: TargetDirectory
    queued: Callable[[str], int]
    _heard: dict[str, tuple[float, tuple[peer_pb2.PoolDemand, ...]]] = field(
        factory=dict
    )
    _fixed_peaks: dict[str, tuple[float, int]] = field(factory=dict)

    def connect(
        self,
        contributors: list[Callable[[peer_pb2.Heartbeat, Member], object]],
        listeners: list[Callable[[peer_pb2.Heartbeat], object]],
    ) -> None:
        """Exchange demand with the other daemons by heartbeats."""
        contributors.append(lambda message, peer: message.demands.extend(self.own()))
        listeners.append(lambda message: self.heard(message.sender.vm, message.demands))

    def own(self) -> list[peer_pb2.PoolDemand]:
        """Return what this daemon reports to the others."""
        demands = []
        for pool in self.directory.pools():
            if not pool.zones:
                continue
            fixed = self.directory.count_non_restartable(pool.name)
            queued = self.queued(pool.name)
            if fixed or queued:
                demands.append(
                    peer_pb2.PoolDemand(pool=pool.name, queued=queued, fixed=fixed)
                )
        return demands

    def heard(self, vm: str, demands: Iterable[peer_pb2.PoolDemand]) -> None:
        """Take over what a daemon reports."""
        self._heard[vm] = (boottime(), tuple(demands))

    def pool_demand(self, pool: str) -> PoolDemand:
        """Return the demand for a pool."""
        views = [v for v in self.directory.views(pool) if v.selectable]
        reports = [v.report for v in views if v.report is not None]
        queued = sum(d.queued for d in self._current() if d.pool == pool)
        configured = self.directory.pool(pool)
        capacity = (
            sum(report.capacity for report in reports) / len(reports)
            if reports
            else float(configured.concurrency if configured else 1)
        )
        return PoolDemand(
            sum(report.running + report.waiting for report in reports),
            queued,
            capacity,
            2 * len(reports) >= len(views),
        )

    def fixed_peak(self, pool: str) -> int:
        """Return the recent maximum of work in flight that cannot be run again."""
        now = boottime()
        fixed = sum(d.fixed for d in self._current() if d.pool == pool)
        at, peak = self._fixed_peaks.get(pool, (now, 0))
        if fixed >= peak or now - at > FIXED_PEAK_S:
            at, peak = now, fixed
        self._fixed_peaks[pool] = (at, peak)
        return peak

    def _current(self) -> list[peer_pb2.PoolDemand]:
        limit = boottime() - KEPT_S
        self._heard = {vm: v for vm, v in self._heard.items() if v[0] > limit}
        others = (v for vm, v in self._heard.items() if vm != self.vm)
        return self.own() + [demand for _, demands in others for demand in demands]
