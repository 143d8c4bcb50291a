"""Gossip of load reports in heartbeats, so that not every daemon polls every target.

Pollers send changed reports to the daemons of their zone. The relays of a zone
forward reports of the zone's targets to other zones, and reports from other zones to
their own zone. A leaving state or a health change is sent in several heartbeats,
since one may be lost. Other values are refreshed every few seconds, within the size
limit of a heartbeat.
"""

from attrs import define, field

from ..membership import Member, Members
from ..membership.ranking import rendezvous_order
from ..peering import peer_pb2
from ..routing import LoadReport
from ..runtime.clock import boottime
from .directory import TargetDirectory, TargetState
from .poller import LoadPoller

__all__ = ["LoadGossip"]

REFRESH_PERIOD_S = 5.0
URGENT_SENDS = 3
RELAYS_PER_ZONE = 2
# Load is compared in steps of this fraction of the target's capacity.
LOAD_STEP_FRACTION = 0.125
# Maximum reports in one heartbeat when none is urgent: 12 reports of about 35 bytes
# each second to 19 peers amount to 8 KB/s.
MAX_ROUTINE_REPORTS = 12

Fingerprint = tuple[int, int, int, bool, bool]


@define(eq=False)
class SentReport:
    """The last report about a target that was sent to a peer."""

    fingerprint: Fingerprint
    sent_at: float
    reported_at: float
    remaining_sends: int = 0

    @classmethod
    def next_entry(cls, entry: "SentReport | None", state: TargetState) -> "SentReport":
        """Return the entry that replaces ``entry`` once a report was sent."""
        remaining_sends = 0
        if is_urgent(entry, state):
            fingerprint = compute_fingerprint(state)
            changed = entry is None or entry.fingerprint[3:] != fingerprint[3:]
            remaining_sends = URGENT_SENDS - 1 if changed else entry.remaining_sends - 1
        return cls(
            compute_fingerprint(state), boottime(), state.reported_at, remaining_sends
        )


@define(eq=False)
class LoadGossip:
    """Adds load reports to heartbeats and applies received ones.

    Parameters
    ----------
    directory : TargetDirectory
        State of the targets.
    members : Members
        Members of the fleet, from which the relays of each zone are chosen.
    poller : LoadPoller
        Provides the targets that this daemon polls.
    """

    directory: TargetDirectory
    members: Members
    poller: LoadPoller
    _sent_reports: dict[str, dict[str, SentReport]] = field(factory=dict)

    def add_loads(self, heartbeat: peer_pb2.Heartbeat, peer: Member | None) -> None:
        """Add the load reports that are due for a peer to a heartbeat."""
        if peer is None:
            return
        sent = self._sent_reports.setdefault(peer.vm, {})
        urgent, routine = [], []
        for target in self._targets_to_report(peer):
            state = self.directory.get_state(target)
            if state is None or state.report is None:
                continue
            # A peer that polls all targets itself needs no load reports, but a
            # leaving state may reach it earlier than its next poll.
            if self.poller.polls_all_targets and not state.leaving:
                continue
            entry = sent.get(target)
            if is_urgent(entry, state):
                urgent.append((target, state))
            elif needs_refresh(entry, state):
                routine.append((entry.sent_at if entry else 0.0, target, state))
        routine.sort(key=lambda item: item[0])
        room = max(0, MAX_ROUTINE_REPORTS - len(urgent))
        for target, state in urgent + [item[1:] for item in routine[:room]]:
            sent[target] = SentReport.next_entry(sent.get(target), state)
            heartbeat.loads.append(encode_report(target, state))

    def remove_stale_entries(self) -> None:
        """Remove entries of peers and targets that no longer exist."""
        known = {member.vm for member in self.members.known()}
        zones = self.poller.target_zones
        self._sent_reports = {
            vm: {target: entry for target, entry in sent.items() if target in zones}
            for vm, sent in self._sent_reports.items()
            if vm in known
        }

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Apply the load reports in the heartbeat of a peer."""
        now = boottime()
        for load in heartbeat.loads:
            # Polls of this daemon are newer and show whether the target can be
            # reached from here; only a leaving state takes precedence over them.
            polled_here = load.target in self.poller.polled_targets
            if load.target not in self.poller.target_zones or (
                polled_here and not load.leaving
            ):
                continue
            at = now - load.age_ms / 1000
            if load.healthy:
                self.directory.record_load(load.target, decode_report(load), at)
            else:
                self.directory.mark_unresponsive(load.target, at)

    def _targets_to_report(self, peer: Member) -> list[str]:
        zone = self.members.self_member.zone
        if self.poller.polls_all_targets or not self._is_relay(zone):
            return list(self.poller.polled_targets)
        return [
            target
            for target, target_zone in self.poller.target_zones.items()
            if target in self.poller.polled_targets
            or (target_zone == zone) != (peer.zone == zone)
        ]

    def _is_relay(self, zone: str) -> bool:
        ranked = rendezvous_order(f"relay/{zone}", self.members.in_zone(zone))
        vm = self.members.self_member.vm
        return any(member.vm == vm for member in ranked[:RELAYS_PER_ZONE])


def is_urgent(entry: SentReport | None, state: TargetState) -> bool:
    """Return whether a leaving state or a health change must be sent now."""
    if entry is None:
        return state.leaving or not state.healthy
    changed = entry.fingerprint[3:] != compute_fingerprint(state)[3:]
    return changed or entry.remaining_sends > 0


def needs_refresh(entry: SentReport | None, state: TargetState) -> bool:
    """Return whether the load should be sent if the heartbeat has room."""
    if entry is None:
        return True
    # The known report is not newer than the one that was sent.
    if state.reported_at <= entry.reported_at:
        return False
    changed = entry.fingerprint != compute_fingerprint(state)
    return changed or boottime() - entry.sent_at >= REFRESH_PERIOD_S


def compute_fingerprint(state: TargetState) -> Fingerprint:
    """Return the values whose change causes a report to be sent again."""
    report = state.report
    assert report is not None
    step = max(1.0, report.capacity * LOAD_STEP_FRACTION)
    return (
        round(report.running / step),
        round(report.waiting / step),
        report.version,
        state.leaving,
        state.healthy,
    )


def encode_report(target: str, state: TargetState) -> peer_pb2.TargetLoad:
    """Encode the load and health of a target as a protobuf message."""
    report = state.report
    assert report is not None
    at = state.reported_at if state.healthy else state.unresponsive_since
    age = boottime() - at
    return peer_pb2.TargetLoad(
        target=target,
        running=report.running,
        waiting=report.waiting,
        capacity=report.capacity,
        version=report.version,
        leaving=state.leaving,
        healthy=state.healthy,
        age_ms=int(min(age, 1e6) * 1000),
    )


def decode_report(load: peer_pb2.TargetLoad) -> LoadReport:
    """Decode the load report in a protobuf message."""
    return LoadReport(
        running=load.running,
        waiting=load.waiting,
        capacity=load.capacity,
        version=load.version,
        leaving=load.leaving,
    )
