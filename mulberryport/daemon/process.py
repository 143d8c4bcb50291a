"""One daemon, assembled from its settings."""

import signal
from typing import Any

import eventlet
import eventlet.event
from attrs import define, field

from ..distribution import CLEANUP_PERIOD_S, Distribution, ShardCleanup
from ..gateway import CHECK_PERIOD_S, CallerServer, Gateway, RequestAbortedError
from ..idempotency import IdempotencyService
from ..leases import DutyKeeper
from ..membership import HEARTBEAT_PERIOD_S, Member, Members, new_incarnation
from ..orders import CapacityPlanner, DemandTracker, OrderService
from ..peering import Peers, PeerServer
from ..rollouts import RolloutService
from ..rollouts.app import TrainerInterface
from ..runtime import TimerService
from ..runtime.wsgi import listen, serve
from ..settings import DaemonSettings
from ..store import StoreClient
from ..tables import SnapshotHolder
from ..targets import Dispatcher, TargetDirectory
from ..targets.load_gossip import LoadGossip
from ..targets.poller import POLL_PERIOD_S, LoadPoller, refresh_vm_list
from ..targets.traffic import add_traffic, apply_traffic
from ..telemetry import configure, log
from ..telemetry import define as define_event
from ..usage import UsageCounters, UsageReplicator, UsageReporter, WindowArchive
from ..weights import WeightService
from .heartbeats import Heartbeats
from .operator import OperatorInterface

__all__ = ["Daemon"]

DAEMON_STARTED = define_event(200, "daemon_started", "info", "The daemon serves.")
DAEMON_STOPPING = define_event(
    201, "daemon_stopping", "info", "A graceful shutdown began."
)
DAEMON_STOPPED = define_event(202, "daemon_stopped", "info", "The daemon stops now.")

