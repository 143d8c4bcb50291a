"""Orders and reports that only the holder of the control duty sends.

Weight orders are sent to engines, target orders (``scale``) and usage reports to the
platform. Each call checks the duty immediately before its last bytes are sent.
"""

from typing import Any

import orjson
from attrs import define

from ..coordination import Mirror, SessionDuty
from ..orders.fleet import ZoneOrder
from ..outcomes import Done, NotDone, Outcome
from ..routing import TargetView
from ..runtime.guarded import call_json_guarded
from ..runtime.http import call_json
from ..telemetry import define as define_event
from ..telemetry import log
from ..weights.load_scheduler import WeightLoad
from . import names
from .counts import check_count

__all__ = ["ANNOUNCEMENTS_PREFIX", "ControlCalls", "announced_versions"]

ANNOUNCEMENT_SKIPPED = define_event(
    1431,
    "announcement_skipped",
    "warning",
    "A malformed announcement of a weight version was skipped.",
)

ANNOUNCEMENTS_PREFIX = "op/version/"
# Longest time from the duty check of a call to its effect.
CALL_TIMEOUT_S = 1.0
HOLDER_HEADER, FENCING_HEADER = "X-Duty-Holder", "X-Fence-Token"


def announced_versions(mirror: Mirror) -> dict[str, int]:
    """Return the latest announced weight version of each model."""
    versions = {}
    for key, item in mirror.items.items():
        try:
            values = orjson.loads(item.value)
            version = check_count(values["version"], "weight version")
            versions[str(values["model"])] = version
        except (KeyError, TypeError, ValueError) as error:
            log(ANNOUNCEMENT_SKIPPED, key=key, error=repr(error))
    return versions


@define(eq=False)
class ControlCalls:
    """Client for the calls that require the control duty.

    Parameters
    ----------
    vm : str
        Id of this VM, sent as the name of the holder.
    duty : SessionDuty
        The control duty.
    cloud_address : str
        IP address and port of the platform's control interface.
    """

    vm: str
    duty: SessionDuty
    cloud_address: str

    def order_load(self, view: TargetView, load: WeightLoad) -> Outcome[bool]:
        """Order an engine to load a weight version; true if it accepted the order.

        The order contains the number of orders that the engine has executed, so that
        a delayed order cannot replace a newer one.

        Raises
        ------
        LeaseLostError
            The duty is not held; the order was not sent.
        """
        expected_instance = {names.EXPECT_INSTANCE: view.id}
        report = call_json(
            "GET",
            f"http://{view.address}{names.REPORT_PATH}",
            timeout=CALL_TIMEOUT_S,
            headers=expected_instance,
        )
        if not isinstance(report, Done):
            return report
        try:
            executed_orders, busy = (
                int(report.value.body["seq"]),
                bool(report.value.body["busy"]),
            )
        except (KeyError, TypeError, ValueError) as error:
            return NotDone(f"malformed report from {view.id}: {error!r}")
        if busy:
            return NotDone(f"engine {view.id} is executing another order")
        body = {
            "op": "version",
            "model": load.model,
            "version": load.version,
            # Running requests continue with the new weights.
            "mode": "retain",
            "holder": self.vm,
            "fence": self.duty.fencing,
            "expected": executed_orders,
        }
        outcome = self._post_guarded(
            f"http://{view.address}{names.ORDER_PATH}", body, headers=expected_instance
        )
        return _has_accepted_status(outcome, (200, 202))

    def scale(self, order: ZoneOrder) -> Outcome[bool]:
        """Order a number of targets in a zone; false if the platform declines.

        Raises
        ------
        LeaseLostError
            The duty is not held; the order was not sent.
        """
        body: dict[str, Any] = {
            "service": order.pool,
            "zone": order.zone,
            # The platform's name for the number of targets.
            "target-groups": order.count,
        }
        if order.cheap:
            body["spot"] = True
        return _has_accepted_status(
            self._post_guarded(f"http://{self.cloud_address}/scale", body), (200, 202)
        )

    def report_usage(self, window: int, counts: dict[str, int]) -> Outcome[bool]:
        """Report the request counts of a usage window.

        Raises
        ------
        LeaseLostError
            The duty is not held; the report was not sent.
        """
        body = {"window": window, "counts": counts}
        outcome = _has_accepted_status(
            self._post_guarded(f"http://{self.cloud_address}/usage", body), (200,)
        )
        if isinstance(outcome, Done) and not outcome.value:
            return NotDone("the platform refused the usage report")
        return outcome

    def _post_guarded(
        self, url: str, body: object, headers: dict[str, str] | None = None
    ) -> Outcome[Any]:
        duty_headers = {HOLDER_HEADER: self.vm, FENCING_HEADER: str(self.duty.fencing)}
        return call_json_guarded(
            "POST",
            url,
            body,
            guard=lambda: self.duty.guard(CALL_TIMEOUT_S),
            timeout=CALL_TIMEOUT_S,
            headers={**duty_headers, **(headers or {})},
        )


def _has_accepted_status(
    outcome: Outcome[Any], accepted_statuses: tuple[int, ...]
) -> Outcome[bool]:
    if not isinstance(outcome, Done):
        return outcome
    return Done(outcome.value.status in accepted_statuses)
