"""What is wanted in a zone, written to the store before it is ordered.

Each write is a compare-and-swap on the version that this daemon has read, and a
new holder writes before it orders. A former holder that goes on after a pause
therefore loses its next write, and with it the right to order.
"""

from collections.abc import Mapping

import orjson
from attrs import evolve, field, frozen

from ..leases import Duty, LeaseLostError
from ..outcomes import Done
from ..store import Conflict, Entry, StoreClient
from .sizing import Wanted

__all__ = ["Intent", "claim_intent", "write_intent"]


@frozen
class Intent:
    """The declared state of one zone.

    Parameters
    ----------
    zone : str
        The zone.
    fencing : int
        Fencing number of the holder that declared it.
    number : int
        Rises with each declaration; part of the order ids.
    wanted : mapping of str to Wanted
        Targets by pool.
    version : int
        Version of the store's entry.
    """

    zone: str
    fencing: int = 0
    number: int = 0
    wanted: Mapping[str, Wanted] = field(factory=dict)
    version: int = 0

    @property
    def order_id(self) -> str:
        """Id of the orders that declare this state."""
        return f"{self.zone}/{self.fencing}/{self.number}"


def claim_intent(store: StoreClient, duty: Duty, zone: str) -> Intent | None:
    """Read the intent of a zone and make it the current holder's.

    Returns
    -------
    Intent or None
        None if the store gave no answer or another daemon wrote at the same time.

    Raises
    ------
    LeaseLostError
        This daemon is not the holder any more.
    """
    outcome = store.read(_key(zone))
    if not isinstance(outcome, Done):
        return None
    known = _decode(zone, outcome.value)
    if known.fencing == duty.fencing:
        return known
    if known.fencing > duty.fencing:
        raise LeaseLostError(f"{zone} was claimed with number {known.fencing}")
    return write_intent(store, duty, known, known.wanted)


def write_intent(
    store: StoreClient, duty: Duty, known: Intent, wanted: Mapping[str, Wanted]
) -> Intent | None:
    """Declare what is wanted from now on.

    Returns
    -------
    Intent or None
        None if it is not certain that it was written; the caller must claim the
        intent again before it orders anything.

    Raises
    ------
    LeaseLostError
        This daemon is not the holder any more.
    """
    declared = evolve(
        known, fencing=duty.fencing, number=known.number + 1, wanted=dict(wanted)
    )
    content = orjson.dumps(
        {
            "fencing": declared.fencing,
            "number": declared.number,
            "pools": {
                pool: [counts.on_demand, counts.cheap]
                for pool, counts in sorted(wanted.items())
            },
        }
    )
    duty.guard()
    written = store.write(_key(known.zone), content, known.version)
    if not isinstance(written, Done) or isinstance(written.value, Conflict):
        return None
    return evolve(declared, version=written.value.version)


def _decode(zone: str, entry: Entry) -> Intent:
    if entry.value is None:
        return Intent(zone, version=entry.version)
    content = orjson.loads(entry.value)
    wanted = {pool: Wanted(*counts) for pool, counts in content["pools"].items()}
    return Intent(zone, content["fencing"], content["number"], wanted, entry.version)


def _key(zone: str) -> str:
    return f"orders/{zone}"
