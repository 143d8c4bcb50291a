"""Brings the newest accepted revision to this daemon and to its peers."""

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
from .fetching import shard_finder
from .freshness import CONFIRMATION_LIMIT_S, FleetView, keys_usable
from .probes import Probes

__all__ = ["Distribution"]

CONFIGURATION_REFUSED = define_event(
    303,
    "configuration_refused",
    "error",
    "A malformed head or shard was offered and changed nothing.",
)
KEYS_REFUSED = define_event(
    312,
    "keys_refused",
    "error",
    "Routes with keys are closed, because withdrawn keys might not be known here.",
)
KEYS_ACCEPTED = define_event(
    313, "keys_accepted", "info", "Routes with keys are open again."
)
READER_FAILED = define_event(
    314, "configuration_reader_failed", "error", "Reading of the head raised."
)

READERS_PER_ZONE = 2
# Also the age that a reader's confirmation reaches while all is well.
WATCH_WAIT_S = 0.5
# A daemon that is not a reader asks the store itself when its confirmation is
# older. Readers confirm every 0.5 s and heartbeats pass it on every second.
ASK_AFTER_S = 2.0
IDLE_PERIOD_S = 0.25
# Least time between the starts of two reads, should the store answer at once.
READ_PERIOD_S = 0.25
RETRY_DELAY_S = 0.5
# Pause of a daemon that is not a reader, drawn at random around this: in an outage
# all daemons ask, and the planned 510 must not overload a store that comes back.
ASK_RETRY_DELAY_S = 1.0
FETCH_TIMEOUT_S = 2.0
# Fetches at a time; a peer that does not answer must not delay the others.
MAX_FETCHES = 3
# Three heartbeats.
REPORT_LIFETIME_S = 3.0


@frozen
class PeerReport:
    """Whether a peer can read the store, made after a boot time of this daemon."""

    store_unreadable: bool
    made_after: float


