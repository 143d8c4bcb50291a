"""Decision whether this daemon would know of a withdrawn key.

The decision is a pure function of what the daemon last learned, so that its cases can
be tested separately.
"""

from attrs import frozen

__all__ = ["CONFIRMATION_LIMIT_S", "FleetView", "keys_usable"]

# Withdrawn keys must be refused within 5 s; 1 s of that is reserved for detection.
CONFIRMATION_LIMIT_S = 4.0


@frozen
class FleetView:
    """What a daemon knows about the confirmation of the head.

    Parameters
    ----------
    confirmation_age : float
        Seconds since any daemon last read the head, as far as is known here.
    last_members : int
        Number of members that were live at that time, including this daemon.
    without_store : int
        How many of these, including this daemon, are reachable and report that they
        cannot read the store.
    is_standalone : bool
        Whether this daemon is configured without peers.
    """

    confirmation_age: float
    last_members: int
    without_store: int
    is_standalone: bool = False


def keys_usable(view: FleetView) -> bool:
    """Return whether requests with keys may run.

    If a majority of the last known members cannot read the store, it is assumed to be
    down; operators cannot withdraw keys then, and keys remain accepted. A daemon in a
    network partition without a majority refuses keys instead.

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
    >>> keys_usable(FleetView(60.0, 1, 1, is_standalone=True))
    True
    """
    if view.confirmation_age <= CONFIRMATION_LIMIT_S:
        return True
    if view.last_members <= 1 and not view.is_standalone:
        return False
    return 2 * view.without_store > view.last_members
