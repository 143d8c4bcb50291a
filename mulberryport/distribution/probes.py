"""Probes that give a lower bound for the time at which a heartbeat was built.

A heartbeat can remain in a buffer while a process is paused or a connection stalls.
An age in it counts from the moment it was built, which the receiver does not know.
Each heartbeat therefore echoes the newest probe that its sender received from the
recipient: the heartbeat was built after that probe was sent.
"""

import secrets

from attrs import define, field

from ..runtime.clock import boottime

__all__ = ["Probes"]

# Heartbeats built within this time share a probe, with the send time of the first.
PROBE_REUSE_S = 0.1
PROBE_LIFETIME_S = 10.0


@define(eq=False)
class Probes:
    """Random numbers that were sent to peers, with the time of the first sending.

    Examples
    --------
    >>> probes = Probes()
    >>> probe = probes.current_probe()
    >>> 0 <= boottime() - probes.sent_at(probe) < 1
    True
    >>> probes.sent_at(0)
    """

    _sent: dict[int, float] = field(factory=dict)
    _newest: int = 0

    def current_probe(self) -> int:
        """Return the probe to send now."""
        now = boottime()
        if now - self._sent.get(self._newest, float("-inf")) >= PROBE_REUSE_S:
            self._newest = secrets.randbits(63) + 1
            self._sent = {
                p: at for p, at in self._sent.items() if at > now - PROBE_LIFETIME_S
            }
            self._sent[self._newest] = now
        return self._newest

    def sent_at(self, probe: int) -> float | None:
        """Return the boot time at which a probe was first sent; None if unknown."""
        return self._sent.get(probe)
