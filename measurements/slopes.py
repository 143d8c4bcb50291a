"""Slopes: what state and messages cost for each member, target, key and sample.

Each slope is measured in this process by the difference between two sizes, so that
constant costs drop out.
"""

import gc
import time
import tracemalloc
from collections.abc import Callable

from mulberryport.daemon.heartbeats import Heartbeats
from mulberryport.distribution import Distribution
from mulberryport.membership import Member, Members
from mulberryport.peering import Peers, peer_pb2
from mulberryport.rollouts import GroupSpec, Sample, StepId, StepSpec, VersionSpan
from mulberryport.rollouts.step import StepState
from mulberryport.routing import LoadReport
from mulberryport.runtime import boottime
from mulberryport.store import StoreClient
from mulberryport.tables import (
    KeyRecord,
    Pool,
    Route,
    Snapshot,
    SnapshotHolder,
    Tables,
    TargetSpec,
    Workspace,
    key_digest,
)
from mulberryport.tables.shards import join_shards, split_tables
from mulberryport.targets import TargetDirectory
from mulberryport.usage import UsageCounters

from ._report import median_and_spread, print_table

REPEATS = 5
# Frame header of HTTP/2, prefix of gRPC, headers of TCP and IP.
MESSAGE_OVERHEAD_BYTES = 9 + 5 + 32 + 20


