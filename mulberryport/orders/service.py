"""Target orders: the lease holder of each zone declares and orders its targets."""

from collections.abc import Callable

import eventlet
from attrs import define, field

from ..leases import LEASE_TTL_S, Duty, DutyManager, LeaseLostError
from ..outcomes import Done
from ..runtime.clock import boottime
from ..runtime.invariants import require
from ..store import StoreClient
from ..targets import TargetDirectory
from ..targets.orders_client import TargetOrder, read_order, send_order
from ..telemetry import define as define_event
from ..telemetry import log
from .intent import Intent, claim_intent, write_intent
from .plan import CapacityPlanner
from .sizing import TargetCounts

__all__ = ["ORDER_LIFETIME_S", "TAKEOVER_DELAY_S", "OrderService"]

ORDER_DECLARED = define_event(
    820, "order_declared", "info", "The desired target counts of a zone were declared."
)
ORDER_CONFIRMED = define_event(
    821, "order_confirmed", "info", "The platform confirmed an order for targets."
)
ORDER_REFUSED = define_event(
    822, "order_refused", "warning", "The platform rejected an order for targets."
)
ORDER_IN_DOUBT = define_event(
    823,
    "order_in_doubt",
    "warning",
    "The platform may or may not have applied an order; sizes stay unchanged.",
)

ORDER_LIFETIME_S = 5.0
# A call must end within the part of the lease that remains between two renewals.
ORDER_TIMEOUT_S = 2.0
# An order of the previous holder can take effect until its lease has expired and the
# lifetime of the order has passed after that.
TAKEOVER_DELAY_S = LEASE_TTL_S + ORDER_LIFETIME_S
READ_BACK_PERIOD_S = 10.0
# An older list of VMs does not show the effect of earlier orders.
MAX_LIST_AGE_S = 10.0


@define(eq=False)
class ZoneOrderState:
    """State that this daemon keeps as holder of the duty of one zone.

    Parameters
    ----------
    duty : Duty
        Leased duty of the zone.
    last_fencing : int
        Fencing number under which this state was collected.
    intent : Intent or None
        Declared state; None until this holder has claimed it.
    confirmed_pools : set of str
        Pools whose order the platform is known to have applied.
    """

    duty: Duty
    last_fencing: int = 0
    intent: Intent | None = None
    confirmed_pools: set[str] = field(factory=set)
    read_back_at: float = float("-inf")

    def reset(self) -> None:
        """Discard the state; it is claimed and verified again."""
        self.intent = None
        self.confirmed_pools = set()


