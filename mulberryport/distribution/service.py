"""Distribution of the newest accepted revision to this daemon and its peers."""

import random
from collections.abc import Callable
from typing import Any

import eventlet
from attrs import define, field, frozen

from ..membership import Members, rendezvous_order
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..store import StoreClient
from ..tables import SnapshotHolder
from ..tables.head import HEAD_KEY, Head, decode_head, encode_head
from ..tables.queries import MalformedRevision, assemble_snapshot, read_shard
from ..telemetry import define as define_event
from ..telemetry import log, process_clock
from .access import StoreAccess
from .fetching import shard_lookup
from .freshness import CONFIRMATION_LIMIT_S, FleetView, keys_usable
from .probes import Probes

__all__ = ["Distribution"]

CONFIGURATION_REFUSED = define_event(
    303,
    "configuration_refused",
    "error",
    "A malformed head or shard was rejected; the configuration is unchanged.",
)
KEYS_REFUSED = define_event(
    312,
    "keys_refused",
    "error",
    "Requests with keys are refused, because withdrawn keys may be unknown here.",
)
KEYS_ACCEPTED = define_event(
    313, "keys_accepted", "info", "Requests with keys are accepted again."
)
READER_FAILED = define_event(
    314, "configuration_reader_failed", "error", "Reading the head raised an exception."
)

READERS_PER_ZONE = 2
# Also the maximum age of a reader's confirmation in normal operation.
WATCH_WAIT_S = 0.5
# A daemon that is not a reader reads the store itself when its confirmation is older
# than this. Readers confirm every 0.5 s, and heartbeats propagate it every second.
STALE_CONFIRMATION_S = 2.0
IDLE_PERIOD_S = 0.25
# Minimum time between the starts of two reads, in case the store replies at once.
MIN_READ_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.5
# Mean retry delay of a daemon that is not a reader, with random jitter: in an outage
# all daemons read, and the planned 510 must not overload a store that recovers.
NON_READER_RETRY_DELAY_S = 1.0
FETCH_TIMEOUT_S = 2.0
# More than one, so that a peer that does not reply does not delay the others.
MAX_CONCURRENT_FETCHES = 3
# Three heartbeat periods.
REPORT_LIFETIME_S = 3.0


@frozen
class PeerReport:
    """Whether a peer can read the store, reported after a boot time of this daemon."""

    store_unreadable: bool
    made_after: float


