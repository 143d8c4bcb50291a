"""Tests of the exchange of crash records between daemons."""

from collections import deque
from contextlib import ExitStack
from heapq import heappop, heappush
from itertools import count

import eventlet
import pytest
from attrs import define, field

from ...membership import HEARTBEAT_PERIOD_S, Member, Members
from ...membership.tests.builders import member_of
from ...peering import peer_pb2
from ...peering.notices import MIN_NOTICE_INTERVAL_S
from ...peering.tests.builders import wait_for
from ...runtime import boottime
from ...telemetry import recent_entries
from ..exchange import MAX_RECORDS_PER_MESSAGE, CrashExchange
from ..records import CrashTable
from .builders import IDENTITY, CrashNode, crash_targets, make_crash

HOP_S = 0.1


@define(eq=False)
class Clock:
    """The time of a simulated fleet."""

    now: float = 0.0

    def __call__(self) -> float:
        """Return the boot time."""
        return self.now


@define(eq=False)
class Daemon:
    """The exchange of a simulated daemon."""

    member: Member
    peers: set[str]
    clock: Clock
    table: CrashTable = field(factory=CrashTable)
    exchange: CrashExchange = field(init=False)

    def __attrs_post_init__(self):
        sender = peer_pb2.Sender(vm=self.member.vm, zone=self.member.zone)
        self.exchange = CrashExchange(
            self.table, Members(self.member), lambda: sender, self.clock
        )


@define(eq=False)
class Fleet:
    """Daemons that send each other notices, but no heartbeats, in simulated time."""

    daemons: dict[str, Daemon]
    clock: Clock
    _events: list = field(factory=list)
    _sent_at: dict = field(factory=dict)
    _numbers: count = field(factory=count)

    def __attrs_post_init__(self):
        for vm, daemon in self.daemons.items():
            daemon.table.on_change = lambda vm=vm: self._wake(vm)

    def run_until_quiet(self):
        """Deliver all notices and return the time of the last one."""
        while self._events:
            self.clock.now, _, action = heappop(self._events)
            action()
        return self.clock.now

    def distances(self, vm):
        """Return the number of hops from a daemon to each."""
        distances, waiting = {vm: 0}, deque([vm])
        while waiting:
            current = waiting.popleft()
            for peer in self.daemons[current].peers - distances.keys():
                distances[peer] = distances[current] + 1
                waiting.append(peer)
        return distances

    def _at(self, time, action):
        heappush(self._events, (time, next(self._numbers), action))

    def _wake(self, vm):
        for peer in self.daemons[vm].peers:
            self._at(self.clock.now, lambda peer=peer: self._send(vm, peer))

    def _send(self, vm, peer):
        due = self._sent_at.get((vm, peer), -1.0) + MIN_NOTICE_INTERVAL_S
        if due > self.clock.now:
            self._at(due, lambda: self._send(vm, peer))
            return
        notice = self.daemons[vm].exchange.make_notice(self.daemons[peer].member)
        if notice is not None:
            self._sent_at[vm, peer] = self.clock.now
            content = peer_pb2.Heartbeat.FromString(notice.SerializeToString())
            apply = self.daemons[peer].exchange.apply
            self._at(self.clock.now + HOP_S, lambda: apply(content))


def make_fleet(size: int, zones: int) -> Fleet:
    """Return a fleet whose members all know each other."""
    all_members = [member_of(number, zones) for number in range(size)]
    links = {member.vm: set() for member in all_members}
    for own in all_members:
        members = Members(own)
        for other in all_members:
            members.record_heartbeat(other)
        for peer in members.heartbeat_peers():
            links[own.vm].add(peer)
            links[peer].add(own.vm)
    clock = Clock()
    return Fleet({m.vm: Daemon(m, links[m.vm], clock) for m in all_members}, clock)


def exchange_of(vm: str, clock: Clock) -> Daemon:
    return Daemon(Member(vm, "zone0", "127.0.0.1:1"), set(), clock)


def heartbeat_to(source: Daemon, sink: Daemon, complete: bool) -> peer_pb2.Heartbeat:
    """Return what a daemon adds to a heartbeat for another one."""
    heartbeat = peer_pb2.Heartbeat(members_complete=complete)
    heartbeat.sender.CopyFrom(source.exchange.make_sender())
    source.exchange.add(heartbeat, sink.member)
    return heartbeat


