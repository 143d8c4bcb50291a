"""The platform's lagging list of live and leaving VMs."""

from collections.abc import Mapping

from attrs import field, frozen

from ..outcomes import Done, Outcome, Unknown
from ..runtime.http import call_json

__all__ = ["ListedVm", "fetch_vms"]


@frozen
class ListedVm:
    """A VM on the platform's list that runs a target.

    Parameters
    ----------
    id, address, zone, pool : str
        Identity of the target on it.
    cheap : bool
        Whether the platform may reclaim it at short notice.
    leaving : bool
        Whether it will stop soon.
    slots : int
        Requests that it runs at the same time; 0 for the figure of its pool.
    versions : mapping of str to int
        Weight version of each model that it holds.
    """

    id: str
    address: str
    zone: str
    pool: str
    cheap: bool
    leaving: bool
    slots: int = 0
    versions: Mapping[str, int] = field(factory=dict)


def fetch_vms(url: str, timeout: float) -> Outcome[tuple[ListedVm, ...]]:
    """Read the list of VMs.

    Parameters
    ----------
    url : str
        Base URL of the interface.
    timeout : float
        Seconds.
    """
    outcome = call_json("GET", f"{url}/vms", timeout=timeout)
    if not isinstance(outcome, Done):
        return outcome
    try:
        return Done(
            tuple(
                ListedVm(
                    id=str(vm["id"]),
                    address=str(vm["address"]),
                    zone=str(vm["zone"]),
                    pool=str(vm["pool"]),
                    cheap=vm["price"] == "cheap",
                    leaving=vm["state"] != "live",
                )
                for vm in outcome.value.body["vms"]
            )
        )
    except (KeyError, TypeError) as error:
        return Unknown(f"malformed list of VMs: {error!r}")