def memory_of(build: Callable[[], object]) -> float:
    """Return the bytes that an object and all it refers to take."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def seconds_of(function: Callable[[], object]) -> float:
    """Return the processor time of one call."""
    start = time.process_time()
    function()
    return time.process_time() - start


def memory_slope(build: Callable[[int], object], small: int, large: int) -> str:
    """Return bytes for each unit of size, as median and spread."""
    slopes = [
        (memory_of(lambda: build(large)) - memory_of(lambda: build(small)))
        / (large - small)
        for _ in range(REPEATS)
    ]
    return median_and_spread(slopes) + " B"


def time_slope(run: Callable[[int], object], small: int, large: int) -> str:
    """Return microseconds for each unit of size, as median and spread."""
    slopes = [
        (seconds_of(lambda: run(large)) - seconds_of(lambda: run(small)))
        / (large - small)
        * 1e6
        for _ in range(REPEATS)
    ]
    return median_and_spread(slopes) + " us"


def build_members(count: int) -> Members:
    """Return members of 27 zones, of which this daemon heard all."""
    members = Members(Member("vm0", "zone0", "127.0.0.1:1", 1))
    for number in range(1, count + 1):
        address = f"10.0.{number // 250}.{number % 250}:7000"
        zone = f"zone{number % 27}"
        members.record_heartbeat(
            Member(f"vm{number}", zone, address, 1, False, boottime())
        )
    return members


def build_heartbeats(members: Members) -> Heartbeats:
    """Return the heartbeats of a daemon that has these members."""
    holder = SnapshotHolder()
    distribution = Distribution(StoreClient("http://127.0.0.1:1"), holder, members)
    heartbeats = Heartbeats(members, holder, distribution)
    heartbeats.peers = Peers(
        members, "token", heartbeats.make_heartbeat, heartbeats.apply_heartbeat
    )
    return heartbeats


def heartbeat_rows() -> list[tuple[str, str]]:
    """Return size and processor time of heartbeats."""
    heartbeats = build_heartbeats(build_members(18))
    peer = Member("vm27", "zone0", "10.0.0.27:7000", 1, False, boottime())
    first, announced = heartbeats.make_heartbeat(peer, None)
    steady, announced = heartbeats.make_heartbeat(peer, announced)

    def exchange(count: int) -> None:
        current = announced
        for _ in range(count):
            message, current = heartbeats.make_heartbeat(peer, current)
            heartbeats.apply_heartbeat(
                peer_pb2.Heartbeat.FromString(message.SerializeToString())
            )

    steady_bytes = steady.ByteSize() + MESSAGE_OVERHEAD_BYTES
    per_info = first.ByteSize() - steady.ByteSize()
    return [
        ("steady heartbeat on the wire", f"{steady_bytes} B"),
        (
            "member in news, on the wire",
            f"{per_info / max(1, len(first.members)):.0f} B",
        ),
        ("heartbeat made and taken", time_slope(exchange, 100, 2100)),
        ("member in memory", memory_slope(build_members, 100, 600)),
    ]


def owner_rows() -> list[tuple[str, str]]:
    """Return processor time of looking up owners."""

    def look_up(members: Members, count: int) -> None:
        for number in range(count):
            members.owners(f"step {number}", 2)

    rows = []
    for size in (8, 510):
        members = build_members(size)
        cost = time_slope(lambda n, m=members: look_up(m, n), 10, 210)
        rows.append((f"owners of a key among {size} members", cost))
    return rows


def build_tables(targets: int) -> Tables:
    """Return tables with one pool and key for each 20 targets."""
    pools, routes, workspaces, keys = {}, {}, {}, {}
    for number in range(max(1, targets // 20)):
        name = f"pool{number}"
        specs = tuple(
            TargetSpec(f"t{number}-{n}", f"10.1.{number % 250}.{n}:8000", f"zone{n}")
            for n in range(20)
        )
        pools[name] = Pool(name=name, kind="model-engine", targets=specs)
        workspaces[name] = Workspace(name=name)
        route = Route(name=name, path=f"/{name}/", pool=name, workspaces=(name,))
        routes[name] = route
        record = KeyRecord(key_digest(name), name)
        keys[record.digest] = record
    return Tables(workspaces, routes, pools, keys)


def table_rows() -> list[tuple[str, str]]:
    """Return cost of the tables for each target that they name."""
    whole = build_tables(1600)
    contents = split_tables(whole)
    size = sum(map(len, contents.values()))

    def hold(targets: int) -> SnapshotHolder:
        tables = join_shards(split_tables(build_tables(targets)))
        holder = SnapshotHolder()
        holder.adopt(Snapshot(1, "a", tables), split_tables(tables))
        return holder

    return [
        ("target in the tables, in the store", f"{size / 1600:.0f} B"),
        ("target in the tables, in memory", memory_slope(hold, 400, 1600)),
        (
            "joining the shards of 1,600 targets",
            _milliseconds(lambda: join_shards(contents)),
        ),
    ]


def target_rows() -> list[tuple[str, str]]:
    """Return cost of load reports for each target."""

    def build(targets: int) -> TargetDirectory:
        directory = TargetDirectory()
        directory.apply_snapshot(Snapshot(1, "a", build_tables(targets)))
        for view in directory.all_views():
            directory.record_load(view.id, LoadReport(1, 2, 16, 3), boottime())
        return directory

    directory = build(400)

    def report(count: int) -> None:
        for number in range(count):
            target = f"t{number % 20}-{number % 20}"
            directory.record_load(target, LoadReport(1, 2, 16, 3), boottime())

    return [
        ("target's load in memory", memory_slope(build, 400, 1600)),
        ("load report taken", time_slope(report, 1000, 21000)),
    ]


def step_rows() -> list[tuple[str, str]]:
    """Return cost of an open step for each sample of 1,000 tokens."""

    def build(samples: int) -> StepState:
        groups = tuple(GroupSpec(f"prompt {n}", 8, 1000) for n in range(samples // 8))
        spec = StepSpec(StepId("w", "t", 1), "r", "p", 2, 1, groups)
        return StepState(spec)

    def sample(number: int) -> Sample:
        tokens = tuple(f"t{number}-{n}" for n in range(1000))
        return Sample(
            number // 8, number % 8, tokens, (VersionSpan(1, 1000),), "engine1"
        )

    def filled(samples: int) -> StepState:
        step = build(samples)
        for number in range(samples):
            step.fill_slot(sample(number))
        return step

    step = filled(4096)

    def pull() -> None:
        step.pull(1, bytes(512), 16)

    return [
        ("open slot in memory", memory_slope(build, 800, 4000)),
        ("finished sample of 1,000 tokens", memory_slope(filled, 80, 400)),
        ("pull of 16 samples of 4,096", _milliseconds(pull)),
    ]


def usage_rows() -> list[tuple[str, str]]:
    """Return cost of usage counters."""
    counters = UsageCounters("vm1", 1, 60)

    def build(count: int) -> UsageCounters:
        built = UsageCounters("vm1", 1, 60)
        for number in range(count):
            built.add(f"workspace{number}", "pool", requests=1)
        return built

    def add(count: int) -> None:
        for _ in range(count):
            counters.add("workspace", "pool", requests=1, tokens=100)

    return [
        ("usage counter in memory", memory_slope(build, 200, 2200)),
        ("service counted", time_slope(add, 1000, 21000)),
    ]


def _milliseconds(function: Callable[[], object]) -> str:
    values = [seconds_of(function) * 1000 for _ in range(REPEATS)]
    return median_and_spread(values) + " ms"


def main(arguments: list[str]) -> None:
    """Print all slopes."""
    rows = [
        *heartbeat_rows(),
        *owner_rows(),
        *table_rows(),
        *target_rows(),
        *step_rows(),
        *usage_rows(),
    ]
    print_table(("what", "median (least..greatest) of 5 runs"), rows)
