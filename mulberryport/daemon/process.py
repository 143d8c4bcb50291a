"""The daemon: assembled from its settings, started and stopped gracefully."""

from typing import Any

import eventlet
import eventlet.event
from attrs import define, field

from ..distribution import CLEANUP_PERIOD_S, Distribution, ShardCleanup
from ..gateway import CHECK_PERIOD_S, CallerServer, Gateway, RequestAbortedError
from ..idempotency import IdempotencyService
from ..leases import DutyManager
from ..membership import HEARTBEAT_PERIOD_S, Member, Members, new_incarnation
from ..orders import CapacityPlanner, DemandTracker, OrderService
from ..peering import Peers, PeerServer
from ..quarantine import CrashAdministration, CrashExchange, CrashTable
from ..rollouts import RolloutService
from ..rollouts.app import TrainerInterface
from ..runtime import TimerService
from ..runtime.signals import exit_process, on_stop_signal
from ..runtime.wsgi import listen, serve
from ..settings import DaemonSettings
from ..store import StoreClient
from ..tables import SnapshotHolder
from ..targets import Dispatcher, TargetDirectory
from ..targets.load_gossip import LoadGossip
from ..targets.poller import POLL_PERIOD_S, LoadPoller, refresh_vm_list
from ..targets.traffic import add_traffic, apply_traffic
from ..telemetry import configure_logging, log
from ..telemetry import define as define_event
from ..usage import UsageCounters, UsageReplicator, UsageReporter, WindowArchive
from ..weights import WeightService
from .heartbeats import Heartbeats
from .operator import OperatorInterface

__all__ = ["Daemon"]

DAEMON_STARTED = define_event(
    200, "daemon_started", "info", "The daemon serves requests."
)
DAEMON_STOPPING = define_event(
    201, "daemon_stopping", "info", "A graceful shutdown started."
)
DAEMON_STOPPED = define_event(202, "daemon_stopped", "info", "The daemon stopped.")

DRAIN_TIMEOUT = define_event(
    203, "drain_timeout", "error", "Requests were aborted at the drain timeout."
)

VM_LIST_PERIOD_S = 1.0
DUTY_PERIOD_S = 0.5
KEYS_PERIOD_S = 0.5
STEPS_PERIOD_S = 0.5
QUEUE_PERIOD_S = 0.1
WEIGHTS_PERIOD_S = 0.5
ORDERS_PERIOD_S = 1.0
USAGE_PERIOD_S = 1.0
USAGE_FLUSH_TIMEOUT_S = 2.0
# Time for aborted requests to write the end of their responses.
ABORT_TIMEOUT_S = 2.0


