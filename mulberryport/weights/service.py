"""Announced weight versions, and the orders that bring them to the engines.

Orders to load adapters or to change an engine's role are not sent.
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
from .waves import Wave

__all__ = ["WeightService"]

VERSION_ORDERED = define_event(
    1001, "version_ordered", "info", "An engine serves a version that it was ordered."
)
VERSION_FAILED = define_event(
    1002,
    "version_failed",
    "warning",
    "An engine did not load a version; it stays on its old one until a later wave.",
)
VERSION_EVERYWHERE = define_event(
    1003, "version_everywhere", "info", "All engines of a pool serve a version."
)

# Longest time between sending an order and its effect.
ORDER_LIFETIME_S = 5.0
WAVE_CHECK_S = 0.25


@define(eq=False)
class WeightService:
    """Announces versions and orders engines to serve them.

    Parameters
    ----------
    store : StoreClient
        Where announcements are kept.
    keeper : DutyManager
        Keeps the duty ``weights/<pool>``.
    directory : TargetDirectory
        The engines.
    """

    store: StoreClient
    keeper: DutyManager
    directory: TargetDirectory
    _wanted: dict[str, int] = field(factory=dict)
    _waves: dict[str, Wave] = field(factory=dict)
    _running: set[str] = field(factory=set)

    def announce(self, pool: str, version: int) -> Outcome[int]:
        """Announce a version; an older one than the announced changes nothing."""
        return announce(self.store, pool, version)

    def turn(self) -> None:
        """Read what is announced for the pools whose duty is held; start waves."""
        for pool in self.directory.pools():
            if pool.kind != MODEL_ENGINE:
                continue
            duty = self.keeper.contend_for(f"weights/{pool.name}")
            if not duty.is_held:
                # A successor learns afresh what the engines serve.
                self._waves.pop(pool.name, None)
                continue
            announced = read_announced(self.store, pool.name)
            if not isinstance(announced, Done) or not announced.value:
                continue
            self._wanted[pool.name] = announced.value
            if pool.name not in self._running:
                self._running.add(pool.name)
                eventlet.spawn_n(self._run, pool.name, duty)

    def _run(self, pool: str, duty: Duty) -> None:
        """Order targets in waves until all serve the announced version."""
        wave = self._waves.setdefault(pool, Wave())
        ordered = False
        try:
            while duty.is_held:
                version, now = self._wanted[pool], boottime()
                views = self._orderable(pool, duty)
                if not wave.outdated(views, version, now) and not wave.loading:
                    break
                for view in wave.take(views, version, now):
                    ordered = True
                    eventlet.spawn_n(self._order, wave, duty, view, version)
                eventlet.sleep(WAVE_CHECK_S)
            if ordered and duty.is_held:
                log(VERSION_EVERYWHERE, pool=pool, version=self._wanted[pool])
        finally:
            self._running.discard(pool)

    def _orderable(self, pool: str, duty: Duty) -> list[TargetView]:
        """Return the targets that may be ordered.

        Those that ignore fencing numbers must wait until no order of the holder
        before can take effect any more.
        """
        waited = duty.held_duration_s >= LEASE_TTL_S + ORDER_LIFETIME_S
        return [
            view for view in self.directory.views(pool) if view.checks_fencing or waited
        ]

    def _order(self, wave: Wave, duty: Duty, view: TargetView, version: int) -> None:
        try:
            outcome = send_order(view.address, version, duty)
        except LeaseLostError:
            wave.given_up(view.id)
            return
        if isinstance(outcome, Done):
            wave.succeeded(view.id, outcome.value, boottime())
            log(VERSION_ORDERED, target=view.id, version=outcome.value)
        else:
            wave.failed(view.id, boottime())
            log(VERSION_FAILED, target=view.id, version=version, error=outcome.reason)


def send_order(address: str, version: int, duty: Duty) -> Outcome[int]:
    """Order an engine to serve a version.

    Ordering a version twice changes nothing, so that an unknown outcome is repeated.

    Raises
    ------
    LeaseLostError
        The duty is not held any more; the order was not sent.
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
        return NotDone(f"{address} refused the order: status {reply.status}")
    return Done(served)
