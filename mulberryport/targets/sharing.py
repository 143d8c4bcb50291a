"""Load reports in heartbeats, so that not every daemon polls every target.

Pollers tell their zone what changed. The relays of a zone pass reports of its
targets on to other zones and those of other zones on to their own. A leaving mark
or a change of health is repeated in some heartbeats, since one may be lost; other
values are repeated every few seconds, as far as a heartbeat has room for them.
"""

from attrs import define, field

from ..membership import Member, Members
from ..membership.ranking import rendezvous_order
from ..peering import peer_pb2
from ..routing import LoadReport
from ..runtime.clock import boottime
from .directory import TargetDirectory, TargetState
from .poller import LoadPoller

__all__ = ["LoadSharing"]

REFRESH_S = 5.0
REPEATS = 3
RELAYS = 2
# Load is told in steps of this part of a target's capacity.
LOAD_STEP = 0.125
# Reports of load in one heartbeat: 12 of about 35 bytes each second to 19 peers
# are 8 KB a second.
MAX_ROUTINE = 12

Signature = tuple[int, int, int, bool, bool]


@define(eq=False)
class Told:
    """What a peer was told of a target."""

    signature: Signature
    at: float
    reported_at: float
    repeats: int = 0

    @classmethod
    def after(cls, entry: "Told | None", state: TargetState) -> "Told":
        """Return the entry after a target was told."""
        repeats = 0
        if is_urgent(entry, state):
            signature = signature_of(state)
            changed = entry is None or entry.signature[3:] != signature[3:]
            repeats = REPEATS - 1 if changed else entry.repeats - 1
        return cls(signature_of(state), boottime(), state.reported_at, repeats)


@define(eq=False)
class LoadSharing:
    """Puts load reports into heartbeats and takes them from there.

    Parameters
    ----------
    directory : TargetDirectory
        What is known of the targets.
    members : Members
        Determines who passes reports on.
    poller : LoadPoller
        Determines which targets this daemon polls.
    """

    directory: TargetDirectory
    members: Members
    poller: LoadPoller
    _told: dict[str, dict[str, Told]] = field(factory=dict)

    def contribute(self, heartbeat: peer_pb2.Heartbeat, peer: Member | None) -> None:
        """Add what a peer should know to a heartbeat for it."""
        if peer is None:
            return
        told = self._told.setdefault(peer.vm, {})
        urgent, routine = [], []
        for target in self._told_to(peer):
            state = self.directory.judgement(target)
            if state is None or state.report is None:
                continue
            # Who polls everything needs no reports; a leaving mark can still come
            # sooner than the next poll.
            if self.poller.all_poll and not state.leaving:
                continue
            entry = told.get(target)
            if is_urgent(entry, state):
                urgent.append((target, state))
            elif is_news(entry, state):
                routine.append((entry.at if entry else 0.0, target, state))
        routine.sort(key=lambda item: item[0])
        room = max(0, MAX_ROUTINE - len(urgent))
        for target, state in urgent + [item[1:] for item in routine[:room]]:
            told[target] = Told.after(told.get(target), state)
            heartbeat.loads.append(to_message(target, state))

    def forget(self) -> None:
        """Drop what was told about targets and to peers that are gone."""
        known = {member.vm for member in self.members.known()}
        zones = self.poller.zones
        self._told = {
            vm: {target: entry for target, entry in told.items() if target in zones}
            for vm, told in self._told.items()
            if vm in known
        }

    def take(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Learn from the heartbeat of a peer."""
        now = boottime()
        for load in heartbeat.loads:
            # Own polls are newer and show whether the target can be reached from
            # here; only a leaving mark is worth more.
            own = load.target in self.poller.polled
            if load.target not in self.poller.zones or (own and not load.leaving):
                continue
            at = now - load.age_ms / 1000
            if load.healthy:
                self.directory.report(load.target, from_message(load), at)
            else:
                self.directory.report_silence(load.target, at)

    def _told_to(self, peer: Member) -> list[str]:
        zone = self.members.self_member.zone
        if self.poller.all_poll or not self._is_relay(zone):
            return list(self.poller.polled)
        return [
            target
            for target, of_zone in self.poller.zones.items()
            if target in self.poller.polled or (of_zone == zone) != (peer.zone == zone)
        ]

    def _is_relay(self, zone: str) -> bool:
        order = rendezvous_order(f"relay/{zone}", self.members.in_zone(zone))
        vm = self.members.self_member.vm
        return any(member.vm == vm for member in order[:RELAYS])


def is_urgent(entry: Told | None, state: TargetState) -> bool:
    """Return whether a leaving mark or a change of health must be told now."""
    if entry is None:
        return state.leaving or not state.healthy
    changed = entry.signature[3:] != signature_of(state)[3:]
    return changed or entry.repeats > 0


def is_news(entry: Told | None, state: TargetState) -> bool:
    """Return whether the load should be told when there is room."""
    if entry is None:
        return True
    # An old report that was told already is not worth a repetition.
    if state.reported_at <= entry.reported_at:
        return False
    changed = entry.signature != signature_of(state)
    return changed or boottime() - entry.at >= REFRESH_S


def signature_of(state: TargetState) -> Signature:
    """Return what must change before a report is told again."""
    report = state.report
    assert report is not None
    step = max(1.0, report.capacity * LOAD_STEP)
    return (
        round(report.running / step),
        round(report.waiting / step),
        report.version,
        state.leaving,
        state.healthy,
    )


def to_message(target: str, state: TargetState) -> peer_pb2.TargetLoad:
    """Return a report as a message."""
    report = state.report
    assert report is not None
    at = state.reported_at if state.healthy else state.silent_since
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


def from_message(load: peer_pb2.TargetLoad) -> LoadReport:
    """Return the report that a message holds."""
    return LoadReport(
        running=load.running,
        waiting=load.waiting,
        capacity=load.capacity,
        version=load.version,
        leaving=load.leaving,
    )
