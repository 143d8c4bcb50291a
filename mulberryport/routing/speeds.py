"""Estimate of the speed of each target, from events, reports and other daemons.

Three sources are combined, the later ones weighed by their variance and age:

- the usual speed of the targets of the same zone, or of the whole pool, corrected by
  how slow the target itself says that it is;
- what other daemons measured there;
- what this daemon measured there.

All of it is kept as logarithms, so that twice as fast and twice as slow count the same.
"""

import bisect
import math
import statistics
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from .model import TargetView

__all__ = ["RemoteSpeed", "SpeedEstimate", "TargetSpeeds"]

# Time constant with which a measurement loses its weight against the usual speed of the
# zone: targets share their machines, and a slow phase lasts for seconds. A shorter one
# sends texts back into a slow phase, a longer one leaves targets unused after it.
MEASUREMENT_DECAY_S = 4.0
# Time over which intervals are averaged. Within it, an interval counts by the time that
# it covers, so that a target that turned slow is known after a few of its long ones.
AVERAGING_TIME_S = 0.25
# One interval may be a pause: it changes the average by half at most, and by half of
# this factor.
MAX_STEP_WEIGHT = 0.5
MAX_STEP_RATIO = 4.0
# Standard deviation of the logarithm of the interval of a target of which nothing is
# known, and of a single event before the target's own spread is known. A target may be
# several times slower than usual, so that measurements are weighed by a wider one.
UNKNOWN_DEVIATION = 0.3
SLOW_PHASE_DEVIATION = 0.7
EVENT_DEVIATION = 0.3
# The average covers this many events at most, whatever their rate.
MAX_EFFECTIVE_EVENTS = 16.0
# Reported slowness changes many times a second. Reports are averaged over this time,
# and count only as far as there are several of them within it.
REPORT_DECAY_S = 1.0
# Number of reports at which their average counts by half.
REPORTS_FOR_HALF_WEIGHT = 3.0
MIN_SLOWDOWN, MAX_SLOWDOWN = 0.01, 100.0
# Measured targets from which the usual speed of a zone is taken.
MIN_ZONE_TARGETS = 3
# Measurements of targets that were not used for this time are removed.
RETENTION_S = 60.0
# Targets of a pool are uneven by measurement if this share of them is slower than the
# fastest quarter by this factor, and has been for this time. A full batch slows a
# target by less, and a passing trouble fewer targets.
UNEVEN_SHARE = 0.25
UNEVEN_RATIO = 1.22
UNEVEN_AFTER_S = 1.0
MIN_UNEVEN_TARGETS = 4
# Measurements older than this say nothing about whether targets are uneven.
UNEVEN_MAX_AGE_S = 5.0
MIN_INTERVAL_S, MAX_INTERVAL_S = 1e-4, 60.0
MAX_DEVIATION = 5.0
# Usual speeds and the order of a pool's targets are computed again after this time.
SUMMARY_MAX_AGE_S = 0.1
# Others are told of targets that are faster or slower than the usual by this factor.
UNUSUAL_RATIO = 1.15


@frozen
class SpeedEstimate:
    """Expected time between two events of a stream at a target.

    Parameters
    ----------
    event_interval_s : float
        Expected time in seconds, above 0.
    spread_s : float
        Standard deviation of the expectation in seconds.
    """

    event_interval_s: float
    spread_s: float


@frozen
class RemoteSpeed:
    """What a daemon has measured of a target.

    Parameters
    ----------
    interval_s : float
        Average time between two events, in seconds.
    deviation : float
        Standard deviation of the logarithm of the average.
    measured_at : float
        Boot time of the last event.
    born : int
        Time of the target's start, which tells apart targets that used the same id.
    """

    interval_s: float
    deviation: float
    measured_at: float
    born: int = 0

    @property
    def is_possible(self) -> bool:
        """Whether the values can be true."""
        return (
            MIN_INTERVAL_S <= self.interval_s <= MAX_INTERVAL_S
            and 0.0 <= self.deviation <= MAX_DEVIATION
            and math.isfinite(self.measured_at)
        )


