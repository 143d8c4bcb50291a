"""Exchange of demand between daemons."""

from ...peering import peer_pb2
from ...routing import LoadReport
from ...tables import Pool, Snapshot, Tables, TargetSpec
from ...targets import TargetDirectory
from ..demand import DemandBoard


def make_board(vm: str, queued: int) -> DemandBoard:
    target = TargetSpec("engine1", "127.0.0.1:1", "rosario")
    pool = Pool(
        name="drafting", kind="model-engine", targets=(target,), zones=("rosario",)
    )
    directory = TargetDirectory()
    directory.apply_snapshot(Snapshot(1, "c", Tables(pools={"drafting": pool})))
    directory.record_poll_answer(
        "engine1", LoadReport(running=7, waiting=2, capacity=16)
    )
    return DemandBoard(vm, directory, lambda name: queued)


def test_heartbeats_bring_queues_and_fixed_work_to_the_holder():
    # Guards against sizes from the view of one daemon, and against a heartbeat that
    # fails at its receiver and ends the stream.
    holder, other = make_board("vm1", 3), make_board("vm2", 5)
    contributors, listeners = [], []
    other.connect(contributors, [])
    holder.connect([], listeners)
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
    assert holder.fixed_peak("drafting") == 1
