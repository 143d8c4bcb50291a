"""Client of the platform's interface for ordering targets by zone."""

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
    """A wanted state; declaring it twice changes nothing.

    Parameters
    ----------
    zone, pool : str
        Where the targets are wanted.
    on_demand, cheap : int
        How many of each price class.
    order_id : str
        Unique for each declared state of one holder.
    fencing : int
        Fencing number of the duty lease.
    """

    zone: str
    pool: str
    on_demand: int
    cheap: int
    order_id: str
    fencing: int


@frozen
class PlacedOrder:
    """The order that the platform follows."""

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
    """Declare how many targets are wanted.

    Parameters
    ----------
    url : str
        Base URL of the interface.
    order : TargetOrder
        The wanted state.
    guard : callable
        Raises if this daemon may not order any more; checked last.
    lifetime : float
        Seconds after which the platform must not carry the order out.
    timeout : float
        Seconds for the whole call.

    Returns
    -------
    Done of bool, NotDone or Unknown
        ``Done(False)`` if the platform refused the order, because it follows one
        with a higher fencing number or because the order expired on its way.
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
        return NotDone(f"order {order.order_id} refused: status {status}")
    return Done(True)


def read_order(
    url: str, zone: str, pool: str, timeout: float
) -> Outcome[PlacedOrder | None]:
    """Read back the order that the platform follows; None before the first."""
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
        return Unknown(f"malformed order of {zone}/{pool}: {error!r}")


def _url(url: str, zone: str, pool: str) -> str:
    return f"{url}/orders/{quote(zone)}/{quote(pool)}"
