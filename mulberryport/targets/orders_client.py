"""Client of the platform's provisioning API, which orders targets by zone and pool."""

import time
from collections.abc import Callable
from urllib.parse import quote

from attrs import asdict, frozen

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..runtime.guarded import call_json_guarded
from ..runtime.http import call_json

__all__ = ["PlacedOrder", "TargetOrder", "read_order", "send_order"]


@frozen(kw_only=True)
class TargetOrder:
    """The desired number of targets; declaring it is idempotent.

    Parameters
    ----------
    zone, pool : str
        Availability zone and pool of the targets.
    on_demand, cheap : int
        Desired number of targets of each price class.
    order_id : str
        Unique id of each declared state of one duty holder.
    fencing : int
        Fencing token of the duty lease.
    """

    zone: str
    pool: str
    on_demand: int
    cheap: int
    order_id: str
    fencing: int


@frozen
class PlacedOrder:
    """The order that is in effect at the platform."""

    on_demand: int
    cheap: int
    order_id: str
    fencing: int


def send_order(
    url: str,
    order: TargetOrder,
    *,
    guard: Callable[[], None],
    lifetime: float,
    timeout: float,
) -> Outcome[bool]:
    """Declare the desired number of targets.

    Parameters
    ----------
    url : str
        Base URL of the platform API.
    order : TargetOrder
        The desired state.
    guard : callable
        Raises if this daemon may no longer send orders; called just before sending.
    lifetime : float
        Seconds after which the platform must not execute the order.
    timeout : float
        Timeout in seconds for the whole call.

    Returns
    -------
    Done of bool, NotDone or Unknown
        ``Done(False)`` if the platform rejected the order, because it has accepted
        one with a higher fencing token or because the order expired in transit.
    """
    body = {**asdict(order), "expires": time.time() + lifetime}
    outcome = call_json_guarded(
        "PUT", _url(url, order.zone, order.pool), body, guard=guard, timeout=timeout
    )
    if not isinstance(outcome, Done):
        return outcome
    status = outcome.value.status
    if status in (409, 410):
        return Done(False)
    if status != 200:
        return NotDone(
            f"platform rejected order {order.order_id}: HTTP status {status}"
        )
    return Done(True)


def read_order(
    url: str, zone: str, pool: str, timeout: float
) -> Outcome[PlacedOrder | None]:
    """Read the order in effect at the platform; None before the first order."""
    outcome = call_json("GET", _url(url, zone, pool), timeout=timeout)
    if not isinstance(outcome, Done):
        return outcome
    body = outcome.value.body
    if outcome.value.status == 404 or body is None:
        return Done(None)
    try:
        return Done(
            PlacedOrder(
                int(body["on_demand"]),
                int(body["cheap"]),
                str(body.get("order_id", "")),
                int(body.get("fencing", 0)),
            )
        )
    except (KeyError, TypeError, ValueError) as error:
        return Unknown(f"malformed order for {zone}/{pool}: {error!r}")


def _url(url: str, zone: str, pool: str) -> str:
    return f"{url}/orders/{quote(zone)}/{quote(pool)}"
