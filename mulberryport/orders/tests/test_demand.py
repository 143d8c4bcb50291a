"""Tests of the exchange of demand reports between daemons."""

from ...peering import peer_pb2
from ...routing import LoadReport
from ...tables import Pool, Snapshot, Tables, TargetSpec
from ...targets import TargetDirectory
from ..demand import DemandTracker


def make_tracker(vm: str, queued: int) -> DemandTracker:
    target = TargetSpec("engine1", "127.0.0.1:1", "rosario")
    pool = Pool(
        name="drafting", kind="model-engine", targets=(target,), zones=("rosario",)
    )
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"drafting": pool})))
    directory.record_poll_response(
        "engine1", LoadReport(running=7, waiting=2, capacity=16)
    )
    return DemandTracker(vm, directory, lambda name: queued)


def test_heartbeats_report_queued_and_non_restartable_requests():
    # Guards against sizing from the demand of a single daemon, and against a heartbeat
    # that raises at its receiver and thereby ends the peer stream.
    holder, other = make_tracker("vm1", 3), make_tracker("vm2", 5)
    contributors, listeners = [], []
    other.attach_to_heartbeats(contributors, [])
    holder.attach_to_heartbeats([], listeners)
    other.directory.request_started("engine1")
    other.directory.request_started("engine1", restartable=True)
    for _ in range(2):
        heartbeat = peer_pb2.Heartbeat(sender=peer_pb2.Sender(vm="vm2"))
        for contribute in contributors:
            contribute(heartbeat, None)
        for listen in listeners:
            listen(heartbeat)
    demand = holder.pool_demand("drafting")
    assert (demand.running, demand.queued, demand.capacity) == (9, 8, 16)
    assert holder.non_restartable_peak("drafting") == 1
