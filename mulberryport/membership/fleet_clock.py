"""Fleet-wide time of day: the median of the clocks of all daemons.

The clock of one VM may be wrong or jump. Each heartbeat carries the sender's time of
day. The median over the fleet, computed from offsets to this VM's monotonic clock, is
not affected by a minority of wrong clocks.
"""

import statistics
from collections.abc import Callable

from attrs import define, field

from ..runtime.clock import boottime, wall_time

__all__ = ["FleetClock"]

# Ten heartbeat periods; older offsets may predate a jump of the sender's clock.
OFFSET_LIFETIME_S = 10.0


@define(eq=False)
class FleetClock:
    """Clock that returns the median time of day of the fleet.

    Parameters
    ----------
    wall, steady : callable
        Time of day and monotonic time of this VM, in seconds.

    Examples
    --------
    >>> clock = FleetClock(wall=lambda: 107.0, steady=lambda: 1.0)
    >>> clock.add_sample("vm2", 100.0)
    >>> clock.add_sample("vm3", 100.2)
    >>> clock.now()
    100.2
    """

    wall: Callable[[], float] = wall_time
    steady: Callable[[], float] = boottime
    _offsets: dict[str, tuple[float, float]] = field(factory=dict)

    def add_sample(self, vm: str, wall: float) -> None:
        """Record the current time of day of another VM."""
        now = self.steady()
        self._offsets[vm] = (now, wall - now)

    def now(self) -> float:
        """Return the median time of day in seconds since 1970."""
        steady = self.steady()
        offsets = [
            offset
            for sampled_at, offset in self._offsets.values()
            if steady - sampled_at <= OFFSET_LIFETIME_S
        ]
        return steady + statistics.median([self.wall() - steady, *offsets])
