"""Marginal memory, CPU and network cost per member, target, key and sample.

Most slopes are measured in this process as the difference between two sizes, which
cancels constant costs.
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

from ._report import format_median_and_range, print_table

REPETITIONS = 5
# HTTP/2 frame header, gRPC message prefix, TCP header and IP header.
MESSAGE_OVERHEAD_BYTES = 9 + 5 + 32 + 20


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes allocated for an object and all that it references."""
    gc.collect()
    tracemalloc.start()
    built_object = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built_object
    return size


def cpu_seconds(function: Callable[[], object]) -> float:
    """Return the CPU time of one call."""
    start = time.process_time()
    function()
    return time.process_time() - start


def memory_slope(build: Callable[[int], object], small: int, large: int) -> str:
    """Return bytes per unit of size, as median and range."""
    slopes = [
        (allocated_bytes(lambda: build(large)) - allocated_bytes(lambda: build(small)))
        / (large - small)
        for _ in range(REPETITIONS)
    ]
    return format_median_and_range(slopes) + " B"


def time_slope(run: Callable[[int], object], small: int, large: int) -> str:
    """Return CPU microseconds per unit of size, as median and range."""
    slopes = [
        (cpu_seconds(lambda: run(large)) - cpu_seconds(lambda: run(small)))
        / (large - small)
        * 1e6
        for _ in range(REPETITIONS)
    ]
    return format_median_and_range(slopes) + " us"


def build_members(count: int) -> Members:
    """Return a member list over 27 zones with a heartbeat received from each member."""
    members = Members(Member("vm0", "zone0", "127.0.0.1:1", 1))
    for number in range(1, count + 1):
        address = f"10.0.{number // 250}.{number % 250}:7000"
        zone = f"zone{number % 27}"
        members.record_heartbeat(
            Member(f"vm{number}", zone, address, 1, False, boottime())
        )
    return members


def build_heartbeats(members: Members) -> Heartbeats:
    """Return the heartbeat service of a daemon with these members."""
    holder = SnapshotHolder()
    distribution = Distribution(StoreClient("http://127.0.0.1:1"), holder, members)
    heartbeats = Heartbeats(members, holder, distribution)
    heartbeats.peers = Peers(
        members, "token", heartbeats.make_heartbeat, heartbeats.apply_heartbeat
    )
    return heartbeats


def heartbeat_rows() -> list[tuple[str, str]]:
    """Return the size and CPU time of heartbeats and the memory of a member."""
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
    bytes_per_member = first.ByteSize() - steady.ByteSize()
    return [
        ("steady heartbeat on the wire", f"{steady_bytes} B"),
        (
            "member in news, on the wire",
            f"{bytes_per_member / max(1, len(first.members)):.0f} B",
        ),
        ("heartbeat made and taken", time_slope(exchange, 100, 2100)),
        ("member in memory", memory_slope(build_members, 100, 600)),
    ]


def owner_rows() -> list[tuple[str, str]]:
    """Return the CPU time of an owner lookup."""

    def look_up_owners(members: Members, count: int) -> None:
        for number in range(count):
            members.owners(f"step {number}", 2)

    rows = []
    for size in (8, 510):
        members = build_members(size)
        cost = time_slope(lambda n, m=members: look_up_owners(m, n), 10, 210)
        rows.append((f"owners of a key among {size} members", cost))
    return rows


def build_tables(targets: int) -> Tables:
    """Return tables with one pool, route, workspace and key per 20 targets."""
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
    """Return the cost of the tables per target."""
    tables_1600 = build_tables(1600)
    shards = split_tables(tables_1600)
    size = sum(map(len, shards.values()))

    def build_holder(targets: int) -> SnapshotHolder:
        tables = join_shards(split_tables(build_tables(targets)))
        holder = SnapshotHolder()
        holder.adopt(Snapshot(1, "a", tables), split_tables(tables))
        return holder

    return [
        ("target in the tables, in the store", f"{size / 1600:.0f} B"),
        ("target in the tables, in memory", memory_slope(build_holder, 400, 1600)),
        (
            "joining the shards of 1,600 targets",
            _measure_milliseconds(lambda: join_shards(shards)),
        ),
    ]


def target_rows() -> list[tuple[str, str]]:
    """Return the memory and CPU cost of load reports per target."""

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
    """Return the cost of an open step per slot and per sample of 1,000 tokens."""

    def build(samples: int) -> StepState:
        groups = tuple(GroupSpec(f"prompt {n}", 8, 1000) for n in range(samples // 8))
        spec = StepSpec(StepId("w", "t", 1), "r", "p", 2, 1, groups)
        return StepState(spec)

    def sample(number: int) -> Sample:
        tokens = tuple(f"t{number}-{n}" for n in range(1000))
        return Sample(
            number // 8, number % 8, tokens, (VersionSpan(1, 1000),), "engine1"
        )

    def build_filled(samples: int) -> StepState:
        step = build(samples)
        for number in range(samples):
            step.fill_slot(sample(number))
        return step

    step = build_filled(4096)

    def pull() -> None:
        step.pull(1, bytes(512), 16)

    return [
        ("open slot in memory", memory_slope(build, 800, 4000)),
        ("finished sample of 1,000 tokens", memory_slope(build_filled, 80, 400)),
        ("pull of 16 samples of 4,096", _measure_milliseconds(pull)),
    ]


def usage_rows() -> list[tuple[str, str]]:
    """Return the memory and CPU cost of usage counters."""
    counters = UsageCounters("vm1", 1, 60)

    def build(count: int) -> UsageCounters:
        usage_counters = UsageCounters("vm1", 1, 60)
        for number in range(count):
            usage_counters.add(f"workspace{number}", "pool", requests=1)
        return usage_counters

    def add(count: int) -> None:
        for _ in range(count):
            counters.add("workspace", "pool", requests=1, tokens=100)

    return [
        ("usage counter in memory", memory_slope(build, 200, 2200)),
        ("service counted", time_slope(add, 1000, 21000)),
    ]


def _measure_milliseconds(function: Callable[[], object]) -> str:
    values = [cpu_seconds(function) * 1000 for _ in range(REPETITIONS)]
    return format_median_and_range(values) + " ms"


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
