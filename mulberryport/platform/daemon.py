"""Entry daemon on the platform, assembled from its settings."""

import signal
import sys
from collections.abc import Iterable
from typing import Any

import eventlet
import eventlet.event
from attrs import define, field

from ..coordination import Change, Session, SessionDuty
from ..daemon.heartbeats import Heartbeats
from ..daemon.metrics import (
    set_crash_gauges,
    set_evacuation_gauges,
    set_rate_limit_gauges,
)
from ..gateway import CallerServer, Gateway, RequestAbortedError
from ..jobs import EngineClient, JobService
from ..jobs.repository import LIVE_PREFIX
from ..journal import JournalClient
from ..membership import (
    HEARTBEAT_PERIOD_S,
    FleetClock,
    Member,
    Members,
    new_incarnation,
    rendezvous_order,
)
from ..peering import Peers, PeerServer, peer_pb2
from ..quarantine import CrashAdministration, CrashExchange, CrashTable
from ..runtime import TimerService
from ..runtime.clock import boottime, wall_time
from ..runtime.signals import exit_process, on_stop_signal
from ..runtime.wsgi import StartResponse, listen, respond, serve
from ..streams import OriginCopies, StreamOrigins
from ..tables import SnapshotHolder
from ..targets import Dispatcher, TargetDirectory
from ..targets.connections import ConnectionPool
from ..targets.permits import PermitExchange
from ..targets.speed_exchange import SpeedExchange
from ..targets.traffic import TrafficExchange
from ..telemetry import configure_logging, log
from ..telemetry import define as define_event
from ..telemetry.metrics import export_metrics
from ..telemetry.sink import LogSink
from ..usage import UsageCounters, UsageReplicator
from . import names
from .batches import BatchInterface
from .configuration import CONFIGURATION_KEY, decode_configuration
from .duties import ControlDuties
from .engines import EngineCalls
from .ingress import make_target_protocol, platform_dialect
from .mirrors import StoreMirrors
from .relays import StoreRelays
from .settings import PEER_TOKEN, EntrySettings, load_entry_settings
from .store import PlatformStore

__all__ = ["EntryDaemon"]

ENTRY_STARTED = define_event(
    1440, "entry_started", "info", "The daemon accepts requests."
)
ENTRY_STOPPING = define_event(
    1441, "entry_stopping", "info", "Graceful shutdown started."
)
ENTRY_STOPPED = define_event(
    1442, "entry_stopped", "info", "Graceful shutdown finished; the daemon exits."
)
SETTINGS_RELOADED = define_event(
    1443, "settings_reloaded", "info", "A reload of the settings file finished."
)
CONFIGURATION_MALFORMED = define_event(
    1411,
    "configuration_malformed",
    "error",
    "The configuration in the store is malformed and was ignored.",
)
READINESS_CHANGED = define_event(
    1444, "readiness_changed", "info", "The readiness of the daemon changed."
)

SERVING = define_event(
    1445,
    "serving",
    "info",
    "The daemon has read what it needs, and peers may give it jobs.",
)

CONTROL_PERIOD_S = 0.2
JOBS_PERIOD_S = 0.2
# How long a daemon counts as ready while it lacks a configuration that others have. The
# platform's bound is 2 s; a stalled watch is replaced within one.
MAX_BEHIND_S = 3.0
# A watch of the configuration ends within half of this time.
MAX_WATCH_SILENCE_S = 60.0
# Items of a job that has ended must not be sent for more than 3 s. A provider answers
# every 1.5 s, and changes are combined for 0.4 s.
MAX_LIVE_KEYS_LAG_S = 2.2
SERVING_POLL_INTERVAL_S = 0.1
QUEUES_PERIOD_S = 0.1
REQUESTS_PERIOD_S = 0.1
REGISTRATIONS_PERIOD_S = 0.5
CONNECTIONS_PERIOD_S = 1.0
ORIGINS_PERIOD_S = 0.25
PROVIDERS_PERIOD_S = 0.2
# A daemon that has just started learns of the relays of its zone in two exchanges.
JOIN_STEP_S = 0.15
JOIN_STEPS = 8
USAGE_PERIOD_S = 1.0
# The load balancer probes readiness once per second and removes a daemon after two
# failed probes.
DRAIN_DELAY_S = 3.0
# Part of the grace period that is reserved for aborting unfinished requests. Requests
# that were accepted in time may need all of it but its last sixth, 1.3 s.
ABORT_MARGIN_S = 0.8
# Daemons try to acquire a free duty in rendezvous order, with this delay from one rank
# to the next.
DUTY_STAGGER_S = 0.3
CONTROL_DUTY = "control"


