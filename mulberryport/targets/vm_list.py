"""Client of the platform's eventually consistent list of live and leaving VMs."""

from collections.abc import Mapping

from attrs import field, frozen

from ..outcomes import Done, Outcome, Unknown
from ..runtime.http import call_json

__all__ = ["ListedVm", "fetch_vms"]


@frozen
class ListedVm:
    """An entry of the platform's VM list: a VM that runs a target.

    Parameters
    ----------
    id, address, zone, pool : str
        Id, address, availability zone and pool of the target on the VM.
    cheap : bool
        Whether the VM is preemptible at short notice.
    leaving : bool
        Whether the VM will stop soon.
    slots : int
        Maximum number of concurrent requests; 0 to use the limit of its pool.
    versions : mapping of str to int
        Weight version of each model that is loaded.
    born : int
        Time of the target's start, which tells apart targets that used the same id; 0
        if not known.
    software : str
        Version of the target's software; empty if not known.
    cold_s : float or None
        Seconds for which the target is cold, when it said so; None if it does not say.
    """

    id: str
    address: str
    zone: str
    pool: str
    cheap: bool
    leaving: bool
    slots: int = 0
    versions: Mapping[str, int] = field(factory=dict)
    born: int = 0
    software: str = ""
    cold_s: float | None = None


def fetch_vms(url: str, timeout: float) -> Outcome[tuple[ListedVm, ...]]:
    """Read the VM list.

    Parameters
    ----------
    url : str
        Base URL of the platform API.
    timeout : float
        Timeout in seconds.
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
        return Unknown(f"malformed VM list: {error!r}")