@define(eq=False)
class Distribution:
    """Reads the head if this daemon is a reader, and fetches from peers otherwise."""

    store: StoreClient
    holder: SnapshotHolder
    members: Members
    peers: Peers | None = None
    _access: StoreAccess = field(init=False)
    _head: Head = field(factory=Head)
    _adopted_at: float = float("-inf")
    _seen_version: int = 0
    _probes: Probes = field(factory=Probes)
    _echoes: dict[str, int] = field(factory=dict)
    _reports: dict[str, PeerReport] = field(factory=dict)
    _last_members: frozenset[str] | None = None
    _fetching: set[str] = field(factory=set)
    _refusals: dict[str, str] = field(factory=dict)
    _keys_accepted: bool | None = None

    def __attrs_post_init__(self) -> None:
        """Take over the limits of the store's client."""
        self._access = StoreAccess(self.store.timeout)

    @property
    def store_readable(self) -> bool:
        """Whether no attempt to read the head fails here."""
        return not self._access.unreadable

    def register(self, server: PeerServer) -> None:
        """Serve the peer call that fetches the configuration."""
        server.register("FetchConfig", self._serve_fetch)

    def run(self) -> None:
        """Follow the head for as long as the daemon runs."""
        while True:
            try:
                self.turn()
            except Exception as error:
                # Without this loop the daemon would never see another revision.
                log(READER_FAILED, error=repr(error))
                eventlet.sleep(RETRY_DELAY_S)

    def turn(self) -> None:
        """Read the head if this daemon should, or let some time pass."""
        if self._is_reader():
            self._read(WATCH_WAIT_S)
        elif self.holder.confirmation_age > ASK_AFTER_S:
            self._read(0.0)
        else:
            eventlet.sleep(IDLE_PERIOD_S)

    def heard(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Take account of a peer's heartbeat."""
        vm, report = heartbeat.sender.vm, heartbeat.config
        self._echoes[vm] = report.probe
        made_after = self._probes.sent_at(report.probe_echo)
        if made_after is not None:
            self._reports[vm] = PeerReport(report.store_unreadable, made_after)
        current = self.holder.snapshot
        if heartbeat.revision > current.revision:
            eventlet.spawn_n(self._fetch, vm)
        elif heartbeat.revision == current.revision > 0:
            if report.change_id != current.change_id:
                self.holder.report_rejected_head(heartbeat.revision, report.change_id)
            elif made_after is not None:
                self._confirm(made_after - heartbeat.confirmation_age_ms / 1000)

    def add_report(self, heartbeat: peer_pb2.Heartbeat, vm: str) -> peer_pb2.Heartbeat:
        """Add what this package tells a peer to the heartbeat for it."""
        report = heartbeat.config
        report.change_id = self.holder.snapshot.change_id
        report.store_unreadable = self._access.unreadable
        report.probe = self._probes.draw()
        report.probe_echo = self._echoes.get(vm, 0)
        return heartbeat

    def keys_usable(self) -> bool:
        """Return whether requests with keys may run here."""
        age = self.holder.confirmation_age
        if age <= CONFIRMATION_LIMIT_S:
            return True
        return keys_usable(self.fleet_view())

    def fleet_view(self) -> FleetView:
        """Return what this daemon knows about the confirmation of the head."""
        own = self.members.self_member.vm
        # Before its first confirmation a daemon counts all members it was told of.
        last = self._last_members or {own, *(m.vm for m in self.members.known())}
        limit = boottime() - REPORT_LIFETIME_S
        without = {
            vm
            for vm, report in self._reports.items()
            if vm in last and report.store_unreadable and report.made_after >= limit
        }
        if self._access.unreadable:
            without.add(own)
        return FleetView(
            self.holder.confirmation_age,
            len(last),
            len(without),
            alone_by_settings=not self.members.known(),
        )

    def note_keys_usable(self) -> None:
        """Log when routes with keys close and open again; call it periodically."""
        self._forget_peers()
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

    def _forget_peers(self) -> None:
        """Drop what was said by members that are forgotten."""
        for known in (self._echoes, self._reports, self._refusals):
            for vm in [v for v in known if v != "store" and not self.members.get(v)]:
                del known[vm]

    def _read(self, wait: float) -> None:
        """Read the head, at once or when it changes, and follow it."""
        sent_at = boottime()
        self._access.began(sent_at, wait)
        outcome = self.store.watch(HEAD_KEY, self._seen_version, wait)
        if isinstance(outcome, Done):
            outcome = self._take_value(outcome.value.value, sent_at, outcome.value)
        if isinstance(outcome, Done):
            self._access.succeeded()
            eventlet.sleep(max(0.0, READ_PERIOD_S - (boottime() - sent_at)))
            return
        if isinstance(outcome, MalformedRevision):
            self._refuse("store", outcome.reason)
        self._access.failed(outcome.reason)
        spread = random.uniform(0.5, 1.5)
        eventlet.sleep(RETRY_DELAY_S if wait else ASK_RETRY_DELAY_S * spread)

    def _take_value(
        self, value: bytes | None, sent_at: float, entry: Any
    ) -> Outcome[None]:
        try:
            head = Head() if value is None else decode_head(value)
        except ValueError as error:
            return MalformedRevision(str(error))
        followed = self._follow(head, lambda digest: read_shard(self.store, digest))
        if not isinstance(followed, Done):
            return followed
        self._seen_version = entry.version
        self._refusals.pop("store", None)
        self._judge(head, sent_at)
        return Done(None)

    def _judge(self, head: Head, sent_at: float) -> None:
        """Confirm the snapshot, or raise an alarm, by a head read from the store."""
        current = self.holder.snapshot
        if (head.revision, head.change_id) == (current.revision, current.change_id):
            self._confirm(sent_at)
        elif sent_at >= self._adopted_at:
            self.holder.report_rejected_head(head.revision, head.change_id)
            # An ancestor of the snapshot holds nothing that is not in force here;
            # any other head may have withdrawn a key, and confirms nothing.
            if self._head.descends_from(head):
                self._confirm(sent_at)

    def _follow(
        self, head: Head, fetch: Callable[[str], Outcome[bytes]]
    ) -> Outcome[None]:
        """Adopt the revision of a head if it is higher than the one in force."""
        if head.revision <= self.holder.snapshot.revision:
            return Done(None)
        assembled = assemble_snapshot(head, fetch, self.holder.contents)
        if not isinstance(assembled, Done):
            return assembled
        # Another revision may have been adopted while shards were fetched.
        if head.revision > self.holder.snapshot.revision:
            process_clock.observe(head.clock)
            self._head, self._adopted_at = head, boottime()
            self.holder.adopt(*assembled.value)
        return Done(None)

    def _fetch(self, vm: str) -> None:
        """Fetch a newer revision from a peer."""
        if vm in self._fetching or len(self._fetching) >= MAX_FETCHES:
            return
        self._fetching.add(vm)
        try:
            outcome = self._fetch_once(vm)
        finally:
            self._fetching.discard(vm)
        if isinstance(outcome, MalformedRevision):
            self._refuse(vm, outcome.reason)

    def _fetch_once(self, vm: str) -> Outcome[None]:
        if self.peers is None:
            return NotDone("there are no peers")
        request = peer_pb2.FetchConfigRequest(
            revision=self.holder.snapshot.revision,
            known_shards=list(self.holder.contents),
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
        followed = self._follow(head, shard_finder(reply))
        current = self.holder.snapshot
        if (head.revision, head.change_id) == (current.revision, current.change_id):
            self._refusals.pop(vm, None)
            self._confirm(sent_at - reply.confirmation_age_ms / 1000)
        return followed

    def _serve_fetch(self, request: peer_pb2.FetchConfigRequest) -> Any:
        age_ms = self.holder.confirmation_age * 1000
        reply = peer_pb2.FetchConfigReply(confirmation_age_ms=int(min(age_ms, 2**40)))
        if self.holder.snapshot.revision > request.revision:
            known = set(request.known_shards)
            reply.head = encode_head(self._head)
            for digest, content in self.holder.contents.items():
                if digest not in known:
                    reply.shards[digest] = content
        return reply

    def _is_reader(self) -> bool:
        own = self.members.self_member
        ordered = rendezvous_order("config", self.members.in_zone(own.zone))
        return own.vm in {member.vm for member in ordered[:READERS_PER_ZONE]}

    def _confirm(self, at: float) -> None:
        newer = self.holder.confirm(at)
        # An old confirmation that arrives late says nothing about who is live now;
        # the members of a cut-off part would otherwise count only each other.
        if newer and self.holder.confirmation_age <= CONFIRMATION_LIMIT_S:
            self._last_members = frozenset(m.vm for m in self.members.live())

    def _refuse(self, source: str, reason: str) -> None:
        if self._refusals.get(source) != reason:
            self._refusals[source] = reason
            log(CONFIGURATION_REFUSED, source=source, reason=reason)
