"""The time of day as most daemons see it.

The clock of one VM may be wrong or jump. Each heartbeat carries the sender's time of
day; the median over the fleet, as offsets from this VM's steady clock, is not moved by
a minority of wrong clocks.
"""

import statistics
from collections.abc import Callable

from attrs import define, field

from ..runtime.clock import boottime, wall_time

__all__ = ["FleetClock"]

# Ten heartbeats; older offsets may come from before a jump of the sender's clock.
OFFSET_LIFETIME_S = 10.0


@define(eq=False)
class FleetClock:
    """Median of the times of day in the fleet.

    Parameters
    ----------
    wall, steady : callable
        Time of day and steady time of this VM, in seconds.

    Examples
    --------
    >>> clock = FleetClock(wall=lambda: 107.0, steady=lambda: 1.0)
    >>> clock.heard("vm2", 100.0)
    >>> clock.heard("vm3", 100.2)
    >>> clock.now()
    100.2
    """

    wall: Callable[[], float] = wall_time
    steady: Callable[[], float] = boottime
    _offsets: dict[str, tuple[float, float]] = field(factory=dict)

    def heard(self, vm: str, wall: float) -> None:
        """Note the time of day that another VM has now."""
        now = self.steady()
        self._offsets[vm] = (now, wall - now)

    def now(self) -> float:
        """Return seconds since 1970."""
        steady = self.steady()
        offsets = [
            offset
            for at, offset in self._offsets.values()
            if steady - at <= OFFSET_LIFETIME_S
        ]
        return steady + statistics.median([self.wall() - steady, *offsets])