@define(eq=False)
class EntryDaemon:
    """Components of one entry daemon.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    settings_file : str
        Path of the settings file, for reloads.
    """

    settings: EntrySettings
    settings_file: str = ""
    timers: TimerService = field(factory=TimerService)
    snapshot_holder: SnapshotHolder = field(factory=SnapshotHolder)
    directory: TargetDirectory = field(factory=TargetDirectory)
    clock: FleetClock = field(factory=FleetClock)
    members: Members = field(init=False)
    store: PlatformStore = field(init=False)
    session: Session = field(init=False)
    mirrors: StoreMirrors = field(init=False)
    peers: Peers = field(init=False)
    peer_server: PeerServer = field(init=False)
    dispatcher: Dispatcher = field(init=False)
    counters: UsageCounters = field(init=False)
    replicator: UsageReplicator = field(init=False)
    connections: ConnectionPool = field(factory=ConnectionPool)
    crashes: CrashTable = field(factory=CrashTable)
    jobs: JobService = field(init=False)
    duty: SessionDuty = field(init=False)
    origins: StreamOrigins = field(init=False)
    gateway: Gateway = field(init=False)
    caller_server: CallerServer = field(init=False)
    _duties: ControlDuties = field(init=False)
    _store_relays: StoreRelays = field(init=False)
    _log_sink: LogSink = field(factory=lambda: LogSink(sys.stdout.fileno()))
    _stopping: bool = False
    _last_ready: bool = False
    _stopped: eventlet.event.Event = field(factory=eventlet.event.Event)

    def __attrs_post_init__(self) -> None:
        """Connect the components without starting them."""
        self._connect_peers()
        self._connect_store_mirrors()
        self._connect_services()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT has stopped the daemon."""
        vm = self.settings.vm
        configure_logging(vm.id, self._log_sink, vm.log_level)
        on_stop_signal(self._on_stop_signal)
        signal.signal(signal.SIGHUP, self._on_reload_signal)
        self.peer_server.start()
        eventlet.spawn_n(self._find_peers)
        self.mirrors.start()
        eventlet.spawn_n(self._wait_until_serving)
        self.session.start()
        self._start_timers()
        serve(listen(vm.readiness_address), self._serve_readiness)
        if vm.metrics_port:
            host = vm.readiness_address.rpartition(":")[0]
            serve(listen(f"{host}:{vm.metrics_port}"), self._serve_metrics)
        self.caller_server = CallerServer(
            listen(vm.caller_address),
            self.gateway,
            lambda: self.snapshot_holder.snapshot.tables.limits,
        )
        self.caller_server.start()
        log(ENTRY_STARTED, zone=vm.zone, caller_address=vm.caller_address)
        self._stopped.wait()
        exit_process()

    def stop(self) -> None:
        """Stop gracefully: hand over jobs and duties, finish requests, then exit."""
        if self._stopping:
            return
        self._stopping = True
        log(ENTRY_STOPPING)
        abort_at = boottime() + self.settings.vm.grace - ABORT_MARGIN_S
        self.members.leave()
        self.gateway.close_connections(abort_at)
        eventlet.spawn_n(self.jobs.hand_over)
        eventlet.sleep(DRAIN_DELAY_S)
        self.caller_server.stop_accepting()
        self.gateway.refuse_requests()
        if not self.caller_server.wait_idle(max(0.1, abort_at - boottime())):
            self.gateway.active.abort_all(
                RequestAbortedError(503, "this daemon is stopping")
            )
            self.caller_server.wait_idle(ABORT_MARGIN_S / 4)
        self.replicator.flush(ABORT_MARGIN_S / 4)
        self.timers.stop()
        with eventlet.Timeout(ABORT_MARGIN_S / 4, False):
            self.session.close()
        log(ENTRY_STOPPED)
        self._stopped.send(True)

    def not_ready_reasons(self) -> list[str]:
        """Return the reasons why this daemon is not ready; empty if it is."""
        reasons = []
        if self._stopping:
            reasons.append("the daemon is stopping")
        configuration = self.mirrors.configuration
        if configuration.behind_for_s > MAX_BEHIND_S:
            reasons.append("another daemon has a newer configuration")
        if configuration.silent_for_s > MAX_WATCH_SILENCE_S:
            reasons.append("the configuration is not followed")
        return reasons + self._unread()

    def _wait_until_serving(self) -> None:
        """Report in heartbeats that this daemon can serve, once it can.

        It then has the keys of the jobs too. Requests of callers do not need them, so
        they do not delay its readiness.
        """
        while self._unread() or not self.mirrors.live_keys.loaded:
            eventlet.sleep(SERVING_POLL_INTERVAL_S)
        self.members.set_serving(True)
        log(SERVING, revision=self.snapshot_holder.snapshot.revision)

    def _unread(self) -> list[str]:
        """Return what this daemon has not read yet of what requests need."""
        reasons = []
        if not self.snapshot_holder.snapshot.revision:
            reasons.append("no configuration was received yet")
        return reasons + self.mirrors.unread()

    def _connect_peers(self) -> None:
        vm = self.settings.vm
        self.members = Members(
            Member(vm.id, vm.zone, vm.peer_address, new_incarnation(), serving=False)
        )
        for seed in self.settings.peers.seeds:
            if seed.peer_address != vm.peer_address:
                self.members.add_seed(seed.vm, seed.zone, seed.peer_address)
        self.store = PlatformStore(self.settings.platform.store)
        self._store_relays = store_relays = StoreRelays(self.store, self.members)
        heartbeats = Heartbeats(self.members, self.snapshot_holder, store_relays)
        self.peers = Peers(
            self.members,
            PEER_TOKEN,
            heartbeats.make_heartbeat,
            heartbeats.apply_heartbeat,
        )
        heartbeats.peers = self.store.peers = self.peers
        self.store.relays = store_relays.available_relays
        crash_exchange = CrashExchange(self.crashes, self.members, self.peers.sender)
        crash_exchange.attach(heartbeats.contributors, heartbeats.listeners)
        self.peers.notices = crash_exchange.notices
        self.peer_server = PeerServer(
            vm.peer_address, PEER_TOKEN, crash_exchange.notices
        )
        CrashAdministration(self.crashes).register(self.peer_server)
        self.peer_server.register("Exchange", heartbeats.reply_to_heartbeat)
        self.store.register(self.peer_server)
        permits = PermitExchange(self.directory.rate_limits, self.members, self.peers)
        permits.register(self.peer_server)
        self.dispatcher = Dispatcher(
            self.directory,
            vm.zone,
            connected_targets=self.connections.connected_targets,
            acquire_permit=permits.acquire,
        )
        traffic = TrafficExchange(self.dispatcher, self.members)
        heartbeats.contributors += [
            traffic.add,
            self._add_wall_time,
            lambda heartbeat, peer: self.mirrors.add_revisions(heartbeat),
            store_relays.add_relays,
            permits.add_reports,
        ]
        heartbeats.listeners += [
            traffic.apply,
            self._apply_wall_time,
            lambda heartbeat: self.mirrors.apply_revisions(heartbeat),
            permits.apply_reports,
        ]
        SpeedExchange(self.dispatcher.speeds).attach(
            heartbeats.contributors, heartbeats.listeners
        )

    def _may_have_missed_ends(self) -> bool:
        """Whether jobs may have ended without this daemon knowing.

        While the store serves nobody, no job can end.
        """
        updated_at = boottime() - self.mirrors.live_keys_age_s()
        return self._store_relays.peers_answered_at > updated_at + MAX_LIVE_KEYS_LAG_S

    def _add_wall_time(self, heartbeat: peer_pb2.Heartbeat, peer: Member) -> None:
        heartbeat.wall = wall_time()
        if peer.zone == self.settings.vm.zone and self.members.is_relay():
            heartbeat.median_wall = self.clock.now()

    def _apply_wall_time(self, heartbeat: peer_pb2.Heartbeat) -> None:
        # Relays use the clocks themselves, so that no median is derived from another.
        use_median = heartbeat.median_wall and not self.members.is_relay()
        wall = heartbeat.median_wall if use_median else heartbeat.wall
        self.clock.add_sample(heartbeat.sender.vm, wall)

    def _connect_store_mirrors(self) -> None:
        self.session = Session(self.store)
        self.mirrors = StoreMirrors(
            self.store,
            self.members,
            self.peers,
            self.session,
            self.directory,
            self.dispatcher.dispatch_waiting,
            self.settings.platform.evacuation_ms > 0,
        )
        self.mirrors.register(self.peer_server)
        self.mirrors.configuration.subscribe(self._on_configuration)
        self.snapshot_holder.subscribe(self.directory.apply_snapshot)
        self.snapshot_holder.subscribe(self.dispatcher.apply_snapshot)
        member = self.members.self_member
        self.duty = SessionDuty(
            f"{LIVE_PREFIX}duty/{CONTROL_DUTY}",
            member.vm,
            member.incarnation,
            self.store,
            self.mirrors.live_keys,
            self.session,
            reacquire_delay_s=self.settings.platform.lease_ms / 1000,
            acquire_delay_s=self._duty_acquire_delay_s,
        )

    def _connect_services(self) -> None:
        vm, usage = self.settings.vm, self.settings.usage
        self.counters = UsageCounters(
            vm.id,
            self.members.self_member.incarnation,
            usage.window,
            now=self.clock.now,
        )
        # Responses do not wait for the replicas. With two replicas, little usage is
        # lost.
        self.replicator = UsageReplicator(
            self.counters, self.members, self.peers, max_wait=0.0
        )
        self.replicator.register(self.peer_server)
        engine_calls = EngineCalls(self.directory, self.connections)
        journal = JournalClient(
            self.mirrors.live_keys,
            self.peers,
            self.settings.platform.disk_losses + 1,
        )
        self.jobs = JobService(
            self.store,
            self.mirrors.live_keys,
            self.session,
            self.members,
            self.peers,
            self.dispatcher,
            lambda: self.snapshot_holder.snapshot,
            EngineClient(generate=engine_calls.generate, score=engine_calls.score),
            self.clock.now,
            self.settings.platform.retention,
            journal.persist,
            has_store_relays=lambda: bool(self.store.relays()),
            may_be_outdated=self._may_have_missed_ends,
            is_journaled=journal.holds,
        )
        self.jobs.register(self.peer_server)
        batches = BatchInterface(
            self.snapshot_holder,
            self.jobs,
            self.clock.now,
            lambda: self.mirrors.configuration.is_behind,
        )
        copies = OriginCopies(self.members, self.peers)
        copies.register(self.peer_server)
        self.origins = StreamOrigins(self.store, self.clock.now, self.directory, copies)
        self.gateway = Gateway(
            self.snapshot_holder,
            self.dispatcher,
            self.counters,
            lambda: True,
            lambda environ, start_response: [],
            is_behind=lambda: self.mirrors.configuration.is_behind,
            may_retry=self.dispatcher.may_retry,
            crashes=self.crashes,
            origins=self.origins,
            dialect=platform_dialect(
                make_target_protocol(self.directory, self.connections),
                batches.intercept,
                batches.submit,
            ),
        )
        self._duties = ControlDuties.create(
            self.settings.vm.id,
            self.settings.platform.cloud,
            self.duty,
            self.store,
            self.mirrors.announcements,
            self.directory,
            self.jobs,
            self.counters,
            self.members,
            self.peers,
        )

    def _start_timers(self) -> None:
        subscribe = self.timers.subscribe
        subscribe("peers", HEARTBEAT_PERIOD_S, self.peers.update_heartbeat_tasks)
        subscribe("members", HEARTBEAT_PERIOD_S, self.members.expire)
        subscribe("queues", QUEUES_PERIOD_S, self.dispatcher.dispatch_waiting)
        subscribe("requests", REQUESTS_PERIOD_S, self.gateway.active.check)
        subscribe(
            "registrations",
            REGISTRATIONS_PERIOD_S,
            self.mirrors.registrations.remove_missing_targets,
        )
        subscribe("providers", PROVIDERS_PERIOD_S, self.mirrors.check_providers)
        subscribe("connections", CONNECTIONS_PERIOD_S, self.connections.close_expired)
        subscribe("duty", CONTROL_PERIOD_S, self.duty.run_once)
        subscribe("jobs", JOBS_PERIOD_S, self.jobs.run_once)
        subscribe("weights", CONTROL_PERIOD_S, self._duties.load_scheduler.run_once)
        subscribe(
            "orders", CONTROL_PERIOD_S, self._duties.order_sender.send_changed_orders
        )
        subscribe("stream origins", ORIGINS_PERIOD_S, self.origins.run_once)
        subscribe("usage replicas", USAGE_PERIOD_S, self.replicator.update_replicas)
        subscribe(
            "usage", USAGE_PERIOD_S, self._duties.usage_ledger.report_closed_windows
        )

    def _find_peers(self) -> None:
        """Call the members that gossip names without waiting for the next timer."""
        for _ in range(JOIN_STEPS):
            self.peers.update_heartbeat_tasks()
            eventlet.sleep(JOIN_STEP_S)

    def _duty_acquire_delay_s(self) -> float:
        """Return the seconds for which a free duty is left to preferred members."""
        if self._stopping:
            return float("inf")
        if not self.members.self_member.serving:
            return float("inf")
        candidates = self.members.staying()
        order = [member.vm for member in rendezvous_order(CONTROL_DUTY, candidates)]
        vm = self.settings.vm.id
        return DUTY_STAGGER_S * (order.index(vm) if vm in order else len(order))

    def _on_configuration(self, change: Change) -> None:
        if change.key != CONFIGURATION_KEY or change.item is None:
            return
        try:
            snapshot = decode_configuration(change.item.value)
        except ValueError as error:
            log(CONFIGURATION_MALFORMED, revision=change.revision, error=str(error))
            return
        self.snapshot_holder.adopt(snapshot, {})

    def _serve_readiness(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != names.READINESS_PATH:
            return respond(start_response, 404, {"error": "no such path"})
        reasons = self.not_ready_reasons()
        ready = not reasons
        if ready != self._last_ready:
            log(READINESS_CHANGED, ready=ready, reasons=reasons)
            self._last_ready = ready
        return respond(start_response, 200 if ready else 503, {"reasons": reasons})

    def _serve_metrics(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        entries = self.crashes.entries(boottime())
        blocked = sum(entry.blocked for entry in entries)
        set_crash_gauges(blocked, len(entries) - blocked)
        set_rate_limit_gauges(self.directory.rate_limits.limited())
        set_evacuation_gauges(self.directory.evacuated_zones)
        content, content_type = export_metrics()
        start_response("200 OK", [("Content-Type", content_type)])
        return [content]

    def _on_stop_signal(self, *_: object) -> None:
        eventlet.spawn_n(self.stop)

    def _on_reload_signal(self, *_: object) -> None:
        eventlet.spawn_n(self._reload)

    def _reload(self) -> None:
        """Reload the settings file and apply its log level.

        Addresses and identity do not change while the daemon runs.
        """
        try:
            settings = load_entry_settings(self.settings_file)
        except ExceptionGroup as error:
            log(SETTINGS_RELOADED, accepted=False, error=str(error))
            return
        configure_logging(settings.vm.id, self._log_sink, settings.vm.log_level)
        log(SETTINGS_RELOADED, accepted=True)
