"""Targets that are cold: they have just started, and crash if they get many requests.

A target says for how long it is cold. News of that is late after a restart, so a target
that failed a request, or whose zone was evacuated, counts as cold until its
registration would have said so.
"""

from collections.abc import Callable, Collection, Iterator

from attrs import define, evolve, field, frozen

from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["ColdPhase", "ColdTargets"]

TARGET_COLD = define_event(
    808,
    "target_cold",
    "info",
    "A target is cold, or may be, and gets only the requests that it takes meanwhile.",
)

# Longer phases than this are not believed.
MAX_COLD_S = 600.0
MAX_PHASES = 4096
# A target writes its registration every 1.2 s, and a change reaches all daemons within
# another second.
NEWS_DELAY_S = 2.5


@frozen
class ColdPhase:
    """For how long a target is cold.

    Parameters
    ----------
    pool : str
        Pool of the target, which says how many requests it takes meanwhile.
    reported_until : float
        Boot time until which the target is cold by its own account.
    suspected_until : float
        Boot time until which it may be cold without having said so.
    """

    pool: str
    reported_until: float = 0.0
    suspected_until: float = 0.0

    @property
    def until(self) -> float:
        """Boot time until which the target counts as cold."""
        return max(self.reported_until, self.suspected_until)


@define(eq=False)
class ColdTargets:
    """Cold phases of the targets, as known to this daemon.

    Parameters
    ----------
    cold_rate_of : callable
        Returns the requests per second that a cold target of a pool takes from all
        daemons together, and the seconds for which a target is cold after its start;
        None if targets of the pool are never cold.
    """

    cold_rate_of: Callable[[str], tuple[float, float] | None] = lambda pool: None
    _phases: dict[str, ColdPhase] = field(factory=dict)

    def record_report(self, target: str, pool: str, cold_s: float) -> None:
        """Record for how much longer a target is cold by its own account.

        Parameters
        ----------
        target, pool : str
            The target and its pool.
        cold_s : float
            Seconds; 0 if it is not cold.
        """
        until = boottime() + min(cold_s, MAX_COLD_S)
        phase = self._phases.get(target)
        if phase is None and not cold_s:
            return
        known = phase or ColdPhase(pool)
        self._set(target, evolve(known, pool=pool, reported_until=until))

    def suspect(self, target: str, pool: str) -> None:
        """Count a target as cold that may have restarted, or rested, without news."""
        terms = self.cold_rate_of(pool)
        if terms is None:
            return
        _, cold_s = terms
        self._extend(target, pool, cold_s + NEWS_DELAY_S)

    def extend(self, target: str, pool: str, cold_s: float) -> None:
        """Count a target as cold for at least some seconds, as a peer says.

        The pool of a target that is known stays as its registration said. A figure that
        is too large counts as the longest suspicion: peers repeat what lasts longer.
        """
        if not 0.0 < cold_s <= MAX_COLD_S:
            return
        known = self._phases.get(target)
        pool = known.pool if known else pool
        terms = self.cold_rate_of(pool)
        if terms is not None:
            cold_s = min(cold_s, terms[1] + NEWS_DELAY_S)
        self._extend(target, pool, cold_s)

    def rate(self, target: str) -> float | None:
        """Return the requests per second that a target takes; None if not cold."""
        phase = self.phase(target)
        if phase is None:
            return None
        terms = self.cold_rate_of(phase.pool)
        return terms[0] if terms else None

    def phase(self, target: str) -> ColdPhase | None:
        """Return the phase of a target that is cold now."""
        phase = self._phases.get(target)
        return phase if phase is not None and phase.until > boottime() else None

    def current(self) -> Iterator[tuple[str, ColdPhase]]:
        """Yield the targets that are cold now, and their phases."""
        now = boottime()
        return ((t, phase) for t, phase in self._phases.items() if phase.until > now)

    def remove_outdated(self, listed: Collection[str]) -> None:
        """Remove phases that have ended of targets that are not listed."""
        now = boottime()
        self._phases = {
            target: phase
            for target, phase in self._phases.items()
            if phase.until > now or target in listed
        }

    def _extend(self, target: str, pool: str, cold_s: float) -> None:
        known = self._phases.get(target) or ColdPhase(pool)
        until = max(known.suspected_until, boottime() + cold_s)
        self._set(target, evolve(known, pool=pool, suspected_until=until))

    def _set(self, target: str, phase: ColdPhase) -> None:
        was_cold = self.rate(target) is not None
        if target not in self._phases and len(self._phases) >= MAX_PHASES:
            del self._phases[min(self._phases, key=lambda t: self._phases[t].until)]
        self._phases[target] = phase
        rate = self.rate(target)
        if rate is not None and not was_cold:
            log(
                TARGET_COLD,
                target=target,
                requests_per_s=rate,
                cold_s=round(phase.until - boottime(), 3),
                is_reported=phase.reported_until >= phase.suspected_until,
            )