@define(eq=False)
class Distribution:
    """Reads the head if this daemon is a reader, and fetches it from peers otherwise.

    Two daemons in each zone are readers, which limits the calls to the store. The
    others read it themselves only while their confirmation is too old.
    """

    store: StoreClient
    snapshot_holder: SnapshotHolder
    members: Members
    peers: Peers | None = None
    _access: StoreAccess = field(init=False)
    _head: Head = field(factory=Head)
    _adopted_at: float = float("-inf")
    _seen_version: int = 0
    _probes: Probes = field(factory=Probes)
    _received_probes: dict[str, int] = field(factory=dict)
    _reports: dict[str, PeerReport] = field(factory=dict)
    _last_members: frozenset[str] | None = None
    _fetching: set[str] = field(factory=set)
    _refusals: dict[str, str] = field(factory=dict)
    _keys_accepted: bool | None = None

    def __attrs_post_init__(self) -> None:
        """Create the access tracker with the timeout of the store client."""
        self._access = StoreAccess(self.store.timeout)

    @property
    def store_readable(self) -> bool:
        """Whether this daemon's attempts to read the head do not fail."""
        return not self._access.is_unreadable

    def register(self, server: PeerServer) -> None:
        """Register the handler of the peer call that fetches the configuration."""
        server.register("FetchConfig", self._serve_fetch)

    def run(self) -> None:
        """Keep the configuration current for as long as the daemon runs."""
        while True:
            try:
                self.run_once()
            except Exception as error:
                # If the loop ended, the daemon would receive no further revision.
                log(READER_FAILED, error=repr(error))
                eventlet.sleep(RETRY_DELAY_S)

    def run_once(self) -> None:
        """Read the head if this daemon is due to, and sleep otherwise."""
        if self._is_reader():
            self._read(WATCH_WAIT_S)
        elif self.snapshot_holder.confirmation_age > STALE_CONFIRMATION_S:
            self._read(0.0)
        else:
            eventlet.sleep(IDLE_PERIOD_S)

    def apply_heartbeat(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Update the confirmation and peer reports, and fetch a newer revision."""
        vm, report = heartbeat.sender.vm, heartbeat.config
        self._received_probes[vm] = report.probe
        made_after = self._probes.sent_at(report.probe_echo)
        if made_after is not None:
            self._reports[vm] = PeerReport(report.store_unreadable, made_after)
        current = self.snapshot_holder.snapshot
        if heartbeat.revision > current.revision:
            eventlet.spawn_n(self._fetch_from_peer, vm)
        elif heartbeat.revision == current.revision > 0:
            if report.change_id != current.change_id:
                self.snapshot_holder.report_rejected_head(
                    heartbeat.revision, report.change_id
                )
            elif made_after is not None:
                self._confirm_snapshot(
                    made_after - heartbeat.confirmation_age_ms / 1000
                )

    def add_report(self, heartbeat: peer_pb2.Heartbeat, vm: str) -> peer_pb2.Heartbeat:
        """Add this daemon's configuration report to the heartbeat for a peer."""
        report = heartbeat.config
        report.change_id = self.snapshot_holder.snapshot.change_id
        report.store_unreadable = self._access.is_unreadable
        report.probe = self._probes.current_probe()
        report.probe_echo = self._received_probes.get(vm, 0)
        return heartbeat

    def keys_usable(self) -> bool:
        """Return whether requests with keys may run here."""
        age = self.snapshot_holder.confirmation_age
        if age <= CONFIRMATION_LIMIT_S:
            return True
        return keys_usable(self.fleet_view())

    def fleet_view(self) -> FleetView:
        """Return what this daemon knows about the confirmation of the head."""
        own_vm = self.members.self_member.vm
        # Before its first confirmation, a daemon counts all members that it knows.
        last = self._last_members or {own_vm, *(m.vm for m in self.members.known())}
        cutoff = boottime() - REPORT_LIFETIME_S
        without = {
            vm
            for vm, report in self._reports.items()
            if vm in last and report.store_unreadable and report.made_after >= cutoff
        }
        if self._access.is_unreadable:
            without.add(own_vm)
        return FleetView(
            self.snapshot_holder.confirmation_age,
            len(last),
            len(without),
            is_standalone=not self.members.known(),
        )

    def log_keys_usable_changes(self) -> None:
        """Log when keys become unusable or usable again; called periodically."""
        self._remove_forgotten_peers()
        usable = self.keys_usable()
        if usable != self._keys_accepted and self._keys_accepted is not None:
            view = self.fleet_view()
            log(
                KEYS_ACCEPTED if usable else KEYS_REFUSED,
                confirmation_age=min(view.confirmation_age, 1e9),
                last_members=view.last_members,
                without_store=view.without_store,
            )
        self._keys_accepted = usable

    def _remove_forgotten_peers(self) -> None:
        """Remove the data of peers that are no longer known members."""
        for known in (self._received_probes, self._reports, self._refusals):
            for vm in [v for v in known if v != "store" and not self.members.get(v)]:
                del known[vm]

    def _read(self, wait: float) -> None:
        """Read the head, at once or when it changes, and adopt its revision."""
        sent_at = boottime()
        self._access.record_start(sent_at, wait)
        outcome = self.store.watch(HEAD_KEY, self._seen_version, wait)
        if isinstance(outcome, Done):
            outcome = self._apply_head_entry(
                outcome.value.value, sent_at, outcome.value
            )
        if isinstance(outcome, Done):
            self._access.record_success()
            eventlet.sleep(max(0.0, MIN_READ_INTERVAL_S - (boottime() - sent_at)))
            return
        if isinstance(outcome, MalformedRevision):
            self._log_refusal("store", outcome.reason)
        self._access.record_failure(outcome.reason)
        spread = random.uniform(0.5, 1.5)
        eventlet.sleep(RETRY_DELAY_S if wait else NON_READER_RETRY_DELAY_S * spread)

    def _apply_head_entry(
        self, value: bytes | None, sent_at: float, entry: Any
    ) -> Outcome[None]:
        try:
            head = Head() if value is None else decode_head(value)
        except ValueError as error:
            return MalformedRevision(str(error))
        adopted = self._adopt_head(head, lambda digest: read_shard(self.store, digest))
        if not isinstance(adopted, Done):
            return adopted
        self._seen_version = entry.version
        self._refusals.pop("store", None)
        self._compare_head(head, sent_at)
        return Done(None)

    def _compare_head(self, head: Head, sent_at: float) -> None:
        """Compare the snapshot to a head read from the store: confirm it, or log."""
        current = self.snapshot_holder.snapshot
        if (head.revision, head.change_id) == (current.revision, current.change_id):
            self._confirm_snapshot(sent_at)
        elif sent_at >= self._adopted_at:
            self.snapshot_holder.report_rejected_head(head.revision, head.change_id)
            # An ancestor of the snapshot contains no withdrawal that is unknown here;
            # any other head may have withdrawn a key and confirms nothing.
            if self._head.descends_from(head):
                self._confirm_snapshot(sent_at)

    def _adopt_head(
        self, head: Head, fetch: Callable[[str], Outcome[bytes]]
    ) -> Outcome[None]:
        """Adopt the revision of a head if it is higher than the one in force."""
        if head.revision <= self.snapshot_holder.snapshot.revision:
            return Done(None)
        assembled = assemble_snapshot(head, fetch, self.snapshot_holder.contents)
        if not isinstance(assembled, Done):
            return assembled
        # Another revision may have been adopted while the shards were fetched.
        if head.revision > self.snapshot_holder.snapshot.revision:
            process_clock.observe(head.clock)
            self._head, self._adopted_at = head, boottime()
            self.snapshot_holder.adopt(*assembled.value)
        return Done(None)

    def _fetch_from_peer(self, vm: str) -> None:
        """Fetch a newer revision from a peer."""
        if vm in self._fetching or len(self._fetching) >= MAX_CONCURRENT_FETCHES:
            return
        self._fetching.add(vm)
        try:
            outcome = self._fetch_once(vm)
        finally:
            self._fetching.discard(vm)
        if isinstance(outcome, MalformedRevision):
            self._log_refusal(vm, outcome.reason)

    def _fetch_once(self, vm: str) -> Outcome[None]:
        if self.peers is None:
            return NotDone("there are no peers")
        request = peer_pb2.FetchConfigRequest(
            revision=self.snapshot_holder.snapshot.revision,
            known_shards=list(self.snapshot_holder.contents),
        )
        sent_at = boottime()
        outcome = self.peers.call(vm, "FetchConfig", request, FETCH_TIMEOUT_S)
        if not isinstance(outcome, Done) or not outcome.value.head:
            return NotDone("the peer has nothing newer")
        reply = outcome.value
        try:
            head = decode_head(reply.head)
        except ValueError as error:
            return MalformedRevision(str(error))
        adopted = self._adopt_head(head, shard_lookup(reply))
        current = self.snapshot_holder.snapshot
        if (head.revision, head.change_id) == (current.revision, current.change_id):
            self._refusals.pop(vm, None)
            self._confirm_snapshot(sent_at - reply.confirmation_age_ms / 1000)
        return adopted

    def _serve_fetch(self, request: peer_pb2.FetchConfigRequest) -> Any:
        age_ms = self.snapshot_holder.confirmation_age * 1000
        reply = peer_pb2.FetchConfigReply(confirmation_age_ms=int(min(age_ms, 2**40)))
        if self.snapshot_holder.snapshot.revision > request.revision:
            known = set(request.known_shards)
            reply.head = encode_head(self._head)
            for digest, content in self.snapshot_holder.contents.items():
                if digest not in known:
                    reply.shards[digest] = content
        return reply

    def _is_reader(self) -> bool:
        own = self.members.self_member
        ordered = rendezvous_order("config", self.members.in_zone(own.zone))
        return own.vm in {member.vm for member in ordered[:READERS_PER_ZONE]}

    def _confirm_snapshot(self, at: float) -> None:
        newer = self.snapshot_holder.confirm(at)
        # A confirmation that is already old does not determine the live members;
        # otherwise the members of a network partition would count only each other.
        if newer and self.snapshot_holder.confirmation_age <= CONFIRMATION_LIMIT_S:
            self._last_members = frozenset(m.vm for m in self.members.live())

    def _log_refusal(self, source: str, reason: str) -> None:
        if self._refusals.get(source) != reason:
            self._refusals[source] = reason
            log(CONFIGURATION_REFUSED, source=source, reason=reason)
