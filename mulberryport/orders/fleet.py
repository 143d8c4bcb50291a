"""Target orders for pools that share one control duty.

``desired_orders`` is the policy; ``FleetOrderSender`` sends the orders that changed.
"""

from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..coordination import SessionDuty
from ..leases import LeaseLostError
from ..outcomes import Done, Outcome, Unknown
from ..runtime.clock import boottime
from ..tables import Pool
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["FleetOrderSender", "ZoneOrder", "desired_orders"]

TARGETS_ORDERED = define_event(
    1220, "targets_ordered", "info", "The number of targets of a zone was ordered."
)
ORDER_REFUSED = define_event(
    1221,
    "target_order_refused",
    "warning",
    "An order for targets was rejected or its outcome is unknown.",
)

RETRY_S = 2.0
# An order without an answer can take effect this long after it was sent, also after
# newer ones.
ORDER_LIFETIME_S = 10.0


@frozen
class ZoneOrder:
    """Desired number of targets of a pool in a zone.

    Parameters
    ----------
    cheap : bool
        Whether the platform may reclaim them at short notice.
    """

    pool: str
    zone: str
    count: int
    cheap: bool = False


def desired_orders(pool: Pool) -> list[ZoneOrder]:
    """Return the desired orders of a pool.

    Only on-demand targets, in all zones, so that the loss of a zone or of the cheap
    targets removes only part of the pool.

    Examples
    --------
    >>> pool = Pool(name="p", kind="model-engine", zones=("a", "b"), maximum=2)
    >>> [(order.zone, order.count) for order in desired_orders(pool)]
    [('a', 2), ('b', 2)]
    """
    if not pool.maximum:
        return []
    return [ZoneOrder(pool.name, zone, pool.maximum) for zone in pool.zones]


@define(eq=False)
class FleetOrderSender:
    """Sends changed orders while this daemon holds the duty.

    Parameters
    ----------
    duty : SessionDuty
        Duty that permits ordering targets.
    pools : callable
        Returns the pools of the pool table.
    send : callable
        Sends an order; its result is false if the platform rejected it.
    """

    duty: SessionDuty
    pools: Callable[[], Iterable[Pool]]
    send: Callable[[ZoneOrder], Outcome[bool]]
    _last_fencing: int = 0
    _sent: dict[tuple[str, str, bool], int] = field(factory=dict)
    _retry_at: dict[tuple[str, str, bool], float] = field(factory=dict)
    # Boot time from which no order without an answer can take effect any more.
    _settled_at: dict[tuple[str, str, bool], float] = field(factory=dict)

    def send_changed_orders(self) -> None:
        """Send the orders that differ from those sent before."""
        if not self.duty.active:
            return
        if self._last_fencing != self.duty.fencing:
            self._last_fencing = self.duty.fencing
            self._sent.clear()
        for pool in self.pools():
            for order in desired_orders(pool):
                key = (order.pool, order.zone, order.cheap)
                due = boottime() >= self._retry_at.get(key, 0.0)
                if due and not self._is_in_force(key, order.count):
                    self._send(key, order)

    def _is_in_force(self, key: tuple[str, str, bool], count: int) -> bool:
        """Whether a count was ordered, and no order sent before can still replace it.

        After an order without an answer, the count is ordered again once that order
        can no longer take effect.
        """
        if self._sent.get(key) != count:
            return False
        settled_at = self._settled_at.get(key)
        return settled_at is None or boottime() < settled_at

    def _send(self, key: tuple[str, str, bool], order: ZoneOrder) -> None:
        is_settled = boottime() >= self._settled_at.get(key, 0.0)
        try:
            outcome = self.send(order)
        except LeaseLostError:
            return
        if isinstance(outcome, Done) and outcome.value:
            self._sent[key] = order.count
            if is_settled:
                self._settled_at.pop(key, None)
            log(TARGETS_ORDERED, pool=order.pool, order_zone=order.zone, n=order.count)
            return
        if isinstance(outcome, Unknown):
            self._settled_at[key] = boottime() + ORDER_LIFETIME_S
        self._retry_at[key] = boottime() + RETRY_S
        reason = "refused" if isinstance(outcome, Done) else outcome.reason
        log(ORDER_REFUSED, pool=order.pool, order_zone=order.zone, reason=reason)
