"""Permits of all daemons to send requests to targets that name a rate limit.

One daemon, the first by rendezvous order, issues the permits of a target, so that all
daemons together stay within its limit whichever of them have the requests. If it does
not answer, the second one issues permits at half the rate. Two daemons may both take
themselves for the first while membership changes; each then starts with an empty
schedule. A daemon that does not hear all the others issues only the part of the rate
that corresponds to the members it hears.
"""

import random

import eventlet
from attrs import define, field

from ..membership import Members
from ..outcomes import Done, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..routing import (
    COLD_RATE_FRACTION,
    MAX_PERMIT_WAIT_S,
    PermitSchedule,
    RateLimitReport,
)
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .cold_targets import ColdPhase
from .rate_limits import RateLimits

__all__ = ["LocalPermits", "PermitExchange"]

PERMIT_ISSUER_SILENT = define_event(
    703,
    "permit_issuer_silent",
    "warning",
    "The daemon that issues the permits of a target does not answer.",
)

CALL_TIMEOUT_S = MAX_PERMIT_WAIT_S + 0.3
# Time for which the second daemon is asked after the first one did not answer.
SILENT_ISSUER_AVOIDANCE_S = 2.0
DEPUTY_RATE_FRACTION = 0.5
# Targets that have left are not removed one by one.
MAX_DELAYED_TARGETS = 4096
# Delay after a reply that says nothing about when to ask again.
RETRY_DELAY_S = 0.2
# Shorter than the time for which a slot can be reserved, so that no slot is missed.
MAX_RETRY_JITTER_S = 0.4 * MAX_PERMIT_WAIT_S
# Reports are exchanged while they say something new to others.
EXCHANGED_REPORT_AGE_S = 5.0
MAX_EXCHANGED_REPORTS = 100
# News of another daemon counts as older by this time, since its age was measured
# before it was sent.
TRANSIT_ALLOWANCE_S = 0.2


@define(eq=False)
class LocalPermits:
    """Issues the permits of a daemon without peers.

    Parameters
    ----------
    rate_limits : RateLimits
        Limits of the targets.
    """

    rate_limits: RateLimits
    _schedule: PermitSchedule = field(factory=PermitSchedule)

    def acquire(self, target: str) -> bool:
        """Wait for a permit; return whether there is one."""
        return self.issue(target, 1.0)[0]

    def issue(self, target: str, rate_fraction: float) -> tuple[bool, float]:
        """Wait for the next slot of a target.

        Parameters
        ----------
        target : str
            Id of the target.
        rate_fraction : float
            Part of the target's limit at which permits are issued here.

        Returns
        -------
        tuple of bool and float
            Whether there is a permit, and otherwise the seconds after which to ask
            again.
        """
        limit = self.rate_limits.limit(target)
        if limit is None:
            self._schedule.forget(target)
            return True, 0.0
        if self.rate_limits.cold.rate(target) is not None:
            cold_rate = limit * COLD_RATE_FRACTION * rate_fraction
            reservation = self._schedule.reserve(target, cold_rate, boottime(), 1)
        else:
            reservation = self._schedule.reserve(
                target, limit * rate_fraction, boottime()
            )
        if not reservation.is_granted:
            return False, reservation.wait_s
        eventlet.sleep(reservation.wait_s)
        return True, 0.0


