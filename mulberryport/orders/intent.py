"""Intent records: the desired targets of a zone, stored before they are ordered.

Each write is a compare-and-swap on the version that this daemon has read, and a
new holder writes before it places orders. The next write of a previous holder that
resumes after a pause therefore fails, and it must not place any more orders.
"""

from collections.abc import Mapping

import orjson
from attrs import evolve, field, frozen

from ..leases import Duty, LeaseLostError
from ..outcomes import Done
from ..store import Conflict, Entry, StoreClient
from .sizing import TargetCounts

__all__ = ["Intent", "claim_intent", "write_intent"]


@frozen
class Intent:
    """The declared state of one zone.

    Parameters
    ----------
    zone : str
        Zone to which the record applies.
    fencing : int
        Fencing number of the holder that declared it.
    sequence : int
        Incremented with each declaration; part of the order ids.
    desired : mapping of str to TargetCounts
        Desired target counts by pool.
    version : int
        Version of the entry in the store.
    """

    zone: str
    fencing: int = 0
    sequence: int = 0
    desired: Mapping[str, TargetCounts] = field(factory=dict)
    version: int = 0

    @property
    def order_id(self) -> str:
        """Id shared by the orders that carry out this declaration."""
        return f"{self.zone}/{self.fencing}/{self.sequence}"


def claim_intent(store: StoreClient, duty: Duty, zone: str) -> Intent | None:
    """Read the intent of a zone and rewrite it under the current fencing number.

    Returns
    -------
    Intent or None
        None if the store did not answer or a concurrent write won.

    Raises
    ------
    LeaseLostError
        This daemon no longer holds the duty.
    """
    outcome = store.read(_key(zone))
    if not isinstance(outcome, Done):
        return None
    known = _decode(zone, outcome.value)
    if known.fencing == duty.fencing:
        return known
    if known.fencing > duty.fencing:
        raise LeaseLostError(
            f"orders of {zone} were claimed under fencing number {known.fencing}"
        )
    return write_intent(store, duty, known, known.desired)


def write_intent(
    store: StoreClient, duty: Duty, known: Intent, desired: Mapping[str, TargetCounts]
) -> Intent | None:
    """Store new desired counts for a zone.

    Returns
    -------
    Intent or None
        None if the write may not have been applied; the caller must claim the
        intent again before it places an order.

    Raises
    ------
    LeaseLostError
        This daemon no longer holds the duty.
    """
    declared = evolve(
        known, fencing=duty.fencing, sequence=known.sequence + 1, desired=dict(desired)
    )
    content = orjson.dumps(
        {
            "fencing": declared.fencing,
            "number": declared.sequence,
            "pools": {
                pool: [counts.on_demand, counts.cheap]
                for pool, counts in sorted(desired.items())
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
    desired = {pool: TargetCounts(*counts) for pool, counts in content["pools"].items()}
    return Intent(zone, content["fencing"], content["number"], desired, entry.version)


def _key(zone: str) -> str:
    return f"orders/{zone}"
