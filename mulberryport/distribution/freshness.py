"""Whether this daemon would know of a key that was withdrawn.

A pure decision over what the daemon last heard, so that its cases can be tested
one by one.
"""

from attrs import frozen

__all__ = ["CONFIRMATION_LIMIT_S", "FleetView", "keys_usable"]

# One second below the bound of 5 s for withdrawn keys, for detection.
CONFIRMATION_LIMIT_S = 4.0


@frozen
class FleetView:
    """What a daemon knows about the confirmation of the head.

    Parameters
    ----------
    confirmation_age : float
        Seconds since some daemon last read the head, as far as is known here.
    last_members : int
        Members that were live at that time, this daemon included.
    without_store : int
        How many of these, this daemon included, are reachable and say that they
        cannot read the store.
    alone_by_settings : bool
        Whether this daemon has no peers by its settings.
    """

    confirmation_age: float
    last_members: int
    without_store: int
    alone_by_settings: bool = False


def keys_usable(view: FleetView) -> bool:
    """Return whether requests with keys may run.

    While a majority of the last known members cannot read the store, it is taken
    to be down; operators cannot withdraw keys then, and service goes on. A daemon
    that is cut off, alone or with a minority, refuses keys instead.

    Examples
    --------
    >>> keys_usable(FleetView(1.0, 8, 0))
    True
    >>> keys_usable(FleetView(60.0, 8, 8))
    True
    >>> keys_usable(FleetView(60.0, 8, 4))
    False
    >>> keys_usable(FleetView(60.0, 1, 1))
    False
    >>> keys_usable(FleetView(60.0, 1, 1, alone_by_settings=True))
    True
    """
    if view.confirmation_age <= CONFIRMATION_LIMIT_S:
        return True
    if view.last_members <= 1 and not view.alone_by_settings:
        return False
    return 2 * view.without_store > view.last_members