@define(eq=False)
class PermitExchange:
    """Acquires permits from the daemons that issue them, and issues them to others.

    Parameters
    ----------
    rate_limits : RateLimits
        Limits of the targets, which daemons also learn from each other.
    members : Members
        Members, of which rendezvous hashing selects the issuers.
    peers : Peers
        Calls to other daemons.
    """

    rate_limits: RateLimits
    members: Members
    peers: Peers
    _local: LocalPermits = field(init=False)
    _not_before: dict[str, float] = field(factory=dict)
    _silent_until: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the schedule of the targets whose permits this daemon issues."""
        self._local = LocalPermits(self.rate_limits)

    def register(self, server: PeerServer) -> None:
        """Serve the requests of other daemons for permits."""
        server.register("AcquirePermit", self._serve)

    def acquire(self, target: str) -> bool:
        """Wait for a permit for one request to a target; return whether there is one.

        Parameters
        ----------
        target : str
            Id of a target that names a rate limit.
        """
        if boottime() < self._not_before.get(target, 0.0):
            return False
        is_granted, retry_delay_s = self._acquire(target)
        if is_granted:
            self._not_before.pop(target, None)
        else:
            # Daemons that were turned away at the same time do not come back together.
            if len(self._not_before) > MAX_DELAYED_TARGETS:
                self._not_before.clear()
            delay_s = retry_delay_s + random.random() * MAX_RETRY_JITTER_S
            self._not_before[target] = boottime() + delay_s
        return is_granted

    def add_reports(self, heartbeat: peer_pb2.Heartbeat, peer: object) -> None:
        """Add the newest reports of rate limits to a heartbeat."""
        now = boottime()
        reports = self.rate_limits.reports_since(now - EXCHANGED_REPORT_AGE_S)
        newest = sorted(reports.items(), key=lambda item: -item[1].received_at)
        for target, report in newest[:MAX_EXCHANGED_REPORTS]:
            heartbeat.rate_limits.append(_to_message(target, report, now))
        phases = sorted(
            self.rate_limits.cold.current(), key=lambda item: -item[1].until
        )
        for target, phase in phases[:MAX_EXCHANGED_REPORTS]:
            heartbeat.cold_targets.append(_cold_to_message(target, phase, now))

    def apply_reports(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Apply the reports in the heartbeat of a peer."""
        for message in heartbeat.rate_limits:
            self._apply(message)
        for message in heartbeat.cold_targets:
            self._apply_cold(message)

    def _acquire(self, target: str) -> tuple[bool, float]:
        issuers = self.members.owners(_issuer_key(target), 2)
        for rank, issuer in enumerate(issuers):
            if issuer.vm == self.members.self_member.vm:
                return self._local.issue(target, self._rate_fraction(target, rank))
            if boottime() < self._silent_until.get(issuer.vm, 0.0):
                continue
            outcome = self._call(issuer.vm, target, rank)
            if isinstance(outcome, Done):
                reply = outcome.value
                self._apply(reply.report)
                self._apply_cold(reply.cold)
                return reply.granted, reply.retry_after or RETRY_DELAY_S
            self._silent_until[issuer.vm] = boottime() + SILENT_ISSUER_AVOIDANCE_S
            log(
                PERMIT_ISSUER_SILENT,
                target=target,
                issuer=issuer.vm,
                reason=str(outcome),
            )
        return False, RETRY_DELAY_S

    def _call(self, issuer: str, target: str, rank: int) -> Outcome[peer_pb2.Ack]:
        request = peer_pb2.AcquirePermitRequest(target=target, rank=rank)
        report = self.rate_limits.report(target)
        if report is not None:
            request.report.CopyFrom(_to_message(target, report, boottime()))
        self._add_cold(request, target)
        return self.peers.call(issuer, "AcquirePermit", request, CALL_TIMEOUT_S)

    def _serve(
        self, request: peer_pb2.AcquirePermitRequest
    ) -> peer_pb2.AcquirePermitReply:
        self._apply(request.report)
        self._apply_cold(request.cold)
        target, rank = request.target, request.rank
        reply = peer_pb2.AcquirePermitReply()
        # A daemon that has no configuration yet does not know what a cold target takes.
        knows_rate = (
            not request.cold.target or self.rate_limits.cold.rate(target) is not None
        )
        if knows_rate and self._is_issuer(target, rank):
            reply.granted, reply.retry_after = self._local.issue(
                target, self._rate_fraction(target, rank)
            )
            # Membership may have changed while the permit waited for its slot.
            reply.granted = reply.granted and self._is_issuer(target, rank)
        report = self.rate_limits.report(target)
        if report is not None:
            reply.report.CopyFrom(_to_message(target, report, boottime()))
        self._add_cold(reply, target)
        return reply

    def _add_cold(
        self,
        message: peer_pb2.AcquirePermitRequest | peer_pb2.AcquirePermitReply,
        target: str,
    ) -> None:
        """Add the phase of a target that takes few requests to a call or a reply."""
        cold = self.rate_limits.cold
        phase = cold.phase(target)
        if phase is not None and cold.rate(target) is not None:
            message.cold.CopyFrom(_cold_to_message(target, phase, boottime()))

    def _apply_cold(self, message: peer_pb2.ColdTarget) -> None:
        """Apply a peer's news of a cold target, less its time on the way.

        Otherwise each daemon that passes the news on would prolong the phase.
        """
        if message.target:
            cold_s = message.cold_s - TRANSIT_ALLOWANCE_S
            self.rate_limits.cold.extend(message.target, message.pool, cold_s)

    def _is_issuer(self, target: str, rank: int) -> bool:
        issuers = self.members.owners(_issuer_key(target), 2)
        own = self.members.self_member.vm
        return rank < len(issuers) and issuers[rank].vm == own

    def _rate_fraction(self, target: str, rank: int) -> float:
        """Return the part of a target's limit at which this daemon issues permits.

        A daemon that hears no other, as just after its start, issues none for a cold
        target: the others may do the same.
        """
        is_cold = self.rate_limits.cold.rate(target) is not None
        if is_cold and len(self.members.live()) == 1 and self.members.known():
            return 0.0
        live = len(self.members.staying())
        silent = self.members.count_silent()
        return (DEPUTY_RATE_FRACTION if rank else 1.0) * live / (live + silent)

    def _apply(self, message: peer_pb2.TargetRateLimit) -> None:
        if not message.target:
            return
        received_at = boottime() - TRANSIT_ALLOWANCE_S
        self.rate_limits.record(
            message.target,
            RateLimitReport(
                message.requests_per_s if message.limited else None,
                received_at - message.sent_age,
                received_at - message.age,
            ),
        )


def _issuer_key(target: str) -> str:
    return f"permits/{target}"


def _to_message(
    target: str, report: RateLimitReport, now: float
) -> peer_pb2.TargetRateLimit:
    return peer_pb2.TargetRateLimit(
        target=target,
        limited=report.requests_per_s is not None,
        requests_per_s=report.requests_per_s or 0.0,
        sent_age=now - report.sent_at,
        age=now - report.received_at,
    )


def _cold_to_message(target: str, phase: ColdPhase, now: float) -> peer_pb2.ColdTarget:
    return peer_pb2.ColdTarget(
        target=target, pool=phase.pool, cold_s=max(0.0, phase.until - now)
    )
