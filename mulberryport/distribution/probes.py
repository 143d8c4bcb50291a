"""Probes that date what a peer reports.

A heartbeat can lie in a buffer while a process is paused or a connection stalls.
An age that it carries counts from the moment it was made, which the receiver does
not know. Each heartbeat therefore echoes the newest probe that its sender received
from the addressee: it was made after that probe was sent.
"""

import secrets

from attrs import define, field

from ..runtime.clock import boottime

__all__ = ["Probes"]

# Heartbeats made within this time share a probe; the first of them dates it.
SHARED_S = 0.1
KEPT_S = 10.0


@define(eq=False)
class Probes:
    """Random numbers that were sent to peers, and when.

    Examples
    --------
    >>> probes = Probes()
    >>> probe = probes.draw()
    >>> 0 <= boottime() - probes.sent_at(probe) < 1
    True
    >>> probes.sent_at(0)
    """

    _sent: dict[int, float] = field(factory=dict)
    _newest: int = 0

    def draw(self) -> int:
        """Return the probe to send now."""
        now = boottime()
        if now - self._sent.get(self._newest, float("-inf")) >= SHARED_S:
            self._newest = secrets.randbits(63) + 1
            self._sent = {p: at for p, at in self._sent.items() if at > now - KEPT_S}
            self._sent[self._newest] = now
        return self._newest

    def sent_at(self, probe: int) -> float | None:
        """Return the boot time at which a probe was first sent, if it is known."""
        return self._sent.get(probe)
