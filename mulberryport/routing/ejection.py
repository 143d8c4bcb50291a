"""Ejection of failing targets, and their readmission after a successful probe."""

import math
from collections.abc import Mapping

from attrs import define, field

__all__ = ["Ejector", "FailureRecord"]

FAILURE_THRESHOLD = 2
# A target that fails half of its requests is ejected even if the failures are not
# consecutive. The rate is a moving average over about 20 requests.
ERROR_RATE_THRESHOLD = 0.5
RATE_SMOOTHING = 0.05
INITIAL_BACK_OFF_S = 10.0
MAX_BACK_OFF_S = 60.0
# A request that cannot be restarted becomes a probe only if no restartable request
# arrived for this many times the back-off.
NON_RESTARTABLE_PROBE_FACTOR = 2.0
# Number of other daemons that must have ejected a target before this daemon ejects
# it without a failure of its own. One daemon is not enough: only its own network
# path to the target may be broken.
MIN_REPORTING_DAEMONS = 2
# Ejections by other daemons count for as long as the first back-off lasts.
REMOTE_EJECTION_LIFETIME_S = 10.0


@define(eq=False)
class FailureRecord:
    """Recent failures and ejection state of one target.

    Parameters
    ----------
    consecutive_failures : int
        Failures since the last success.
    error_rate : float
        Moving average of failures per request, 0 to 1.
    ejection_count : int
        Ejections since the error rate was last low; doubles the back-off each time.
    ejected_at, probe_at : float
        Boot times of the last ejection and of the next probe; ``probe_at`` is
        infinite while the target is not ejected.
    probe_running : bool
        Whether a probe request is running.
    succeeded_at : float
        Boot time of the last success.
    """

    consecutive_failures: int = 0
    error_rate: float = 0.0
    ejection_count: int = 0
    ejected_at: float = -math.inf
    probe_at: float = math.inf
    probe_running: bool = False
    succeeded_at: float = -math.inf

    @property
    def ejected(self) -> bool:
        """Whether the target receives no requests except a probe."""
        return self.probe_at < math.inf


