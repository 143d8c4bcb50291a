"""Announced weight versions, and the orders that bring them to the engines."""

import secrets

from attrs import define, field

from ..leases import DutyKeeper, LeaseLostError
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..store import Conflict, StoreClient
from ..tables import MODEL_ENGINE
from ..targets import TargetDirectory
from ..targets.engine_client import order_version
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["WeightService"]

VERSION_ANNOUNCED = define_event(
    1000, "version_announced", "info", "A trainer announced a weight version."
)
VERSION_ORDERED = define_event(
    1001, "version_ordered", "info", "An engine was ordered to serve a version."
)

ORDER_LIFETIME_S = 5.0
CONFLICT_RETRIES = 5


@define(eq=False)
class WeightService:
    """Announces versions and orders engines to serve them."""

    store: StoreClient
    keeper: DutyKeeper
    directory: TargetDirectory
    _announced: dict[str, int] = field(factory=dict)

    def announce(self, pool: str, version: int) -> Outcome[int]:
        """Announce a version; an older one than the announced changes nothing."""
        for _ in range(CONFLICT_RETRIES):
            current = self.store.read(_key(pool))
            if not isinstance(current, Done):
                return NotDone(current.reason)
            known = int(current.value.value or 0)
            if known >= version:
                return Done(known)
            written = self.store.write(
                _key(pool), str(version).encode(), current.value.version
            )
            if isinstance(written, Done) and isinstance(written.value, Conflict):
                continue
            if isinstance(written, Unknown):
                return written
            if isinstance(written, Done):
                log(VERSION_ANNOUNCED, pool=pool, version=version)
                return Done(version)
            return written
        return NotDone(f"pool {pool} is announced by others at the same time")

    def turn(self) -> None:
        """Order the announced versions for the pools whose duty is held."""
        for pool in self.directory.pools():
            if pool.kind != MODEL_ENGINE:
                continue
            duty = self.keeper.duty(f"weights/{pool.name}")
            if not duty.held:
                continue
            current = self.store.read(_key(pool.name))
            if not isinstance(current, Done) or current.value.value is None:
                continue
            version = int(current.value.value)
            for view in self.directory.views(pool.name):
                if view.report is None or view.report.version >= version:
                    continue
                try:
                    duty.guard(ORDER_LIFETIME_S)
                except LeaseLostError:
                    break
                order_version(
                    view.address,
                    version,
                    duty.fencing,
                    secrets.token_hex(4),
                    ORDER_LIFETIME_S,
                )
                log(VERSION_ORDERED, target=view.id, version=version)


def _key(pool: str) -> str:
    return f"weights/{pool}"
