"""Invariants that are checked while the program runs."""

from ..telemetry.events import define
from ..telemetry.logs import log

__all__ = ["InvariantError", "require"]

INVARIANT_BROKEN = define(
    100, "invariant_broken", "error", "An invariant does not hold; the act is stopped."
)


class InvariantError(AssertionError):
    """An invariant does not hold and the act that it guards must not happen."""


def require(condition: bool, invariant: str, **details: object) -> None:
    """Stop the current act unless an invariant holds.

    Parameters
    ----------
    condition : bool
        Whether the invariant holds.
    invariant : str
        Name of the invariant, as in ``docs/PROMISES.md``.
    **details : object
        What was seen, for the event log. Never pass keys or bodies.

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
