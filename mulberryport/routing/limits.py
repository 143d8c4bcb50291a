"""The concurrency limit of a target, which follows its latency."""

import math

from attrs import define

from .model import LoadReport

__all__ = ["ConcurrencyLimit"]

DECREASE = 0.85
# Recent latency this many times the usual one is a sign of congestion. Single
# samples are not, since a warm prefix alone changes them several times over.
TOLERANCE = 6.0
RECENT_RATE = 0.1
# The usual latency falls quickly and rises slowly, so that a long overload does
# not become the usual state.
BASELINE_FALL = 0.05
BASELINE_RISE = 0.005
# A part of the capacity may wait in the target, so that it never runs dry. It
# lies above the slack of the candidates, which is not congestion.
WAITING_SHARE = 0.4
# The shortest time between two decreases; a load report comes once a second.
COOL_DOWN_S = 1.0


@define(eq=False)
class ConcurrencyLimit:
    """Requests of this daemon that may run at one target.

    Additive increase and multiplicative decrease (Chiu and Jain, "Analysis of the
    increase and decrease algorithms for congestion avoidance in computer
    networks", Computer Networks and ISDN Systems 17, 1989), on the ratio of recent
    to usual latency (as TCP Vegas, Brakmo and Peterson, 1995). Daemons that see the
    same congestion converge to equal shares without talking to each other. The
    signs of congestion are latency, which every sender sees, and requests that
    wait in the target according to its load report, whoever sent them.

    Parameters
    ----------
    ceiling : int
        Largest limit and the first one, from the pool's settings.

    Examples
    --------
    >>> limit = ConcurrencyLimit(16)
    >>> limit.reported(LoadReport(running=16, waiting=9, capacity=16), now=1.0)
    >>> limit.value
    13
    """

    ceiling: int
    _value: float = math.inf
    _recent: float = 0.0
    _baseline: float = 0.0
    _last_decrease: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Start at the ceiling."""
        self._value = min(self._value, float(self.ceiling))

    @property
    def value(self) -> int:
        """Requests that may run now, from 1 to the ceiling."""
        return int(self._value)

    def use_ceiling(self, ceiling: int) -> None:
        """Take over a changed setting of the pool."""
        if ceiling != self.ceiling:
            raised = self._value >= self.ceiling and ceiling > self.ceiling
            self.ceiling = ceiling
            self._value = float(ceiling) if raised else min(self._value, ceiling)

    def succeeded(self, latency: float | None, in_flight: int, now: float) -> None:
        """Adapt to an answer.

        Parameters
        ----------
        latency : float or None
            Seconds until the first byte, None if it was not measured.
        in_flight : int
            Requests that ran there, including this one.
        now : float
            Boot time.
        """
        if latency is not None and self._is_congested(latency):
            self._decrease(now)
        elif in_flight * 2 > self._value:
            # An unused limit says nothing about what the target can take.
            self._value = min(self.ceiling, self._value + 1.0 / self._value)

    def failed(self, now: float) -> None:
        """Adapt to a failure, which overload may have caused."""
        self._decrease(now)

    def reported(self, report: LoadReport, now: float) -> None:
        """Adapt to a new load report."""
        if report.waiting > max(1.0, WAITING_SHARE * report.capacity):
            self._decrease(now)

    def _is_congested(self, latency: float) -> bool:
        if not self._baseline:
            self._baseline = self._recent = latency
        self._recent += RECENT_RATE * (latency - self._recent)
        rate = BASELINE_FALL if self._recent < self._baseline else BASELINE_RISE
        self._baseline += rate * (self._recent - self._baseline)
        return self._recent > TOLERANCE * self._baseline

    def _decrease(self, now: float) -> None:
        if now - self._last_decrease >= COOL_DOWN_S:
            self._value = max(1.0, self._value * DECREASE)
            self._last_decrease = now