# Guards against a daemon that sends a crasher on because it learns of the third crash
# more than 3 s later: most members of a large fleet hear from relays only.
@pytest.mark.parametrize(("size", "zones"), [(80, 3), (300, 3), (300, 24)])
def test_crashes_reach_a_large_fleet_within_a_heartbeat_period(size, zones):
    fleet = make_fleet(size, zones)
    vms = sorted(
        fleet.daemons, key=lambda vm: (len(fleet.daemons[vm].peers), vm), reverse=True
    )
    reporters = [vms[-1], vms[-2], vms[0]]
    for number, vm in enumerate(reporters):
        at = fleet.clock.now = 5.0 * number
        crash_targets(fleet.daemons[vm].table, make_crash(f"t{number}", at))
        assert fleet.run_until_quiet() - at < HEARTBEAT_PERIOD_S
    tables = [daemon.table for daemon in fleet.daemons.values()]
    assert all(table.is_blocked(IDENTITY, fleet.clock.now) for table in tables)
    assert max(fleet.distances(reporters[0]).values()) >= 3


# Guards against lifting that reaches one daemon only.
def test_lift_reaches_a_large_fleet_within_a_heartbeat_period():
    fleet = make_fleet(80, 3)
    daemons = list(fleet.daemons.values())
    crash_targets(daemons[0].table, *(make_crash(f"t{i}", 3.0 * i) for i in range(3)))
    fleet.run_until_quiet()
    fleet.clock.now = 100.0
    daemons[-1].table.lift(IDENTITY, 100.0)
    assert fleet.run_until_quiet() - 100.0 < HEARTBEAT_PERIOD_S
    assert all(daemon.table.is_empty for daemon in daemons)


# Guards against a daemon that forgets all crashes with its restart, and against
# heartbeats that carry all records all the time.
def test_new_stream_gets_all_records_and_later_heartbeats_only_news():
    clock = Clock()
    source, sink = exchange_of("vm1", clock), exchange_of("vm2", clock)
    for number in range(20):
        identity = number.to_bytes(16, "big")
        crash_targets(source.table, make_crash("t", 0.0), identity=identity)
    first = heartbeat_to(source, sink, complete=True)
    assert len(first.crash_records) == 20
    sink.exchange.apply(first)
    assert len(sink.table.export(0.0)) == 20
    assert len(heartbeat_to(source, sink, complete=False).crash_records) <= 2
    assert source.exchange.make_notice(sink.member) is None
    # What was received is not sent back.
    assert sink.exchange.make_notice(source.member) is None
    restarted = exchange_of("vm2", clock)
    restarted.exchange.apply(heartbeat_to(source, sink, complete=True))
    assert len(restarted.table.export(0.0)) == 20


# Guards against a message that is lost for good.
def test_known_records_are_repeated():
    clock = Clock()
    source, sink = exchange_of("vm1", clock), exchange_of("vm2", clock)
    crash_targets(source.table, make_crash("t", 0.0))
    assert source.exchange.make_notice(sink.member) is not None
    sink.exchange.apply(heartbeat_to(source, sink, complete=False))
    assert sink.table.is_suspect(IDENTITY, 0.0)


# Guards against heartbeats that grow without limit, and against blocked requests that
# wait behind many suspect ones.
def test_messages_are_limited_and_have_blocked_requests_first():
    clock = Clock()
    source, sink = exchange_of("vm1", clock), exchange_of("vm2", clock)
    crash_targets(source.table, *(make_crash(f"t{i}", 3.0 * i) for i in range(3)))
    clock.now = 100.0
    for number in range(3 * MAX_RECORDS_PER_MESSAGE):
        identity = number.to_bytes(16, "big")
        crash_targets(source.table, make_crash("t9", 100.0), identity=identity)
    first = heartbeat_to(source, sink, complete=True)
    assert len(first.crash_records) == MAX_RECORDS_PER_MESSAGE
    assert first.crash_records[0].identity == IDENTITY
    sink.exchange.apply(first)
    while (notice := source.exchange.make_notice(sink.member)) is not None:
        assert len(notice.crash_records) <= MAX_RECORDS_PER_MESSAGE
        sink.exchange.apply(notice)
    assert len(sink.table.export(100.0)) == 3 * MAX_RECORDS_PER_MESSAGE + 1


