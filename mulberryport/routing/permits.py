"""Schedule of the permits to send requests to targets that name a rate limit.

The generic cell rate algorithm (ITU-T I.371): each permit reserves the next free slot
of its target, and slots are apart by the inverse of the limit. Slots that were not used
are kept for a burst.
"""

from attrs import define, field, frozen

__all__ = [
    "COLD_PERMIT_LIFETIME_S",
    "COLD_RATE_FRACTION",
    "MAX_PERMIT_WAIT_S",
    "PERMIT_LIFETIME_S",
    "PermitSchedule",
    "Reservation",
]

# Longest time for which a request for a permit waits for its slot. Slots further ahead
# are not reserved, since their requests may have gone elsewhere by then.
MAX_PERMIT_WAIT_S = 0.5
# A permit that is not used within this time expires, so that permits of idle daemons
# do not add up.
PERMIT_LIFETIME_S = 0.5
# A cold target crashes if it gets half as much again as its rate within a second. Three
# issuers that do not know of each other, two at this part of the rate and a deputy at
# half of it, stay below that if permits are used soon and no burst is kept.
COLD_RATE_FRACTION = 0.5
COLD_PERMIT_LIFETIME_S = 0.2
# Permits that a target without requests accumulates, for requests that come together.
BURST_PERMITS = 3
# Targets above which those without recent requests are forgotten.
MAX_TARGETS = 4096
# A target that takes no requests at all still gets one now and then, since only a
# response shows that the limit has ended.
MIN_REQUESTS_PER_S = 0.2


@frozen
class Reservation:
    """The decision on a request for a permit.

    Parameters
    ----------
    is_granted : bool
        Whether the permit may be used after ``wait_s``.
    wait_s : float
        Seconds until the permit may be used or, if it was not granted, until the next
        request for one has a chance.
    """

    is_granted: bool
    wait_s: float


@define(eq=False)
class PermitSchedule:
    """The next free slot of each target that names a rate limit.

    A target that is new here gets its first permit only after a whole interval, since
    another daemon may have issued the previous one just before.

    Examples
    --------
    >>> schedule = PermitSchedule()
    >>> schedule.reserve("t", requests_per_s=4.0, now=10.0)
    Reservation(is_granted=True, wait_s=0.25)
    >>> schedule.reserve("t", requests_per_s=4.0, now=10.0)
    Reservation(is_granted=True, wait_s=0.5)
    >>> schedule.reserve("t", requests_per_s=4.0, now=10.0)
    Reservation(is_granted=False, wait_s=0.25)
    """

    # Boot time at which each target's last reservation would be used without bursts.
    _theoretical_slots: dict[str, float] = field(factory=dict)

    def reserve(
        self,
        target: str,
        requests_per_s: float,
        now: float,
        burst_permits: int = BURST_PERMITS,
    ) -> Reservation:
        """Reserve the next slot of a target, if it is near enough.

        Parameters
        ----------
        target : str
            Id of the target.
        requests_per_s : float
            Rate at which this schedule issues permits for it.
        now : float
            Boot time.
        burst_permits : int
            Permits that a target without requests accumulates, at least 1.
        """
        if len(self._theoretical_slots) > MAX_TARGETS:
            self._forget_idle(now)
        interval_s = 1.0 / max(MIN_REQUESTS_PER_S, requests_per_s)
        burst_s = (burst_permits - 1) * interval_s
        first_slot = now + burst_s + interval_s
        theoretical_slot = self._theoretical_slots.get(target, first_slot)
        # After a rise of the limit, slots at the lower rate are not waited for.
        latest_slot = now + MAX_PERMIT_WAIT_S + burst_s + interval_s
        theoretical_slot = max(now, min(theoretical_slot, latest_slot))
        wait_s = max(0.0, theoretical_slot - burst_s - now)
        if wait_s > MAX_PERMIT_WAIT_S:
            self._theoretical_slots[target] = theoretical_slot
            return Reservation(False, wait_s - MAX_PERMIT_WAIT_S)
        self._theoretical_slots[target] = theoretical_slot + interval_s
        return Reservation(True, wait_s)

    def _forget_idle(self, now: float) -> None:
        self._theoretical_slots = {
            target: slot
            for target, slot in self._theoretical_slots.items()
            if slot > now
        }

    def forget(self, target: str) -> None:
        """Remove a target whose limit has ended."""
        self._theoretical_slots.pop(target, None)
