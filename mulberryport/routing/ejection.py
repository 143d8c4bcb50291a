"""Ejection of failing targets and their way back."""

import math
from collections.abc import Mapping

from attrs import define, field

__all__ = ["Ejector", "Record"]

CONSECUTIVE_FAILURES = 2
# A target that fails half of its requests is ejected too; the rate is a moving
# average over about 20 requests.
ERROR_RATE = 0.5
RATE_SMOOTHING = 0.05
BACK_OFF_S = 10.0
LONGEST_BACK_OFF_S = 60.0
# Work that cannot be restarted is used as a probe only if none that can came
# for this many times the back-off.
UNSAFE_PROBE_FACTOR = 2.0
# Other daemons that must have ejected a target before this one does so without a
# failure of its own; a single one may have lost its own way to the target.
WITNESSES = 2
# Their news leads to ejections for as long as a first ejection lasts.
NEWS_LIFETIME_S = 10.0


@define(eq=False)
class Record:
    """Successes and failures of one target.

    Parameters
    ----------
    consecutive : int
        Failures since the last success.
    error_rate : float
        Moving average, 0 to 1.
    ejections : int
        Ejections since the last readmission that lasted.
    ejected_at, probe_at : float
        Boot times; ``probe_at`` is infinite while it is not ejected.
    probing : bool
        Whether the probe request runs.
    succeeded_at : float
        Boot time of the last success.
    """

    consecutive: int = 0
    error_rate: float = 0.0
    ejections: int = 0
    ejected_at: float = -math.inf
    probe_at: float = math.inf
    probing: bool = False
    succeeded_at: float = -math.inf

    @property
    def ejected(self) -> bool:
        """Whether it gets no work but a probe."""
        return self.probe_at < math.inf


@define(eq=False)
class Ejector:
    """Decides which targets of a pool are out because they fail.

    Parameters
    ----------
    cap : float
        Largest part of the pool that may be ejected at the same time, rounded up
        to whole targets but never all of them. When more of it fails the cause
        is likely not the targets, and a target that may fail is better than none.
    jitter : float
        Part of the back-off that is added, different in each daemon, so that one
        of them probes first and the others hear of a failure.

    Examples
    --------
    >>> ejector = Ejector()
    >>> ejector.use_targets(["a", "b"])
    >>> ejector.failed("a", now=1.0), ejector.failed("a", now=1.0)
    (False, True)
    >>> ejector.may_probe("a", True, now=2.0), ejector.may_probe("a", True, now=11.0)
    (False, True)
    """

    cap: float = 0.5
    jitter: float = 0.0
    _records: dict[str, Record] = field(factory=dict)
    # Newest ejection of a target by each other daemon that told of it.
    _told: dict[str, dict[str, float]] = field(factory=dict)

    def use_targets(self, targets: list[str]) -> None:
        """Keep the records of these targets only."""
        self._records = {t: self._records.get(t) or Record() for t in targets}
        # A smaller pool may have too many out; those out longest come back.
        out = [record for record in self._records.values() if record.ejected]
        out.sort(key=lambda record: record.ejected_at)
        for record in out[: max(0, len(out) - self._allowed)]:
            _readmit(record)

    def record(self, target: str) -> Record:
        """Return the record of a target."""
        return self._records.get(target) or Record()

    @property
    def ejected(self) -> tuple[str, ...]:
        """Targets that are out."""
        return tuple(t for t, record in self._records.items() if record.ejected)

    def news(self, now: float) -> dict[str, float]:
        """Return the seconds since each target that is out failed last."""
        records = self._records.items()
        return {t: now - r.ejected_at for t, r in records if r.ejected}

    def use_news(self, daemon: str, news: Mapping[str, float], now: float) -> None:
        """Take over the news of another daemon, which replaces its former news."""
        self._told[daemon] = {target: now - age for target, age in news.items()}

    def adopt(self, now: float) -> list[str]:
        """Eject and return targets that enough other daemons have ejected."""
        adopted = []
        for target, record in self._records.items():
            told = self._newest(target, record, now - NEWS_LIFETIME_S)
            if len(told) >= WITNESSES and not record.ejected and self._room:
                self._eject(record, max(told))
                adopted.append(target)
        return adopted

    def succeeded(self, target: str, now: float, probe: bool = False) -> bool:
        """Count a success; return whether it readmitted the target."""
        record = self._records.get(target)
        if record is None:
            return False
        record.consecutive = 0
        record.succeeded_at = now
        record.error_rate *= 1.0 - RATE_SMOOTHING
        if record.ejected and probe:
            _readmit(record)
            return True
        if not record.ejected and record.error_rate < ERROR_RATE / 10:
            record.ejections = 0
        return False

    def failed(self, target: str, now: float, probe: bool = False) -> bool:
        """Count a failure; return whether it ejected the target."""
        record = self._records.get(target)
        if record is None:
            return False
        record.consecutive += 1
        record.error_rate += RATE_SMOOTHING * (1.0 - record.error_rate)
        if record.ejected:
            # Requests from before the ejection say nothing new.
            if probe:
                self._eject(record, now)
            return False
        told = self._newest(target, record, now - NEWS_LIFETIME_S)
        needed = 1 if told else CONSECUTIVE_FAILURES
        failing = record.consecutive >= needed
        if (failing or record.error_rate >= ERROR_RATE) and self._room:
            self._eject(record, now)
            return True
        return False

    def may_probe(self, target: str, restartable: bool, now: float) -> bool:
        """Whether a request may be the probe of an ejected target."""
        record = self._records[target]
        if not record.ejected or record.probing:
            return False
        due = record.probe_at
        # A probe that failed elsewhere puts off the one here.
        told = self._newest(target, record, record.ejected_at)
        if told:
            due = max(due, max(told) + due - record.ejected_at)
        if not restartable:
            due += (UNSAFE_PROBE_FACTOR - 1.0) * (due - record.ejected_at)
        return now >= due

    def probe_started(self, target: str) -> None:
        """Note that the probe of a target runs."""
        self._records[target].probing = True

    def probe_cancelled(self, target: str) -> None:
        """Note that the probe ended without a result."""
        if target in self._records:
            self._records[target].probing = False

    @property
    def _allowed(self) -> int:
        return min(math.ceil(self.cap * len(self._records)), len(self._records) - 1)

    @property
    def _room(self) -> bool:
        return len(self.ejected) < self._allowed

    def _newest(self, target: str, record: Record, since: float) -> list[float]:
        """Return when others ejected a target, after a time and a success here."""
        since = max(since, record.succeeded_at)
        times = [told.get(target, -math.inf) for told in self._told.values()]
        return [at for at in times if at > since]

    def _eject(self, record: Record, now: float) -> None:
        back_off = min(LONGEST_BACK_OFF_S, BACK_OFF_S * 2.0**record.ejections)
        back_off *= 1.0 + self.jitter
        record.ejections += 1
        record.ejected_at = now
        record.probe_at = now + back_off
        record.probing = False


def _readmit(record: Record) -> None:
    record.consecutive = 0
    record.error_rate = 0.0
    record.probe_at = math.inf
    record.probing = False