@define(eq=False)
class Ejector:
    """Ejects failing targets of one pool and readmits them after a probe.

    Parameters
    ----------
    max_ejected_fraction : float
        Largest fraction of the pool that may be ejected at the same time, rounded
        up to whole targets but never all of them. When more targets fail, the cause
        is probably not the targets, and a target that may fail is better than none.
    jitter : float
        Fraction of the back-off that is added to it. It differs between daemons, so
        that one of them probes first and the others learn of a failed probe.

    Examples
    --------
    >>> ejector = Ejector()
    >>> ejector.set_targets(["a", "b"])
    >>> ejector.record_failure("a", now=1.0), ejector.record_failure("a", now=1.0)
    (False, True)
    >>> ejector.may_probe("a", True, now=2.0), ejector.may_probe("a", True, now=11.0)
    (False, True)
    """

    max_ejected_fraction: float = 0.5
    jitter: float = 0.0
    _records: dict[str, FailureRecord] = field(factory=dict)
    # Boot time of the last failure of each target that another daemon has ejected,
    # by daemon.
    _remote_failures: dict[str, dict[str, float]] = field(factory=dict)

    def set_targets(self, targets: list[str]) -> None:
        """Set the targets of the pool; records of other targets are dropped."""
        self._records = {t: self._records.get(t) or FailureRecord() for t in targets}
        # A smaller pool may exceed the ejection limit: readmit the targets that were
        # ejected first.
        ejected = [record for record in self._records.values() if record.ejected]
        ejected.sort(key=lambda record: record.ejected_at)
        for record in ejected[: max(0, len(ejected) - self._max_ejected)]:
            _readmit(record)

    def forget(self, target: str, now: float) -> None:
        """Start anew for a target whose id another process has taken.

        Parameters
        ----------
        target : str
            Id of the target.
        now : float
            Boot time; earlier failures that other daemons report do not count.
        """
        if target in self._records:
            self._records[target] = FailureRecord(succeeded_at=now)

    def record(self, target: str) -> FailureRecord:
        """Return the failure record of a target."""
        return self._records.get(target) or FailureRecord()

    @property
    def ejected(self) -> tuple[str, ...]:
        """Ids of the ejected targets."""
        return tuple(t for t, record in self._records.items() if record.ejected)

    def ejection_ages(self, now: float) -> dict[str, float]:
        """Return the seconds since the last failure of each ejected target."""
        records = self._records.items()
        return {t: now - r.ejected_at for t, r in records if r.ejected}

    def update_remote_ejections(
        self, daemon: str, ages: Mapping[str, float], now: float
    ) -> None:
        """Replace what another daemon reported by its newest ``ejection_ages``."""
        self._remote_failures[daemon] = {
            target: now - age for target, age in ages.items()
        }

    def apply_remote_ejections(self, now: float) -> list[str]:
        """Eject the targets that enough other daemons have ejected, and return them."""
        ejected = []
        for target, record in self._records.items():
            times = self._remote_failure_times(
                target, record, now - REMOTE_EJECTION_LIFETIME_S
            )
            if (
                len(times) >= MIN_REPORTING_DAEMONS
                and not record.ejected
                and self._can_eject
            ):
                self._eject(record, max(times))
                ejected.append(target)
        return ejected

    def record_success(self, target: str, now: float, probe: bool = False) -> bool:
        """Record a success; return whether it readmitted the target."""
        record = self._records.get(target)
        if record is None:
            return False
        record.consecutive_failures = 0
        record.succeeded_at = now
        record.error_rate *= 1.0 - RATE_SMOOTHING
        if record.ejected and probe:
            _readmit(record)
            return True
        if not record.ejected and record.error_rate < ERROR_RATE_THRESHOLD / 10:
            record.ejection_count = 0
        return False

    def record_failure(self, target: str, now: float, probe: bool = False) -> bool:
        """Record a failure; return whether it ejected the target."""
        record = self._records.get(target)
        if record is None:
            return False
        record.consecutive_failures += 1
        record.error_rate += RATE_SMOOTHING * (1.0 - record.error_rate)
        if record.ejected:
            # Requests that started before the ejection give no new information.
            if probe:
                self._eject(record, now)
            return False
        remote_times = self._remote_failure_times(
            target, record, now - REMOTE_EJECTION_LIFETIME_S
        )
        needed = 1 if remote_times else FAILURE_THRESHOLD
        is_failing = record.consecutive_failures >= needed
        if (
            is_failing or record.error_rate >= ERROR_RATE_THRESHOLD
        ) and self._can_eject:
            self._eject(record, now)
            return True
        return False

    def may_probe(self, target: str, restartable: bool, now: float) -> bool:
        """Whether a request may be the probe of an ejected target."""
        record = self._records[target]
        if not record.ejected or record.probe_running:
            return False
        due = record.probe_at
        # A failed probe of another daemon postpones the probe of this one.
        remote_times = self._remote_failure_times(target, record, record.ejected_at)
        if remote_times:
            due = max(due, max(remote_times) + due - record.ejected_at)
        if not restartable:
            due += (NON_RESTARTABLE_PROBE_FACTOR - 1.0) * (due - record.ejected_at)
        return now >= due

    def probe_started(self, target: str) -> None:
        """Record that a probe of a target has started."""
        self._records[target].probe_running = True

    def probe_cancelled(self, target: str) -> None:
        """Record that a probe ended without a result."""
        if target in self._records:
            self._records[target].probe_running = False

    @property
    def _max_ejected(self) -> int:
        return min(
            math.ceil(self.max_ejected_fraction * len(self._records)),
            len(self._records) - 1,
        )

    @property
    def _can_eject(self) -> bool:
        return len(self.ejected) < self._max_ejected

    def _remote_failure_times(
        self, target: str, record: FailureRecord, since: float
    ) -> list[float]:
        """Return the times at which daemons that ejected a target last saw it fail.

        Times before ``since`` or before this daemon's last success are left out.
        """
        since = max(since, record.succeeded_at)
        times = [
            reported.get(target, -math.inf)
            for reported in self._remote_failures.values()
        ]
        return [at for at in times if at > since]

    def _eject(self, record: FailureRecord, now: float) -> None:
        back_off_s = min(
            MAX_BACK_OFF_S, INITIAL_BACK_OFF_S * 2.0**record.ejection_count
        )
        back_off_s *= 1.0 + self.jitter
        record.ejection_count += 1
        record.ejected_at = now
        record.probe_at = now + back_off_s
        record.probe_running = False


def _readmit(record: FailureRecord) -> None:
    record.consecutive_failures = 0
    record.error_rate = 0.0
    record.probe_at = math.inf
    record.probe_running = False
