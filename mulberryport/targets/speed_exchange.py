"""Exchange of measured speeds of targets between daemons, in heartbeats.

A daemon tells what it has measured itself, and only of targets that are faster or
slower than usual. What others told is not passed on.
"""

import math
from collections.abc import Callable
from itertools import islice

from attrs import define, field

from ..peering import peer_pb2
from ..routing import RemoteSpeed, TargetSpeeds
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["SpeedExchange"]

REMOTE_SPEED_MALFORMED = define_event(
    708,
    "remote_speed_malformed",
    "warning",
    "A daemon reports speeds of targets that are no sensible numbers; they were "
    "ignored. Logged once a daemon.",
)

# Measurements are exchanged while they say something new to others.
EXCHANGED_AGE_S = 1.5
MAX_EXCHANGED_SPEEDS = 32
# A measurement of another daemon counts as older by this time, since its age was
# measured before it was sent.
TRANSIT_ALLOWANCE_S = 0.1
MAX_MALFORMED_SENDERS = 1024
# The measurements of this daemon are collected no more often than this.
COLLECTION_INTERVAL_S = 0.2


@define(eq=False)
class SpeedExchange:
    """Tells other daemons the measured speeds of targets, and applies theirs.

    Parameters
    ----------
    speeds : TargetSpeeds
        Speeds of the targets.
    """

    speeds: TargetSpeeds
    _collected: dict[str, RemoteSpeed] = field(factory=dict)
    _collected_at: float = -math.inf
    _malformed_senders: set[str] = field(factory=set)

    def attach(
        self,
        contributors: list[Callable[[peer_pb2.Heartbeat, object], object]],
        listeners: list[Callable[[peer_pb2.Heartbeat], object]],
    ) -> None:
        """Take part in the heartbeats."""
        contributors.append(self.add_speeds)
        listeners.append(self.apply_speeds)

    def add_speeds(self, heartbeat: peer_pb2.Heartbeat, peer: object) -> None:
        """Add the most unusual speeds that this daemon has measured to a heartbeat."""
        now = boottime()
        if now - self._collected_at > COLLECTION_INTERVAL_S:
            unusual = self.speeds.unusual_since(now - EXCHANGED_AGE_S, now)
            self._collected = dict(islice(unusual.items(), MAX_EXCHANGED_SPEEDS))
            self._collected_at = now
        for target, speed in self._collected.items():
            heartbeat.target_speeds.append(
                peer_pb2.TargetSpeed(
                    target=target,
                    born=speed.born,
                    interval_s=speed.interval_s,
                    deviation=speed.deviation,
                    age=now - speed.measured_at,
                )
            )

    def apply_speeds(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Apply the speeds in the heartbeat of a peer."""
        received_at = boottime() - TRANSIT_ALLOWANCE_S
        has_malformed = False
        for message in heartbeat.target_speeds[:MAX_EXCHANGED_SPEEDS]:
            speed = RemoteSpeed(
                message.interval_s,
                message.deviation,
                received_at - message.age,
                message.born,
            )
            if speed.is_possible and message.age >= 0.0:
                self.speeds.record_remote(message.target, speed)
            else:
                has_malformed = True
        sender = heartbeat.sender.vm
        if has_malformed and sender not in self._malformed_senders:
            if len(self._malformed_senders) >= MAX_MALFORMED_SENDERS:
                self._malformed_senders.clear()
            self._malformed_senders.add(sender)
            log(REMOTE_SPEED_MALFORMED, sender=sender)