@define(eq=False)
class Daemon:
    """All components of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    """

    settings: DaemonSettings
    snapshot_holder: SnapshotHolder = field(factory=SnapshotHolder)
    directory: TargetDirectory = field(factory=TargetDirectory)
    timers: TimerService = field(factory=TimerService)
    crashes: CrashTable = field(factory=CrashTable)
    crash_administration: CrashAdministration = field(init=False)
    members: Members = field(init=False)
    store: StoreClient = field(init=False)
    distribution: Distribution = field(init=False)
    peers: Peers = field(init=False)
    peer_server: PeerServer = field(init=False)
    duty_manager: DutyManager = field(init=False)
    counters: UsageCounters = field(init=False)
    replicator: UsageReplicator = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    rollouts: RolloutService = field(init=False)
    weights: WeightService = field(init=False)
    poller: LoadPoller = field(init=False)
    load_gossip: LoadGossip = field(init=False)
    demands: DemandTracker = field(init=False)
    orders: OrderService = field(init=False)
    reporters: list[UsageReporter] = field(init=False)
    idempotency: IdempotencyService = field(init=False)
    gateway: Gateway = field(init=False)
    caller_server: CallerServer = field(init=False)
    _stopping: bool = False
    _stopped: eventlet.event.Event = field(factory=eventlet.event.Event)

    def __attrs_post_init__(self) -> None:
        """Create and connect the components; none of them is started yet."""
        vm, platform = self.settings.vm, self.settings.platform
        credentials, usage = self.settings.credentials, self.settings.usage
        self.members = Members(
            Member(vm.id, vm.zone, vm.peer_address, new_incarnation())
        )
        for seed in self.settings.peers.seeds:
            self.members.add_seed(seed.vm, seed.zone, seed.peer_address)
        self.store = StoreClient(
            platform.store, platform.timeout, credentials.platform_token
        )
        # A separate client, so that its counter covers the calls of distribution only.
        config_store = StoreClient(
            platform.store, platform.timeout, credentials.platform_token
        )
        self.distribution = Distribution(
            config_store, self.snapshot_holder, self.members
        )
        heartbeats = Heartbeats(self.members, self.snapshot_holder, self.distribution)
        self.peers = Peers(
            self.members,
            credentials.peer_token,
            heartbeats.make_heartbeat,
            heartbeats.apply_heartbeat,
        )
        heartbeats.peers = self.distribution.peers = self.peers
        crash_exchange = CrashExchange(self.crashes, self.members, self.peers.sender)
        crash_exchange.attach(heartbeats.contributors, heartbeats.listeners)
        self.peers.notices = crash_exchange.notices
        self.peer_server = PeerServer(
            vm.peer_address, credentials.peer_token, crash_exchange.notices
        )
        self.crash_administration = CrashAdministration(self.crashes)
        self.crash_administration.register(self.peer_server)
        self.duty_manager = DutyManager(self.store, self.members)
        self.counters = UsageCounters(
            vm.id, self.members.self_member.incarnation, usage.window, usage.shards
        )
        self.replicator = UsageReplicator(self.counters, self.members, self.peers)
        self.dispatcher = Dispatcher(self.directory, vm.zone)
        self.rollouts = RolloutService(
            self.members,
            self.peers,
            self.dispatcher,
            self.counters,
            self.snapshot_holder,
        )
        self.weights = WeightService(self.store, self.duty_manager, self.directory)
        self.poller = LoadPoller(self.directory, self.members)
        self.load_gossip = LoadGossip(self.directory, self.members, self.poller)
        heartbeats.contributors.append(
            lambda heartbeat, peer: self.distribution.add_report(heartbeat, peer.vm)
        )
        heartbeats.contributors.append(self.load_gossip.add_loads)
        heartbeats.listeners.append(self.load_gossip.apply_heartbeat)
        heartbeats.contributors.append(
            lambda heartbeat, peer: add_traffic(heartbeat, self.dispatcher)
        )
        heartbeats.listeners.append(
            lambda heartbeat: apply_traffic(heartbeat, self.dispatcher)
        )
        self.demands = DemandTracker(
            vm.id, self.directory, self.dispatcher.waiting_count
        )
        self.demands.attach_to_heartbeats(heartbeats.contributors, heartbeats.listeners)
        self.orders = OrderService(
            self.store,
            self.duty_manager,
            self.directory,
            CapacityPlanner(self.directory, self.demands),
            platform.orders,
            platform.orders_check_fencing,
        )
        self.reporters = [
            self._build_usage_reporter(shard) for shard in range(usage.shards)
        ]
        self.idempotency = IdempotencyService(self.members, self.peers.call)
        self.snapshot_holder.subscribe(self.directory.apply_snapshot)
        self.snapshot_holder.subscribe(self.dispatcher.apply_snapshot)
        self.idempotency.register(self.peer_server)
        self.peer_server.register("Exchange", heartbeats.reply_to_heartbeat)
        self.replicator.register(self.peer_server)
        self.distribution.register(self.peer_server)
        self.rollouts.register(self.peer_server)

    def run(self) -> None:
        """Start all components and serve until a signal stops the daemon."""
        vm, platform = self.settings.vm, self.settings.platform
        # The stream stays open for as long as the process runs.
        stream = open(vm.log_file, "ab", buffering=0) if vm.log_file else None  # noqa: SIM115
        configure_logging(vm.id, stream, vm.log_level)
        on_stop_signal(self._on_signal)
        self.peer_server.start()
        self.peers.update_heartbeat_tasks()
        eventlet.spawn_n(self.distribution.run)
        subscribe = self.timers.subscribe
        subscribe("peers", HEARTBEAT_PERIOD_S, self.peers.update_heartbeat_tasks)
        subscribe("members", HEARTBEAT_PERIOD_S, self.members.expire)
        subscribe("loads", POLL_PERIOD_S, self.poller.run_once)
        subscribe("told loads", POLL_PERIOD_S, self.load_gossip.remove_stale_entries)
        subscribe("queues", QUEUE_PERIOD_S, self.dispatcher.dispatch_waiting)
        subscribe(
            "vms",
            VM_LIST_PERIOD_S,
            lambda: refresh_vm_list(self.directory, platform.vms, platform.timeout),
        )
        subscribe("keys", KEYS_PERIOD_S, self.distribution.log_keys_usable_changes)
        subscribe("idempotency", HEARTBEAT_PERIOD_S, self.idempotency.run_once)
        subscribe("duties", DUTY_PERIOD_S, self.duty_manager.run_once)
        cleanup = ShardCleanup(
            self.store, self.duty_manager.contend_for("config-cleanup")
        )
        subscribe("cleanup", CLEANUP_PERIOD_S, cleanup.run_once)
        subscribe("steps", STEPS_PERIOD_S, self.rollouts.reconcile)
        subscribe("weights", WEIGHTS_PERIOD_S, self.weights.run_once)
        subscribe("orders", ORDERS_PERIOD_S, self.orders.reconcile)
        subscribe("usage replicas", USAGE_PERIOD_S, self.replicator.update_replicas)
        for reporter in self.reporters:
            subscribe(
                f"usage {reporter.shard}",
                USAGE_PERIOD_S,
                reporter.report_closed_windows,
            )
        serve(
            listen(vm.operator_address),
            OperatorInterface(
                self.settings.credentials.operator_token,
                self.not_ready_reasons,
                self.state,
                self.crash_administration.lift,
            ),
        )
        gateway = Gateway(
            self.snapshot_holder,
            self.dispatcher,
            self.counters,
            self.distribution.keys_usable,
            TrainerInterface(
                self.snapshot_holder,
                self.rollouts,
                self.weights,
                self.distribution.keys_usable,
            ),
            may_retry=self.dispatcher.may_retry,
            idempotency=self.idempotency,
            crashes=self.crashes,
        )
        self.gateway = gateway
        self.caller_server = CallerServer(listen(vm.caller_address), gateway)
        self.caller_server.start()
        subscribe("requests", CHECK_PERIOD_S, gateway.active.check)
        log(DAEMON_STARTED, zone=vm.zone, caller_address=vm.caller_address)
        self._stopped.wait()
        exit_process()

    def stop(self) -> None:
        """Release duties, drain the running requests, then stop all components."""
        if self._stopping:
            return
        self._stopping = True
        log(DAEMON_STOPPING)
        self.members.leave()
        self.duty_manager.release_all()
        # Requests are still served until the load balancer has detected the stop; each
        # response tells its caller to open a new connection for the next request.
        self.gateway.close_connections()
        eventlet.sleep(self.settings.vm.drain_delay)
        self.caller_server.stop_accepting()
        self.gateway.refuse_requests()
        if not self.caller_server.wait_idle(self.settings.vm.drain_timeout):
            log(DRAIN_TIMEOUT, running=self.caller_server.busy)
            self.gateway.active.abort_all(
                RequestAbortedError(503, "this daemon is stopping")
            )
            self.caller_server.wait_idle(ABORT_TIMEOUT_S)
        self.idempotency.hand_over()
        self.rollouts.reconcile()
        self.replicator.flush(USAGE_FLUSH_TIMEOUT_S)
        self.timers.stop()
        self.peers.stop()
        self.peer_server.stop()
        log(DAEMON_STOPPED)
        self._stopped.send(True)

    def not_ready_reasons(self) -> list[str]:
        """Return why this daemon is not ready for requests; empty if it is ready."""
        reasons = []
        if self._stopping:
            reasons.append("the daemon is stopping")
        if not self.snapshot_holder.snapshot.revision:
            reasons.append("no configuration was received yet")
        if not self.distribution.keys_usable():
            reasons.append("keys cannot be checked")
        return reasons

    def state(self) -> dict[str, Any]:
        """Return the daemon's state, as the operator port serves it."""
        snapshot = self.snapshot_holder.snapshot
        return {
            "vm": self.settings.vm.id,
            "zone": self.settings.vm.zone,
            "revision": snapshot.revision,
            "change_id": snapshot.change_id,
            "confirmation_age": min(self.snapshot_holder.confirmation_age, 1e9),
            "store_readable": self.distribution.store_readable,
            "configuration_calls": self.distribution.store.calls,
            "keys_usable": self.distribution.keys_usable(),
            "members": [member.vm for member in self.members.live()],
            "duties": [duty.name for duty in self.duty_manager.duties if duty.is_held],
            "targets": [
                {
                    "id": view.id,
                    "pool": view.pool,
                    "zone": view.zone,
                    "healthy": view.healthy,
                    "leaving": view.leaving,
                    "in_flight": view.in_flight,
                    "version": view.report.version if view.report else None,
                }
                for view in self.directory.all_views()
            ],
            "blocked_requests": self.crash_administration.describe(blocked=True),
            "suspect_requests": self.crash_administration.describe(blocked=False),
            "orders": self.orders.state(),
            "steps": self.rollouts.describe(),
        }

    def _build_usage_reporter(self, shard: int) -> UsageReporter:
        usage = self.settings.usage
        return UsageReporter(
            self.duty_manager.contend_for(f"usage/{shard}"),
            WindowArchive(shard, self.store),
            self.counters,
            self.members,
            self.peers,
            self.settings.platform.usage,
            usage.grace,
        )

    def _on_signal(self, *_: object) -> None:
        eventlet.spawn_n(self.stop)