# Guards against clocks: boot times of two daemons are unrelated.
def test_times_are_sent_as_ages():
    source, sink = exchange_of("vm1", Clock(1000.0)), exchange_of("vm2", Clock(7.0))
    crash_targets(source.table, make_crash("t", 998.5, alone=True, id=2**64 - 1))
    sink.exchange.apply(heartbeat_to(source, sink, complete=True))
    (crash,) = sink.table.export(7.0)[0].crashes
    assert (crash.target, crash.at, crash.alone) == ("t", 5.5, True)
    assert crash.id == 2**64 - 1


def _add_report(heartbeat, *, identity=IDENTITY, reports=1, **fields):
    record = heartbeat.crash_records.add(identity=identity, route="r", workspace="w")
    for number in range(reports):
        record.reports.add(**{"id": number, "target": "t", **fields})


# Guards against a faulty peer that fills the table or breaks the heartbeat listener.
@pytest.mark.parametrize(
    "content",
    [
        {"identity": b"short"},
        {"reports": 17},
        {"reports": 2, "id": 1},
        {"target": "t" * 257},
        {"age_ms": 2**63},
    ],
)
def test_malformed_records_are_ignored_with_a_log_line(content):
    sink = exchange_of("vm2", Clock())
    heartbeat = peer_pb2.Heartbeat()
    heartbeat.sender.vm = f"faulty {content}"[:40]
    _add_report(heartbeat, **content)
    _add_report(heartbeat, identity=b"z" * 16)
    sink.exchange.apply(heartbeat)
    assert [r.identity for r in sink.table.export(0.0)] == [b"z" * 16]
    entry = recent_entries()[-1]
    assert entry["event"] == "crash_records_malformed"
    assert entry["peer"] == heartbeat.sender.vm


# Guards against a faulty peer that sends more records than a message may have.
def test_too_many_records_are_ignored_with_a_log_line():
    sink = exchange_of("vm2", Clock())
    heartbeat = peer_pb2.Heartbeat()
    heartbeat.sender.vm = "faulty"
    for number in range(MAX_RECORDS_PER_MESSAGE + 1):
        _add_report(heartbeat, identity=number.to_bytes(16, "big"))
    sink.exchange.apply(heartbeat)
    assert sink.table.is_empty
    assert recent_entries()[-1]["event"] == "crash_records_malformed"


# Guards against notices that wait for heartbeats on real streams, in the direction in
# which the stream was opened and against it.
@pytest.mark.parametrize("backwards", [False, True])
def test_crashes_cross_three_hops_within_a_heartbeat_period(backwards):
    nodes = [CrashNode(f"vm{number}") for number in range(4)]
    with ExitStack() as stack:
        for node in nodes:
            node.server.start()
            stack.callback(node.server.stop)
            stack.callback(node.peers.stop)
        for node, following in zip(nodes, nodes[1:], strict=False):
            own = following.members.self_member
            node.members.add_seed(own.vm, own.zone, own.peer_address)
            node.peers.update_heartbeat_tasks()
        wait_for(lambda: all(len(n.heard_at) == 2 for n in nodes[1:3]), 5)
        first, last = (nodes[-1], nodes[0]) if backwards else (nodes[0], nodes[-1])
        # All streams have just exchanged a heartbeat, and none exchanges one soon.
        wait_for(lambda: last.heard_at and first.heard_at, 5)
        crashed_at = boottime()
        for number in range(3):
            crash_targets(first.table, make_crash(f"t{number}", crashed_at + number))
        wait_for(lambda: last.table.is_blocked(IDENTITY, boottime()), 5)
        assert boottime() - crashed_at < HEARTBEAT_PERIOD_S
        first.table.lift(IDENTITY, boottime())
        lifted_at = boottime()
        wait_for(lambda: last.table.is_empty, 5)
        assert boottime() - lifted_at < HEARTBEAT_PERIOD_S
    eventlet.sleep(0)