DRAIN_TIMEOUT = define_event(
    203, "drain_timeout", "error", "Requests were broken off at the drain timeout."
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
# For requests that were broken off to write the end of their answers.
BREAK_TIMEOUT_S = 2.0


@define(eq=False)
class Daemon:
    """All parts of one daemon.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    """

    settings: DaemonSettings
    holder: SnapshotHolder = field(factory=SnapshotHolder)
    directory: TargetDirectory = field(factory=TargetDirectory)
    timers: TimerService = field(factory=TimerService)
    members: Members = field(init=False)
    store: StoreClient = field(init=False)
    distribution: Distribution = field(init=False)
    peers: Peers = field(init=False)
    peer_server: PeerServer = field(init=False)
    keeper: DutyKeeper = field(init=False)
    counters: UsageCounters = field(init=False)
    replicator: UsageReplicator = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    rollouts: RolloutService = field(init=False)
    weights: WeightService = field(init=False)
    poller: LoadPoller = field(init=False)
    sharing: LoadGossip = field(init=False)
    demands: DemandTracker = field(init=False)
    orders: OrderService = field(init=False)
    reporters: list[UsageReporter] = field(init=False)
    idempotency: IdempotencyService = field(init=False)
    gateway: Gateway = field(init=False)
    caller_server: CallerServer = field(init=False)
    _stopping: bool = False
    _stopped: eventlet.event.Event = field(factory=eventlet.event.Event)

    def __attrs_post_init__(self) -> None:
        """Connect the parts; nothing starts yet."""
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
        # A client of its own counts the calls that distribution makes.
        reader = StoreClient(
            platform.store, platform.timeout, credentials.platform_token
        )
        self.distribution = Distribution(reader, self.holder, self.members)
        heartbeats = Heartbeats(self.members, self.holder, self.distribution)
        self.peers = Peers(
            self.members, credentials.peer_token, heartbeats.make, heartbeats.take
        )
        heartbeats.peers = self.distribution.peers = self.peers
        self.peer_server = PeerServer(vm.peer_address, credentials.peer_token)
        self.keeper = DutyKeeper(self.store, self.members)
        self.counters = UsageCounters(
            vm.id, self.members.self_member.incarnation, usage.window, usage.shards
        )
        self.replicator = UsageReplicator(self.counters, self.members, self.peers)
        self.dispatcher = Dispatcher(self.directory, vm.zone)
        self.rollouts = RolloutService(
            self.members, self.peers, self.dispatcher, self.counters, self.holder
        )
        self.weights = WeightService(self.store, self.keeper, self.directory)
        self.poller = LoadPoller(self.directory, self.members)
        self.sharing = LoadGossip(self.directory, self.members, self.poller)
        heartbeats.contributors.append(
            lambda heartbeat, peer: self.distribution.add_report(heartbeat, peer.vm)
        )
        heartbeats.contributors.append(self.sharing.add_loads)
        heartbeats.listeners.append(self.sharing.apply_heartbeat)
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
            self.keeper,
            self.directory,
            CapacityPlanner(self.directory, self.demands),
            platform.orders,
            platform.orders_check_fencing,
        )
        self.reporters = [self._reporter(shard) for shard in range(usage.shards)]
        self.idempotency = IdempotencyService(self.members, self.peers.call)
        self.holder.subscribe(self.directory.apply_snapshot)
        self.holder.subscribe(self.dispatcher.apply_snapshot)
        self.idempotency.register(self.peer_server)
        self.peer_server.register("Exchange", heartbeats.answer)
        self.replicator.register(self.peer_server)
        self.distribution.register(self.peer_server)
        self.rollouts.register(self.peer_server)

    def run(self) -> None:
        """Serve until a signal asks for a stop."""
        vm, platform = self.settings.vm, self.settings.platform
        # The stream stays open for as long as the process runs.
        stream = open(vm.log_file, "ab", buffering=0) if vm.log_file else None  # noqa: SIM115
        configure(vm.id, stream, vm.log_level)
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        self.peer_server.start()
        self.peers.update()
        eventlet.spawn_n(self.distribution.run)
        subscribe = self.timers.subscribe
        subscribe("peers", HEARTBEAT_PERIOD_S, self.peers.update)
        subscribe("members", HEARTBEAT_PERIOD_S, self.members.expire)
        subscribe("loads", POLL_PERIOD_S, self.poller.run_once)
        subscribe("told loads", POLL_PERIOD_S, self.sharing.remove_stale_entries)
        subscribe("queues", QUEUE_PERIOD_S, self.dispatcher.dispatch_waiting)
        subscribe(
            "vms",
            VM_LIST_PERIOD_S,
            lambda: refresh_vm_list(self.directory, platform.vms, platform.timeout),
        )
        subscribe("keys", KEYS_PERIOD_S, self.distribution.note_keys_usable)
        subscribe("idempotency", HEARTBEAT_PERIOD_S, self.idempotency.turn)
        subscribe("duties", DUTY_PERIOD_S, self.keeper.turn)
        cleanup = ShardCleanup(self.store, self.keeper.duty("config-cleanup"))
        subscribe("cleanup", CLEANUP_PERIOD_S, cleanup.turn)
        subscribe("steps", STEPS_PERIOD_S, self.rollouts.review)
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
            ),
        )
        gateway = Gateway(
            self.holder,
            self.dispatcher,
            self.counters,
            self.distribution.keys_usable,
            TrainerInterface(
                self.holder,
                self.rollouts,
                self.weights,
                self.distribution.keys_usable,
            ),
            may_retry=self.dispatcher.may_retry,
            idempotency=self.idempotency,
        )
        self.gateway = gateway
        self.caller_server = CallerServer(listen(vm.caller_address), gateway)
        self.caller_server.start()
        subscribe("requests", CHECK_PERIOD_S, gateway.active.check)
        log(DAEMON_STARTED, zone=vm.zone, caller_address=vm.caller_address)
        self._stopped.wait()

    def stop(self) -> None:
        """Stop gracefully: finish what runs, then release duties and exit."""
        if self._stopping:
            return
        self._stopping = True
        log(DAEMON_STOPPING)
        self.members.leave()
        self.keeper.release_all()
        # Until the balancer has noticed, requests are served, and each answer asks
        # its caller to open its next connection elsewhere.
        self.gateway.close_connections()
        eventlet.sleep(self.settings.vm.drain_delay)
        self.caller_server.stop_accepting()
        self.gateway.refuse_requests()
        if not self.caller_server.wait_idle(self.settings.vm.drain_timeout):
            log(DRAIN_TIMEOUT, running=self.caller_server.busy)
            self.gateway.active.abort_all(
                RequestAbortedError(503, "this daemon is stopping")
            )
            self.caller_server.wait_idle(BREAK_TIMEOUT_S)
        self.idempotency.hand_over()
        self.rollouts.review()
        self.replicator.flush(USAGE_FLUSH_TIMEOUT_S)
        self.timers.stop()
        self.peers.stop()
        self.peer_server.stop()
        log(DAEMON_STOPPED)
        self._stopped.send(True)

    def not_ready_reasons(self) -> list[str]:
        """Return why requests should not be sent here; empty if they may be."""
        reasons = []
        if self._stopping:
            reasons.append("the daemon is stopping")
        if not self.holder.snapshot.revision:
            reasons.append("no configuration was received yet")
        if not self.distribution.keys_usable():
            reasons.append("keys cannot be checked")
        return reasons

    def state(self) -> dict[str, Any]:
        """Return the daemon's state for operators."""
        snapshot = self.holder.snapshot
        return {
            "vm": self.settings.vm.id,
            "zone": self.settings.vm.zone,
            "revision": snapshot.revision,
            "change_id": snapshot.change_id,
            "confirmation_age": min(self.holder.confirmation_age, 1e9),
            "store_readable": self.distribution.store_readable,
            "configuration_calls": self.distribution.store.calls,
            "keys_usable": self.distribution.keys_usable(),
            "members": [member.vm for member in self.members.live()],
            "duties": [duty.name for duty in self.keeper.duties if duty.held],
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
            "orders": self.orders.state(),
            "steps": self.rollouts.describe(),
        }

    def _reporter(self, shard: int) -> UsageReporter:
        usage = self.settings.usage
        return UsageReporter(
            self.keeper.duty(f"usage/{shard}"),
            WindowArchive(shard, self.store),
            self.counters,
            self.members,
            self.peers,
            self.settings.platform.usage,
            usage.grace,
        )

    def _on_signal(self, *_: object) -> None:
        eventlet.spawn_n(self.stop)
