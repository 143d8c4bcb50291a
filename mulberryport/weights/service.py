"""Service that announces weight versions and orders engines to load them.

Orders to load adapters or to change an engine's role are not supported.
"""

import secrets
import time

import eventlet
from attrs import define, field

from ..leases import LEASE_TTL_S, Duty, DutyManager, LeaseLostError
from ..outcomes import Done, NotDone, Outcome
from ..runtime.clock import boottime
from ..runtime.guarded import call_json_guarded
from ..store import StoreClient
from ..tables import MODEL_ENGINE
from ..targets import TargetDirectory, TargetView
from ..telemetry import define as define_event
from ..telemetry import log
from .announcements import announce, read_announced
from .rolling_update import RollingUpdate

__all__ = ["WeightService"]

VERSION_ORDERED = define_event(
    1001, "version_ordered", "info", "An engine serves the weight version of an order."
)
VERSION_FAILED = define_event(
    1002,
    "version_failed",
    "warning",
    "An engine did not load a version; it keeps its old one until a later attempt.",
)
VERSION_EVERYWHERE = define_event(
    1003,
    "version_everywhere",
    "info",
    "All engines of a pool serve the announced version.",
)

# Maximum time between sending an order and its effect.
ORDER_LIFETIME_S = 5.0
UPDATE_CHECK_PERIOD_S = 0.25


@define(eq=False)
class WeightService:
    """Announces weight versions and orders engines to serve them.

    Parameters
    ----------
    store : StoreClient
        Store of the announcements.
    duty_manager : DutyManager
        Maintains the duty ``weights/<pool>`` of each pool.
    directory : TargetDirectory
        Directory of the engines.
    """

    store: StoreClient
    duty_manager: DutyManager
    directory: TargetDirectory
    _announced_versions: dict[str, int] = field(factory=dict)
    _updates: dict[str, RollingUpdate] = field(factory=dict)
    _updating_pools: set[str] = field(factory=set)

    def announce(self, pool: str, version: int) -> Outcome[int]:
        """Announce a version; one not newer than the announced has no effect."""
        return announce(self.store, pool, version)

    def run_once(self) -> None:
        """Read the announcements of pools whose duty is held, and start updates."""
        for pool in self.directory.pools():
            if pool.kind != MODEL_ENGINE:
                continue
            duty = self.duty_manager.contend_for(f"weights/{pool.name}")
            if not duty.is_held:
                # A later holder rebuilds the update state from load reports.
                self._updates.pop(pool.name, None)
                continue
            announced = read_announced(self.store, pool.name)
            if not isinstance(announced, Done) or not announced.value:
                continue
            self._announced_versions[pool.name] = announced.value
            if pool.name not in self._updating_pools:
                self._updating_pools.add(pool.name)
                eventlet.spawn_n(self._update_pool, pool.name, duty)

    def _update_pool(self, pool: str, duty: Duty) -> None:
        """Run a rolling update until all targets serve the announced version."""
        update = self._updates.setdefault(pool, RollingUpdate())
        ordered = False
        try:
            while duty.is_held:
                version, now = self._announced_versions[pool], boottime()
                views = self._eligible_targets(pool, duty)
                if not update.outdated(views, version, now) and not update.loading:
                    break
                for view in update.start_loads(views, version, now):
                    ordered = True
                    eventlet.spawn_n(self._order_version, update, duty, view, version)
                eventlet.sleep(UPDATE_CHECK_PERIOD_S)
            if ordered and duty.is_held:
                log(
                    VERSION_EVERYWHERE,
                    pool=pool,
                    version=self._announced_versions[pool],
                )
        finally:
            self._updating_pools.discard(pool)

    def _eligible_targets(self, pool: str, duty: Duty) -> list[TargetView]:
        """Return the targets to which orders may be sent.

        Targets that do not check fencing tokens are excluded until no order of the
        previous duty holder can take effect any more.
        """
        previous_orders_expired = duty.held_duration_s >= LEASE_TTL_S + ORDER_LIFETIME_S
        return [
            view
            for view in self.directory.views(pool)
            if view.checks_fencing or previous_orders_expired
        ]

    def _order_version(
        self, update: RollingUpdate, duty: Duty, view: TargetView, version: int
    ) -> None:
        try:
            outcome = send_order(view.address, version, duty)
        except LeaseLostError:
            update.abandon_load(view.id)
            return
        if isinstance(outcome, Done):
            update.record_success(view.id, outcome.value, boottime())
            log(VERSION_ORDERED, target=view.id, version=outcome.value)
        else:
            update.record_failure(view.id, boottime())
            log(VERSION_FAILED, target=view.id, version=version, error=outcome.reason)


def send_order(address: str, version: int, duty: Duty) -> Outcome[int]:
    """Order an engine to serve a weight version.

    The order is idempotent, so it is sent again after an unknown outcome.

    Raises
    ------
    LeaseLostError
        If the duty is no longer held; the order was not sent.
    """
    body = {
        "version": version,
        "fencing": duty.fencing,
        "order_id": secrets.token_hex(8),
        "expires": time.time() + ORDER_LIFETIME_S,
    }
    outcome = call_json_guarded(
        "PUT",
        f"http://{address}/version",
        body,
        guard=duty.guard,
        timeout=ORDER_LIFETIME_S,
    )
    if not isinstance(outcome, Done):
        return outcome
    reply = outcome.value
    served = reply.body.get("version") if isinstance(reply.body, dict) else None
    if reply.status != 200 or type(served) is not int:
        return NotDone(f"{address} rejected the order: HTTP status {reply.status}")
    return Done(served)