@define
class _Average:
    """Average of the logarithm of event intervals."""

    value: float
    updated_at: float
    deviation: float = EVENT_DEVIATION
    effective_events: float = 1.0

    @property
    def variance(self) -> float:
        """Variance of the average at the time of its last event."""
        return self.deviation**2 / self.effective_events

    def add(self, interval_s: float, now: float) -> None:
        age_s = max(0.0, now - self.updated_at)
        # After a while, the new value replaces the old one in part at least.
        forgotten = 1.0 - math.exp(-age_s / MEASUREMENT_DECAY_S)
        covered = 1.0 - math.exp(-interval_s / AVERAGING_TIME_S)
        factor = max(
            min(MAX_STEP_WEIGHT, covered),
            forgotten,
            1.0 / MAX_EFFECTIVE_EVENTS,
            1.0 / (self.effective_events + 1.0),
        )
        limit = math.log(MAX_STEP_RATIO)
        error = math.log(interval_s) - self.value
        error = max(-limit, min(limit, error))
        self.value += factor * error
        remaining_error = (1.0 - factor) * abs(error)
        self.deviation += factor * (remaining_error - self.deviation)
        self.effective_events = min(self.effective_events + 1.0, 1.0 / factor)
        self.updated_at = max(self.updated_at, now)


@define
class _Reports:
    """Average of the logarithm of the slowness that a target reports."""

    value: float = 0.0
    weight: float = 0.0
    reported_at: float = -math.inf

    def add(self, slowdown: float, reported_at: float, now: float) -> None:
        if not self.reported_at < reported_at <= now:
            return
        remaining = self.weight_at(reported_at)
        self.weight = remaining + 1.0
        self.value += (math.log(slowdown) - self.value) / self.weight
        self.reported_at = reported_at

    def weight_at(self, now: float) -> float:
        age_s = max(0.0, now - self.reported_at)
        return self.weight * math.exp(-age_s / REPORT_DECAY_S)

    def expected(self, now: float) -> float:
        """Return the expected logarithm of the slowness, 0 if nothing is known."""
        weight = self.weight_at(now)
        return self.value * weight / (weight + REPORTS_FOR_HALF_WEIGHT)


@define
class _Member:
    """A target of a pool; ``born`` tells it apart from others under its id."""

    pool: str
    zone: str
    born: int
    reports: _Reports = field(factory=_Reports)


@define
class _PoolSummary:
    """Usual speeds of a pool and the order of its targets, computed now and then."""

    computed_at: float
    usual: float | None
    usual_by_zone: dict[str, float]
    reported: float
    reported_by_zone: dict[str, float]
    # Expected intervals in seconds and ids, the fastest target first.
    ranking: list[tuple[float, str]] = field(factory=list)


