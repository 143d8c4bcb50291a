"""Orders and reports of the platform that are the duty of one daemon.

``orders`` go to engines, ``scale`` and ``usage`` to the platform. Each call checks the
duty right before its last bytes leave.
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

__all__ = ["VERSION_PREFIX", "ControlCalls", "announced_versions"]

ANNOUNCEMENT_SKIPPED = define_event(
    1431, "announcement_skipped", "warning", "An announcement of weights is malformed."
)

VERSION_PREFIX = "op/version/"
# A guarded call, from its guard to its effect.
CALL_TIMEOUT_S = 1.0
HOLDER, FENCE = "X-Duty-Holder", "X-Fence-Token"


def announced_versions(mirror: Mirror) -> dict[str, int]:
    """Return the newest announced weight version of each model."""
    versions = {}
    for key, item in mirror.items.items():
        try:
            values = orjson.loads(item.value)
            versions[str(values["model"])] = int(values["version"])
        except (KeyError, TypeError, ValueError) as error:
            log(ANNOUNCEMENT_SKIPPED, key=key, error=repr(error))
    return versions


@define(eq=False)
class ControlCalls:
    """Makes the calls of the control duty.

    Parameters
    ----------
    vm : str
        Id of this VM, the holder's name.
    duty : SessionDuty
        The duty.
    cloud : str
        IP number and port of the platform's interface.
    """

    vm: str
    duty: SessionDuty
    cloud: str

    def order_load(self, view: TargetView, load: WeightLoad) -> Outcome[bool]:
        """Order an engine to load a version; true if it does so or has it.

        The order names the number of orders that the engine has taken, so that one
        that is carried out late does not undo a newer one.

        Raises
        ------
        LeaseLostError
            The duty is not held; the order was not sent.
        """
        expect = {names.EXPECT_INSTANCE: view.id}
        report = call_json(
            "GET",
            f"http://{view.address}{names.REPORT_PATH}",
            timeout=CALL_TIMEOUT_S,
            headers=expect,
        )
        if not isinstance(report, Done):
            return report
        try:
            taken, busy = int(report.value.body["seq"]), bool(report.value.body["busy"])
        except (KeyError, TypeError, ValueError) as error:
            return NotDone(f"malformed report of {view.id}: {error!r}")
        if busy:
            return NotDone(f"engine {view.id} carries out another order")
        body = {
            "op": "version",
            "model": load.model,
            "version": load.version,
            # Requests that run go on under the new weights.
            "mode": "retain",
            "holder": self.vm,
            "fence": self.duty.fencing,
            "expected": taken,
        }
        outcome = self._post(
            f"http://{view.address}{names.ORDER_PATH}", body, headers=expect
        )
        return _accepted(outcome, (200, 202))

    def scale(self, order: ZoneOrder) -> Outcome[bool]:
        """Order targets in a zone; false if none are available there.

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
        return _accepted(self._post(f"http://{self.cloud}/scale", body), (200, 202))

    def report_usage(self, window: int, counts: dict[str, int]) -> Outcome[bool]:
        """Send the figures of a usage window.

        Raises
        ------
        LeaseLostError
            The duty is not held; the report was not sent.
        """
        body = {"window": window, "counts": counts}
        outcome = _accepted(self._post(f"http://{self.cloud}/usage", body), (200,))
        if isinstance(outcome, Done) and not outcome.value:
            return NotDone("the report was refused")
        return outcome

    def _post(
        self, url: str, body: object, headers: dict[str, str] | None = None
    ) -> Outcome[Any]:
        holder = {HOLDER: self.vm, FENCE: str(self.duty.fencing)}
        return call_json_guarded(
            "POST",
            url,
            body,
            guard=lambda: self.duty.guard(CALL_TIMEOUT_S),
            timeout=CALL_TIMEOUT_S,
            headers={**holder, **(headers or {})},
        )


def _accepted(outcome: Outcome[Any], accepted: tuple[int, ...]) -> Outcome[bool]:
    if not isinstance(outcome, Done):
        return outcome
    return Done(outcome.value.status in accepted)
