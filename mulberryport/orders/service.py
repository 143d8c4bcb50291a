"""Orders of targets: one holder for each zone declares what is wanted there."""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..leases import LEASE_TTL_S, Duty, DutyKeeper, LeaseLostError
from ..outcomes import Done
from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..store import StoreClient
from ..targets import TargetDirectory
from ..targets.orders_client import TargetOrder, read_order, send_order
from ..telemetry import define as define_event
from ..telemetry import log
from .intent import Intent, claim_intent, write_intent
from .plan import Planner
from .sizing import Wanted

__all__ = ["ORDER_LIFETIME_S", "SUCCESSOR_WAIT_S", "OrderService"]

ORDER_DECLARED = define_event(
    820, "order_declared", "info", "The wanted targets of a zone were declared."
)
ORDER_CONFIRMED = define_event(
    821, "order_confirmed", "info", "The platform follows an order for targets."
)
ORDER_REFUSED = define_event(
    822, "order_refused", "warning", "The platform refused an order for targets."
)
ORDER_IN_DOUBT = define_event(
    823,
    "order_in_doubt",
    "warning",
    "It is not known whether the platform follows an order; sizes stay as they are.",
)

ORDER_LIFETIME_S = 5.0
# The call ends within the part of the lease that is left between two renewals.
ORDER_TIMEOUT_S = 2.0
# An order of the former holder can take effect until its lease and then the
# lifetime of the order have passed.
SUCCESSOR_WAIT_S = LEASE_TTL_S + ORDER_LIFETIME_S
READ_BACK_PERIOD_S = 10.0
# An older list of VMs does not show what earlier orders did.
MAX_LIST_AGE_S = 10.0


@define(eq=False)
class ZoneOrders:
    """What this daemon knows as holder of one zone's duty.

    Parameters
    ----------
    duty : Duty
        The duty of the zone.
    intent : Intent or None
        The declared state, None until this holder has claimed it.
    confirmed : set of str
        Pools whose order the platform is known to follow.
    """

    duty: Duty
    term: int = 0
    intent: Intent | None = None
    confirmed: set[str] = field(factory=set)
    read_back_at: float = float("-inf")

    def reset(self) -> None:
        """Forget everything; it is claimed and read back again."""
        self.intent = None
        self.confirmed = set()


