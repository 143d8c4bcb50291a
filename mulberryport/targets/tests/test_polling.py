"""Tests of polling at the planned fleet size, gossip of load reports, and health."""

from ...membership import Member, Members
from ...membership.ranking import rendezvous_order
from ...peering import peer_pb2
from ...routing import LoadReport
from ...runtime.clock import boottime
from ...tables import Pool, Snapshot, Tables, TargetSpec
from ..directory import MISSED_POLL_LIMIT, TargetDirectory
from ..load_gossip import LoadGossip
from ..poller import LoadPoller, choose_pollers

ZONES = ("rosario", "parana", "santa-fe")
REPORT = LoadReport(running=4, waiting=0, capacity=16, version=1)
LEAVING = LoadReport(running=4, waiting=0, capacity=16, version=1, leaving=True)


def make_directory(zone: str = "rosario", count: int = 1) -> TargetDirectory:
    targets = tuple(
        TargetSpec(f"engine{n}", f"127.0.0.1:{n + 1}", zone) for n in range(count)
    )
    pool = Pool(name="drafting", kind="model-engine", targets=targets)
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"drafting": pool})))
    return directory


def make_fleet(per_zone: int, targets: int) -> dict[str, LoadGossip]:
    """Return the gossip of each daemon of a fleet; all targets are in rosario."""
    now = boottime() + 60
    members = [
        Member(f"{zone}-{n}", zone, "127.0.0.1:1", 1, False, now)
        for zone in ZONES
        for n in range(per_zone)
    ]
    fleet = {}
    for self_member in members:
        known = Members(self_member)
        for member in members:
            known.record_heartbeat(member)
        directory = make_directory(count=targets)
        poller = LoadPoller(directory, known)
        fleet[self_member.vm] = LoadGossip(directory, known, poller)
    return fleet


def exchange_heartbeats(fleet: dict[str, LoadGossip]) -> dict[str, int]:
    """Send one heartbeat on each daemon's streams; return the bytes by sender."""
    own = [gossip.members.self_member for gossip in fleet.values()]
    relays = {
        member.vm
        for zone in ZONES
        for member in rendezvous_order(
            f"relay/{zone}", [m for m in own if m.zone == zone]
        )[:2]
    }
    sent, messages = dict.fromkeys(fleet, 0), []
    for vm, gossip in fleet.items():
        zone = gossip.members.self_member.zone
        for other in fleet:
            if other != vm and (other.startswith(zone) or {vm, other} <= relays):
                heartbeat = peer_pb2.Heartbeat()
                gossip.add_loads(heartbeat, gossip.members.get(other))
                messages.append((other, heartbeat))
                sent[vm] += heartbeat.ByteSize()
    for receiver, heartbeat in messages:
        fleet[receiver].apply_heartbeat(heartbeat)
    return sent


def record_poll_responses(fleet: dict[str, LoadGossip], report: LoadReport) -> None:
    """Record a poll response at every poller of every target."""
    for gossip in fleet.values():
        for view in gossip.poller.assign_targets():
            gossip.directory.record_poll_response(view.id, report)


def test_two_daemons_of_its_zone_poll_a_target_in_a_large_fleet():
    # Guards against a poll rate that grows with daemons times targets (13,000/s per
    # zone at the planned size), and against targets that no daemon polls.
    live = [Member(f"vm{n}", ZONES[n % 3], "127.0.0.1:1") for n in range(510)]
    for number in range(40):
        chosen = choose_pollers(f"engine{number}", "parana", live)
        assert [member.zone for member in chosen] == ["parana", "parana"]
    assert len(choose_pollers("engine1", "parana", live[:12])) == 12
    # Targets in a zone without daemons are polled from other zones.
    assert len(choose_pollers("engine1", "another", live)) == 2


def test_leaving_state_reaches_all_zones_in_three_heartbeats():
    """Guards against new requests to a leaving target in zones that do not poll it."""
    fleet = make_fleet(per_zone=6, targets=3)
    record_poll_responses(fleet, REPORT)
    for _ in range(3):
        exchange_heartbeats(fleet)
    record_poll_responses(fleet, LEAVING)
    exchange_heartbeats(fleet)
    same_zone = [s for vm, s in fleet.items() if vm.startswith("rosario")]
    assert all(v.leaving for s in same_zone for v in s.directory.all_views())
    exchange_heartbeats(fleet)
    exchange_heartbeats(fleet)
    assert all(v.leaving for s in fleet.values() for v in s.directory.all_views())


def test_gossip_stays_within_the_bandwidth_budget_of_a_daemon():
    # The planned size is 19 daemons and 60 targets per zone. A heartbeat is sent each
    # second, and control traffic may use 9 KB/s.
    fleet = make_fleet(per_zone=19, targets=60)
    record_poll_responses(fleet, REPORT)
    for _ in range(4):
        exchange_heartbeats(fleet)
    record_poll_responses(
        fleet, LoadReport(running=9, waiting=0, capacity=16, version=1)
    )
    # Relays forward the change in the rounds after the first.
    rounds = [exchange_heartbeats(fleet) for _ in range(10)]
    assert max(max(sent.values()) for sent in rounds) <= 9 * 1024
    # An unchanged load is not sent again before the next refresh.
    record_poll_responses(
        fleet, LoadReport(running=9, waiting=0, capacity=16, version=1)
    )
    assert sum(exchange_heartbeats(fleet).values()) == 0


def test_two_consecutive_missed_polls_make_a_target_unhealthy():
    # Guards against ejecting a target for one lost datagram, and against sending
    # requests to a target that no longer exists.
    directory = make_directory()
    healthy = lambda: directory.views("drafting")[0].healthy  # noqa: E731
    directory.record_poll_response("engine0", REPORT)
    directory.record_missed_poll("engine0")
    assert healthy()
    directory.record_poll_response("engine0", REPORT)
    directory.record_missed_poll("engine0")
    assert healthy()
    directory.record_missed_poll("engine0")
    assert not healthy()
    directory.record_response("engine0")
    assert healthy()
    for _ in range(MISSED_POLL_LIMIT):
        directory.record_missed_poll("engine0")
    assert healthy()


def test_newest_report_wins_when_pollers_disagree():
    # Guards against an old observation of one poller that outlives a newer response.
    directory = make_directory()
    now = boottime()
    directory.record_load("engine0", REPORT, now)
    directory.mark_unresponsive("engine0", now - 1)
    assert directory.views("drafting")[0].healthy
    directory.mark_unresponsive("engine0", now + 1)
    assert not directory.views("drafting")[0].healthy
    directory.record_load("engine0", REPORT, now + 2)
    assert directory.views("drafting")[0].healthy
