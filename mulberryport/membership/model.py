"""A member of the fleet."""

import secrets

from attrs import frozen

__all__ = ["Member", "new_incarnation"]


def new_incarnation() -> int:
    """Return a random number that identifies one run of a daemon."""
    return secrets.randbits(63)


@frozen
class Member:
    """A daemon of the fleet.

    Parameters
    ----------
    vm, zone : str
        Id of the VM and its availability zone.
    peer_address : str
        IP address and port of the peer protocol.
    incarnation : int
        Random number of the daemon's run; 0 until a heartbeat was received.
    leaving : bool
        Whether the daemon is stopping.
    heard_at : float
        Boot time at which this daemon last received a heartbeat from it.
    serving : bool
        Whether the daemon has read what it needs to serve; no work is sent to it
        before.
    """

    vm: str
    zone: str
    peer_address: str
    incarnation: int = 0
    leaving: bool = False
    heard_at: float = float("-inf")
    serving: bool = True