@define(eq=False)
class OrderService:
    """Gives the orders of the zones whose duty this daemon holds.

    Parameters
    ----------
    url : str
        Base URL of the platform's interface.
    checks_fencing : bool
        Whether the platform refuses orders with an old fencing number.
    """

    store: StoreClient
    keeper: DutyKeeper
    directory: TargetDirectory
    planner: Planner
    url: str
    checks_fencing: bool = False
    _zones: dict[str, ZoneOrders] = field(factory=dict)

    def turn(self) -> None:
        """Contend for the zones of the pool table and act where the duty is held."""
        zones = {zone for pool in self.directory.pools() for zone in pool.zones}
        # Targets of a pool that was removed are ordered down, by whichever daemon.
        for zone in zones | self.directory.listed_zones:
            if zone not in self._zones:
                duty = self.keeper.duty(f"orders/{zone}")
                self._zones[zone] = ZoneOrders(duty)
        running = eventlet.GreenPool(max(1, len(self._zones)))
        for zone in self._zones:
            running.spawn_n(self._guarded, self._turn, zone)
        running.waitall()

    def state(self) -> dict[str, object]:
        """Return what is declared in the zones whose duty is held, for operators."""
        return {
            zone: {
                pool: {
                    "on_demand": wanted.on_demand,
                    "cheap": wanted.cheap,
                    "confirmed": pool in orders.confirmed,
                }
                for pool, wanted in orders.intent.wanted.items()
            }
            for zone, orders in self._zones.items()
            if orders.intent is not None
        }

    def _guarded(self, act: Callable[[str], None], zone: str) -> None:
        try:
            act(zone)
        except LeaseLostError:
            self._zones[zone].reset()

    def _turn(self, zone: str) -> None:
        orders = self._zones[zone]
        if not orders.duty.held:
            orders.reset()
            return
        if orders.term != orders.duty.fencing:
            orders.term = orders.duty.fencing
            orders.reset()
            self.planner.forget()
        if not self.checks_fencing and orders.duty.held_for < SUCCESSOR_WAIT_S:
            return
        if orders.intent is None:
            orders.confirmed = set()
            orders.intent = claim_intent(self.store, orders.duty, zone)
            if orders.intent is None:
                return
        self._declare(zone, orders)
        if boottime() - orders.read_back_at >= READ_BACK_PERIOD_S:
            orders.read_back_at = boottime()
            self._read_back(zone, orders)
        if orders.intent is not None:
            for pool in sorted(orders.intent.wanted.keys() - orders.confirmed):
                self._order(zone, pool, orders, orders.intent)

    def _declare(self, zone: str, orders: ZoneOrders) -> None:
        """Write a new intent if another size is wanted and nothing is in doubt."""
        intent = orders.intent
        assert intent is not None
        if intent.wanted.keys() - orders.confirmed:
            return
        if self.directory.vm_list_age_s > MAX_LIST_AGE_S:
            return
        wanted = dict(intent.wanted)
        for name, counts in intent.wanted.items():
            pool = self.directory.pool(name)
            if pool is None or zone not in pool.zones:
                if counts.total == 0:
                    del wanted[name]
                else:
                    wanted[name] = Wanted(0, 0)
        for pool in self.directory.pools():
            if zone in pool.zones:
                planned = self.planner.wanted(pool, zone, intent.wanted.get(pool.name))
                if planned is not None:
                    wanted[pool.name] = planned
        if wanted == intent.wanted:
            return
        orders.intent = write_intent(self.store, orders.duty, intent, wanted)
        if orders.intent is not None:
            orders.confirmed = {
                pool for pool in wanted if intent.wanted.get(pool) == wanted[pool]
            }
            counts = {pool: [w.on_demand, w.cheap] for pool, w in wanted.items()}
            log(ORDER_DECLARED, order_zone=zone, wanted=counts)

    def _read_back(self, zone: str, orders: ZoneOrders) -> None:
        """Compare what the platform follows with what is declared."""
        if orders.intent is None:
            return
        for pool in list(orders.confirmed):
            outcome = read_order(self.url, zone, pool, ORDER_TIMEOUT_S)
            if isinstance(outcome, Done) and not self._follows(
                outcome.value, orders.intent.wanted.get(pool)
            ):
                orders.confirmed.discard(pool)

    @staticmethod
    def _follows(placed: object, wanted: Wanted | None) -> bool:
        counts = (getattr(placed, "on_demand", 0), getattr(placed, "cheap", 0))
        return wanted is None or counts == (wanted.on_demand, wanted.cheap)

    def _order(self, zone: str, pool: str, orders: ZoneOrders, intent: Intent) -> None:
        """Order what is declared, after a look at what the platform follows."""
        placed = read_order(self.url, zone, pool, ORDER_TIMEOUT_S)
        if not isinstance(placed, Done):
            return
        duty, wanted = orders.duty, intent.wanted[pool]
        if placed.value is not None and placed.value.order_id == intent.order_id:
            orders.confirmed.add(pool)
            return
        require(
            intent.fencing == duty.fencing and orders.intent is intent,
            "orders_follow_the_intent",
            order=intent.order_id,
            fencing=duty.fencing,
        )
        order = TargetOrder(
            zone=zone,
            pool=pool,
            on_demand=wanted.on_demand,
            cheap=wanted.cheap,
            order_id=intent.order_id,
            fencing=duty.fencing,
        )
        outcome = send_order(
            self.url,
            order,
            guard=lambda: duty.guard(ORDER_TIMEOUT_S),
            lifetime=ORDER_LIFETIME_S,
            timeout=ORDER_TIMEOUT_S,
        )
        if not isinstance(outcome, Done):
            log(ORDER_IN_DOUBT, order=order.order_id, reason=outcome.reason)
        elif outcome.value:
            orders.confirmed.add(pool)
            log(ORDER_CONFIRMED, order=order.order_id, pool=pool)
        else:
            log(ORDER_REFUSED, order=order.order_id, pool=pool)
