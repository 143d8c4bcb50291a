"""Invariants that are checked at run time."""

from ..telemetry.events import define
from ..telemetry.logs import log

__all__ = ["InvariantError", "require"]

INVARIANT_BROKEN = define(
    100,
    "invariant_broken",
    "error",
    "An invariant does not hold; the operation is aborted.",
)


class InvariantError(AssertionError):
    """An invariant does not hold; the operation that it protects is aborted."""


def require(condition: bool, invariant: str, **details: object) -> None:
    """Abort the current operation unless an invariant holds.

    Parameters
    ----------
    condition : bool
        Whether the invariant holds.
    invariant : str
        Name of the invariant, as in ``docs/PROMISES.md``.
    **details : object
        Observed values for the event log. They must not contain keys or bodies.

    Raises
    ------
    InvariantError
        The condition is false.

    Examples
    --------
    >>> require(True, "slot_filled_once")
    """
    if not condition:
        log(INVARIANT_BROKEN, invariant=invariant, **details)
        raise InvariantError(f"invariant {invariant} does not hold: {details}")