@define(eq=False)
class OrderService:
    """Places the target orders of the zones whose duty this daemon holds.

    Parameters
    ----------
    url : str
        Base URL of the platform's API.
    checks_fencing : bool
        Whether the platform rejects orders with an outdated fencing number.
    """

    store: StoreClient
    duty_manager: DutyManager
    directory: TargetDirectory
    planner: CapacityPlanner
    url: str
    checks_fencing: bool = False
    _zone_states: dict[str, ZoneOrderState] = field(factory=dict)

    def reconcile(self) -> None:
        """Contend for the duties of all zones and reconcile the zones that are held.

        Nothing is done before a configuration was read: all pools would look removed.
        """
        if not self.directory.is_configured:
            return
        zones = {zone for pool in self.directory.pools() for zone in pool.zones}
        # Any daemon may scale the remaining targets of a removed pool to zero, so zones
        # of listed targets count too.
        for zone in zones | self.directory.listed_zones:
            if zone not in self._zone_states:
                duty = self.duty_manager.contend_for(f"orders/{zone}")
                self._zone_states[zone] = ZoneOrderState(duty)
        workers = eventlet.GreenPool(max(1, len(self._zone_states)))
        for zone in self._zone_states:
            workers.spawn_n(self._reset_on_lease_loss, self._reconcile_zone, zone)
        workers.waitall()

    def state(self) -> dict[str, object]:
        """Return the declared counts of the held zones, for the operator API."""
        return {
            zone: {
                pool: {
                    "on_demand": desired.on_demand,
                    "cheap": desired.cheap,
                    "confirmed": pool in orders.confirmed_pools,
                }
                for pool, desired in orders.intent.desired.items()
            }
            for zone, orders in self._zone_states.items()
            if orders.intent is not None
        }

    def _reset_on_lease_loss(self, action: Callable[[str], None], zone: str) -> None:
        try:
            action(zone)
        except LeaseLostError:
            self._zone_states[zone].reset()

    def _reconcile_zone(self, zone: str) -> None:
        orders = self._zone_states[zone]
        if not orders.duty.is_held:
            orders.reset()
            return
        if orders.last_fencing != orders.duty.fencing:
            orders.last_fencing = orders.duty.fencing
            orders.reset()
            self.planner.reset_sizes()
        if not self.checks_fencing and orders.duty.held_duration_s < TAKEOVER_DELAY_S:
            return
        if orders.intent is None:
            orders.confirmed_pools = set()
            orders.intent = claim_intent(self.store, orders.duty, zone)
            if orders.intent is None:
                return
        self._declare_desired(zone, orders)
        if boottime() - orders.read_back_at >= READ_BACK_PERIOD_S:
            orders.read_back_at = boottime()
            self._verify_confirmed(zone, orders)
        if orders.intent is not None:
            for pool in sorted(orders.intent.desired.keys() - orders.confirmed_pools):
                self._place_order(zone, pool, orders, orders.intent)

    def _declare_desired(self, zone: str, orders: ZoneOrderState) -> None:
        """Write a new intent if counts changed and all orders are confirmed."""
        intent = orders.intent
        assert intent is not None
        if intent.desired.keys() - orders.confirmed_pools:
            return
        if self.directory.vm_list_age_s > MAX_LIST_AGE_S:
            return
        desired = dict(intent.desired)
        for name, counts in intent.desired.items():
            pool = self.directory.pool(name)
            if pool is None or zone not in pool.zones:
                if counts.total == 0:
                    del desired[name]
                else:
                    desired[name] = TargetCounts(0, 0)
        for pool in self.directory.pools():
            if zone in pool.zones:
                planned = self.planner.plan_zone(
                    pool, zone, intent.desired.get(pool.name)
                )
                if planned is not None:
                    desired[pool.name] = planned
        if desired == intent.desired:
            return
        orders.intent = write_intent(self.store, orders.duty, intent, desired)
        if orders.intent is not None:
            orders.confirmed_pools = {
                pool for pool in desired if intent.desired.get(pool) == desired[pool]
            }
            counts = {pool: [w.on_demand, w.cheap] for pool, w in desired.items()}
            log(ORDER_DECLARED, order_zone=zone, wanted=counts)

    def _verify_confirmed(self, zone: str, orders: ZoneOrderState) -> None:
        """Unconfirm the pools whose order on the platform differs from the intent."""
        if orders.intent is None:
            return
        for pool in list(orders.confirmed_pools):
            outcome = read_order(self.url, zone, pool, ORDER_TIMEOUT_S)
            if isinstance(outcome, Done) and not self._matches(
                outcome.value, orders.intent.desired.get(pool)
            ):
                orders.confirmed_pools.discard(pool)

    @staticmethod
    def _matches(current: object, desired: TargetCounts | None) -> bool:
        counts = (getattr(current, "on_demand", 0), getattr(current, "cheap", 0))
        return desired is None or counts == (desired.on_demand, desired.cheap)

    def _place_order(
        self, zone: str, pool: str, orders: ZoneOrderState, intent: Intent
    ) -> None:
        """Send the declared order unless the platform already has it."""
        current = read_order(self.url, zone, pool, ORDER_TIMEOUT_S)
        if not isinstance(current, Done):
            return
        duty, desired = orders.duty, intent.desired[pool]
        if current.value is not None and current.value.order_id == intent.order_id:
            orders.confirmed_pools.add(pool)
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
            on_demand=desired.on_demand,
            cheap=desired.cheap,
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
            orders.confirmed_pools.add(pool)
            log(ORDER_CONFIRMED, order=order.order_id, pool=pool)
        else:
            log(ORDER_REFUSED, order=order.order_id, pool=pool)
