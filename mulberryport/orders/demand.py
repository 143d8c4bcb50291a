"""Demand for each pool, aggregated from the reports of daemons and targets."""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..membership import Member
from ..peering import peer_pb2
from ..runtime.clock import boottime
from ..targets import TargetDirectory

__all__ = ["DemandTracker", "PoolDemand"]

# A daemon whose last five heartbeats are missing is not live.
REPORT_TTL_S = 5.0
# The amount of work that cannot be restarted fluctuates; the on-demand floor follows
# its maximum over this window.
PEAK_WINDOW_S = 120.0


@frozen
class PoolDemand:
    """Aggregate demand for a pool.

    Parameters
    ----------
    running : int
        Requests running or waiting on targets.
    queued : int
        Requests queued in daemons.
    capacity : float
        Mean number of requests that one target runs concurrently.
    has_enough_reports : bool
        Whether enough targets reported their load to act on these figures.
    """

    running: int
    queued: int
    capacity: float
    has_enough_reports: bool


@define(eq=False)
class DemandTracker:
    """Keeps the latest demand reports of all daemons.

    Parameters
    ----------
    vm : str
        Id of this VM.
    directory : TargetDirectory
        The known targets and their load reports.
    queued : callable
        Returns the number of requests queued in this daemon for a pool.
    """

    vm: str
    directory: TargetDirectory
    queued: Callable[[str], int]
    _peer_reports: dict[str, tuple[float, tuple[peer_pb2.PoolDemand, ...]]] = field(
        factory=dict
    )
    _non_restartable_peaks: dict[str, tuple[float, int]] = field(factory=dict)

    def attach_to_heartbeats(
        self,
        contributors: list[Callable[[peer_pb2.Heartbeat, Member], object]],
        listeners: list[Callable[[peer_pb2.Heartbeat], object]],
    ) -> None:
        """Send and receive demand reports in heartbeats."""
        contributors.append(
            lambda message, peer: message.demands.extend(self.local_demands())
        )
        listeners.append(
            lambda message: self.record_report(message.sender.vm, message.demands)
        )

    def local_demands(self) -> list[peer_pb2.PoolDemand]:
        """Return the demand that this daemon reports to the others."""
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

    def record_report(self, vm: str, demands: Iterable[peer_pb2.PoolDemand]) -> None:
        """Replace the stored report of a daemon."""
        self._peer_reports[vm] = (boottime(), tuple(demands))

    def pool_demand(self, pool: str) -> PoolDemand:
        """Return the aggregate demand for a pool."""
        views = [v for v in self.directory.views(pool) if v.selectable]
        reports = [v.report for v in views if v.report is not None]
        queued = sum(d.queued for d in self._current_demands() if d.pool == pool)
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

    def non_restartable_peak(self, pool: str) -> int:
        """Return the recent peak of in-flight requests that cannot be restarted."""
        now = boottime()
        fixed = sum(d.fixed for d in self._current_demands() if d.pool == pool)
        peak_time, peak = self._non_restartable_peaks.get(pool, (now, 0))
        if fixed >= peak or now - peak_time > PEAK_WINDOW_S:
            peak_time, peak = now, fixed
        self._non_restartable_peaks[pool] = (peak_time, peak)
        return peak

    def _current_demands(self) -> list[peer_pb2.PoolDemand]:
        oldest = boottime() - REPORT_TTL_S
        self._peer_reports = {
            vm: v for vm, v in self._peer_reports.items() if v[0] > oldest
        }
        others = (v for vm, v in self._peer_reports.items() if vm != self.vm)
        return self.local_demands() + [
            demand for _, demands in others for demand in demands
        ]
