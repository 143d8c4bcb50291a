"""Rate limits of targets as known to this daemon."""

from collections.abc import Collection

from attrs import define, field

from ..routing import RateLimitReport, latest_report
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .cold_targets import ColdTargets

__all__ = ["RateLimits"]

RATE_LIMIT_CHANGED = define_event(
    804,
    "rate_limit_changed",
    "warning",
    "A target named a limit on the requests per second of all daemons, or changed it.",
)
RATE_LIMIT_ENDED = define_event(
    805, "rate_limit_ended", "info", "A target no longer names a limit on its requests."
)

# A target that is not listed for a while, for example while it cannot reach the store,
# comes back with its limit.
RETENTION_S = 600.0


@define(eq=False)
class RateLimits:
    """The newest report of each target that named a rate limit.

    Targets that never named one take no memory.

    Parameters
    ----------
    cold : ColdTargets
        Targets that take few requests because they are cold.
    """

    cold: ColdTargets = field(factory=ColdTargets)
    _reports: dict[str, RateLimitReport] = field(factory=dict)

    def record(self, target: str, report: RateLimitReport) -> None:
        """Record what a response, or another daemon, says about a target's limit."""
        known = self._reports.get(target)
        if known is None:
            if report.requests_per_s is None:
                return
            latest = report
        else:
            latest = latest_report([known, report])
        self._reports[target] = latest
        previous = known.requests_per_s if known else None
        if latest.requests_per_s == previous:
            return
        if latest.requests_per_s is None:
            log(RATE_LIMIT_ENDED, target=target, previous=previous)
        else:
            log(
                RATE_LIMIT_CHANGED,
                target=target,
                requests_per_s=latest.requests_per_s,
                previous=previous,
                age_s=round(boottime() - latest.received_at, 3),
            )

    def report(self, target: str) -> RateLimitReport | None:
        """Return the newest report of a target; None if it never named a limit."""
        return self._reports.get(target)

    def report_in_force(self, target: str) -> RateLimitReport | None:
        """Return the newest report of a target, with the limit that is in force."""
        report, limit = self._reports.get(target), self.limit(target)
        if limit is None or (report is not None and report.requests_per_s == limit):
            return report
        # What a target said of its own limit stays to be confirmed by a response.
        now = boottime()
        return RateLimitReport(limit, now, now)

    def limit(self, target: str) -> float | None:
        """Return the requests per second that a target takes; None if unlimited."""
        report = self._reports.get(target)
        limits = (report.requests_per_s if report else None, self.cold.rate(target))
        return min((limit for limit in limits if limit is not None), default=None)

    def reports_since(self, received_after: float) -> dict[str, RateLimitReport]:
        """Return the reports received after a boot time, by target."""
        return {
            target: report
            for target, report in self._reports.items()
            if report.received_at > received_after
        }

    def limited(self) -> dict[str, float]:
        """Return the limits in requests per second by target."""
        return {
            target: report.requests_per_s
            for target, report in self._reports.items()
            if report.requests_per_s is not None
        } | {
            target: limit
            for target, _ in self.cold.current()
            if (limit := self.limit(target)) is not None
        }

    def remove_outdated(self, listed: Collection[str]) -> None:
        """Remove targets that are not listed and were last heard of long ago."""
        oldest = boottime() - RETENTION_S
        self._reports = {
            target: report
            for target, report in self._reports.items()
            if target in listed or report.received_at > oldest
        }
        self.cold.remove_outdated(listed)