@define(eq=False)
class TargetSpeeds:
    """Speeds of the targets that this daemon uses.

    Examples
    --------
    >>> speeds = TargetSpeeds()
    >>> for _ in range(20):
    ...     speeds.record_interval("fast", 0.05, now=10.0)
    ...     speeds.record_interval("slow", 0.15, now=10.0)
    >>> round(speeds.estimate("slow", now=10.0).event_interval_s, 2)
    0.15
    >>> 0.05 < speeds.estimate("new", now=10.0).event_interval_s < 0.15
    True
    """

    _measured: dict[str, _Average] = field(factory=dict)
    _remote: dict[str, RemoteSpeed] = field(factory=dict)
    _members: dict[str, _Member] = field(factory=dict)
    _ids_by_pool: dict[str, frozenset[str]] = field(factory=dict)
    _summaries: dict[str, _PoolSummary] = field(factory=dict)
    # Boot time since which, and until which, the targets of a pool are uneven.
    _uneven_since: dict[str, float] = field(factory=dict)
    _uneven_until: dict[str, float] = field(factory=dict)
    _cleaned_at: float = -math.inf

    def update_pool(self, pool: str, views: Iterable[TargetView], now: float) -> None:
        """Apply the newest views of the targets of a pool and what they report.

        What is known of a target that was replaced, or that left, is forgotten.

        Parameters
        ----------
        pool : str
            The pool.
        views : iterable of TargetView
            Its targets.
        now : float
            Boot time.
        """
        ids = set()
        for view in views:
            ids.add(view.id)
            member = self._members.get(view.id)
            if member is None or member.born != view.born:
                if member is not None:
                    self.forget(view.id)
                member = self._members[view.id] = _Member(pool, view.zone, view.born)
            member.pool, member.zone = pool, view.zone
            slowdown = view.report.slowdown if view.report is not None else None
            if slowdown is not None and MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN:
                member.reports.add(slowdown, now - view.report_age, now)
        for target in self._ids_by_pool.get(pool, frozenset()) - ids:
            member = self._members.get(target)
            if member is not None and member.pool == pool:
                self.forget(target)
        if self._ids_by_pool.get(pool) != ids:
            self._summaries.pop(pool, None)
        self._ids_by_pool[pool] = frozenset(ids)
        if now - self._cleaned_at > RETENTION_S:
            self._remove_outdated(now)

    def record_interval(self, target: str, interval_s: float, now: float) -> None:
        """Record the time between two consecutive events of a stream of a target.

        Parameters
        ----------
        target : str
            Id of the target.
        interval_s : float
            Seconds between the two events.
        now : float
            Boot time.
        """
        if not (0.0 < interval_s <= MAX_INTERVAL_S and math.isfinite(now)):
            return
        interval_s = max(MIN_INTERVAL_S, interval_s)
        average = self._measured.get(target)
        if average is None:
            self._measured[target] = _Average(math.log(interval_s), now)
        else:
            average.add(interval_s, now)

    def record_remote(self, target: str, speed: RemoteSpeed) -> None:
        """Record what another daemon has measured, unless something newer is known.

        Parameters
        ----------
        target : str
            Id of the target; targets of no known pool are ignored.
        speed : RemoteSpeed
            The measurement. It is ignored if it is impossible, or says something
            about another target under the same id.
        """
        member = self._members.get(target)
        if member is None or member.born != speed.born or not speed.is_possible:
            return
        known = self._remote.get(target)
        if known is None or known.measured_at < speed.measured_at:
            self._remote[target] = speed

    def unusual_since(self, since: float, now: float) -> dict[str, RemoteSpeed]:
        """Return measurements that others should know, the most unusual first.

        Parameters
        ----------
        since : float
            Boot time; targets without an event since then are left out.
        now : float
            Boot time.
        """
        deviations = {
            target: abs(average.value - usual)
            for target, average in self._measured.items()
            if average.updated_at >= since
            and target in self._members
            and (usual := self._summary(self._members[target].pool, now).usual)
            is not None
        }
        unusual = [t for t, d in deviations.items() if d > math.log(UNUSUAL_RATIO)]
        return {
            target: RemoteSpeed(
                math.exp(self._measured[target].value),
                math.sqrt(self._measured[target].variance),
                self._measured[target].updated_at,
                self._members[target].born,
            )
            for target in sorted(unusual, key=lambda target: -deviations[target])
        }

    def estimate(self, target: str, now: float) -> SpeedEstimate | None:
        """Return the expected speed of a target.

        Parameters
        ----------
        target : str
            Id of the target.
        now : float
            Boot time.

        Returns
        -------
        SpeedEstimate or None
            None if nothing was measured at any target of the pool.
        """
        member = self._members.get(target)
        summary = self._summary(member.pool if member else "", now)
        return self._estimate(target, member, summary, now)

    def are_uneven(self, pool: str, now: float) -> bool:
        """Whether measurements show that some targets of a pool are slower for good.

        It holds for a minute after the last measurements that show it, since texts then
        leave the slow targets, which shows nothing any more.
        """
        self._summary(pool, now)
        return now < self._uneven_until.get(pool, -math.inf)

    def ranking(self, pool: str, now: float) -> Sequence[tuple[float, str]]:
        """Return expected intervals in seconds and ids, the fastest target first.

        They are a tenth of a second old at most. Empty if nothing was measured.
        """
        return self._summary(pool, now).ranking

    def slower_than(self, pool: str, interval_s: float, now: float) -> frozenset[str]:
        """Return the targets of a pool whose expected interval is longer."""
        ranking = self.ranking(pool, now)
        first = bisect.bisect_right(ranking, interval_s, key=lambda entry: entry[0])
        return frozenset(target for _, target in ranking[first:])

    def usual_interval_s(self, pool: str, now: float) -> float | None:
        """Return the median interval of a pool's targets in seconds, if known."""
        ranking = self.ranking(pool, now)
        return ranking[(len(ranking) - 1) // 2][0] if ranking else None

    def forget(self, target: str) -> None:
        """Remove what is known of a target, for example after it was replaced."""
        for known in (self._measured, self._remote, self._members):
            known.pop(target, None)

    def _estimate(
        self, target: str, member: _Member | None, summary: _PoolSummary, now: float
    ) -> SpeedEstimate | None:
        if summary.usual is None:
            return None
        value, variance = summary.usual, UNKNOWN_DEVIATION**2
        if member is not None:
            value = summary.usual_by_zone.get(member.zone, value)
            usually_reported = summary.reported_by_zone.get(
                member.zone, summary.reported
            )
            value += member.reports.expected(now) - usually_reported
        remote, own = self._remote.get(target), self._measured.get(target)
        if remote is not None:
            weight = _weight(remote.deviation**2, now - remote.measured_at)
            value += weight * (math.log(remote.interval_s) - value)
            variance += weight * (remote.deviation**2 - variance)
        if own is not None:
            weight = _weight(own.variance, now - own.updated_at)
            value += weight * (own.value - value)
            variance += weight * (own.variance - variance)
        interval_s = min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, math.exp(value)))
        return SpeedEstimate(interval_s, interval_s * math.sqrt(variance))

    def _summary(self, pool: str, now: float) -> _PoolSummary:
        summary = self._summaries.get(pool)
        if summary is None or not 0 <= now - summary.computed_at < SUMMARY_MAX_AGE_S:
            summary = self._summaries[pool] = self._summarize(pool, now)
        return summary

    def _summarize(self, pool: str, now: float) -> _PoolSummary:
        ids = self._ids_by_pool.get(pool)
        if ids is None:
            ids = frozenset(self._measured)
        # Other daemons tell only what is unusual, which says little about the usual.
        has_own = any(target in self._measured for target in ids)
        values: dict[str, list[float]] = {}
        reports: dict[str, list[float]] = {}
        for target in ids:
            member = self._members.get(target)
            zone = member.zone if member is not None else ""
            if member is not None:
                reports.setdefault(zone, []).append(member.reports.expected(now))
            value = self._last_value(target, has_own, now)
            if value is not None:
                values.setdefault(zone, []).append(value)
        summary = _PoolSummary(
            now,
            _median_of([v for zone in values.values() for v in zone]),
            _medians_by_zone(values),
            _median_of([v for zone in reports.values() for v in zone]) or 0.0,
            _medians_by_zone(reports),
        )
        for target in ids:
            estimate = self._estimate(target, self._members.get(target), summary, now)
            if estimate is not None:
                summary.ranking.append((estimate.event_interval_s, target))
        summary.ranking.sort()
        self._update_unevenness(pool, ids, now)
        return summary

    def _update_unevenness(self, pool: str, ids: Iterable[str], now: float) -> None:
        """Update whether measurements of a pool's targets differ for good."""
        values = sorted(
            average.value
            for target in ids
            if (average := self._measured.get(target)) is not None
            and now - average.updated_at < UNEVEN_MAX_AGE_S
        )
        fast = values[(len(values) - 1) // 4] if values else 0.0
        slow = sum(value > fast + math.log(UNEVEN_RATIO) for value in values)
        if len(values) < MIN_UNEVEN_TARGETS or slow < UNEVEN_SHARE * len(values):
            self._uneven_since.pop(pool, None)
        elif now - self._uneven_since.setdefault(pool, now) >= UNEVEN_AFTER_S:
            self._uneven_until[pool] = now + RETENTION_S

    def _last_value(self, target: str, is_own: bool, now: float) -> float | None:
        """Return the logarithm of the interval that was measured last."""
        if is_own:
            own = self._measured.get(target)
            is_recent = own is not None and now - own.updated_at < RETENTION_S
            return own.value if is_recent else None
        remote = self._remote.get(target)
        if remote is None or now - remote.measured_at >= RETENTION_S:
            return None
        return math.log(remote.interval_s)

    def _remove_outdated(self, now: float) -> None:
        self._cleaned_at = now
        for target, average in list(self._measured.items()):
            if now - average.updated_at > RETENTION_S:
                del self._measured[target]
        for target, speed in list(self._remote.items()):
            if now - speed.measured_at > RETENTION_S:
                del self._remote[target]


def _weight(variance: float, age_s: float) -> float:
    """Return the weight of a measurement against what is known without it."""
    certainty = SLOW_PHASE_DEVIATION**2 / (SLOW_PHASE_DEVIATION**2 + variance)
    return certainty * math.exp(-max(0.0, age_s) / MEASUREMENT_DECAY_S)


def _median_of(values: list[float]) -> float | None:
    return statistics.median(values) if values else None


def _medians_by_zone(values: dict[str, list[float]]) -> dict[str, float]:
    """Return the medians of the zones in which enough targets are known."""
    return {
        zone: statistics.median(known)
        for zone, known in values.items()
        if len(known) >= MIN_ZONE_TARGETS
    }
