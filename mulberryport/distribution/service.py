"""Brings the newest accepted revision to this daemon and to its peers."""

from typing import Any

import eventlet
from attrs import define, field

from ..membership import Member, Members, rendezvous_order
from ..outcomes import Done, NotDone, Outcome
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..store import StoreClient
from ..tables import SnapshotHolder
from ..tables.head import HEAD_KEY, Head, decode_head, encode_head
from ..tables.queries import assemble, read_shard
from ..telemetry import define as define_event
from ..telemetry import log
from .freshness import FleetView, keys_usable

__all__ = ["Distribution"]

STORE_UNREADABLE = define_event(
    310, "store_unreadable", "warning", "The head cannot be read from the store."
)
STORE_READABLE = define_event(
    311, "store_readable", "info", "The head can be read from the store again."
)

READERS_PER_ZONE = 2
WATCH_WAIT_S = 1.0
RETRY_DELAY_S = 0.5
FETCH_TIMEOUT_S = 5.0


@define(eq=False)
class PeerState:
    """What a peer's newest heartbeat said."""

    revision: int
    store_readable: bool
    heard_at: float


@define(eq=False)
class Distribution:
    """Reads the head if this daemon is a reader, and fetches from peers otherwise."""

    store: StoreClient
    holder: SnapshotHolder
    members: Members
    peers: Peers | None = None
    _head: Head = field(factory=Head)
    _store_readable: bool = False
    _peer_states: dict[str, PeerState] = field(factory=dict)
    _last_members: int = 1
    _fetching: bool = False

    @property
    def store_readable(self) -> bool:
        """Whether the last read of the head succeeded."""
        return self._store_readable

    def register(self, server: PeerServer) -> None:
        """Serve the peer call that fetches the configuration."""
        server.register("FetchConfig", self._serve_fetch)

    def run(self) -> None:
        """Read the head for as long as the daemon runs."""
        version = 0
        while True:
            if not self._is_reader() and self._confirmed_by_peers():
                eventlet.sleep(WATCH_WAIT_S)
                continue
            version = self._read_once(version)

    def heard(self, heartbeat: peer_pb2.Heartbeat) -> None:
        """Take account of a peer's heartbeat."""
        now = boottime()
        self._peer_states[heartbeat.sender.vm] = PeerState(
            heartbeat.revision, heartbeat.store_readable, now
        )
        current = self.holder.snapshot.revision
        if heartbeat.revision > current:
            eventlet.spawn_n(self._fetch, heartbeat.sender.vm)
        elif heartbeat.revision == current:
            self._confirm(now - heartbeat.confirmation_age_ms / 1000)

    def keys_usable(self) -> bool:
        """Return whether requests with keys may run here."""
        without = [
            member
            for member in self.members.live()
            if member.vm in self._peer_states
            and not self._peer_states[member.vm].store_readable
        ]
        own = 0 if self._store_readable else 1
        age = self.holder.confirmation_age
        return keys_usable(FleetView(age, self._last_members, len(without) + own))

    def _read_once(self, version: int) -> int:
        """Wait for a change of the head and adopt it; return its key's version."""
        sent_at = boottime()
        outcome = self.store.watch(HEAD_KEY, version, WATCH_WAIT_S)
        self._note_readable(isinstance(outcome, Done))
        if not isinstance(outcome, Done):
            eventlet.sleep(RETRY_DELAY_S)
            return version
        entry = outcome.value
        if entry.value is None:
            self._confirm(sent_at)
            # A watch of an absent key may return at once.
            eventlet.sleep(RETRY_DELAY_S if entry.version == 0 and version else 0)
            return entry.version
        try:
            head = decode_head(entry.value)
        except ValueError as error:
            log(STORE_UNREADABLE, error=str(error))
            eventlet.sleep(RETRY_DELAY_S)
            return version
        adopted = self._adopt(head, lambda digest: read_shard(self.store, digest))
        if not isinstance(adopted, Done):
            eventlet.sleep(RETRY_DELAY_S)
            return version
        if head.revision == self.holder.snapshot.revision:
            self._confirm(sent_at)
        return entry.version

    def _adopt(self, head: Head, fetch: Any) -> Outcome[bool]:
        if head.revision == self.holder.snapshot.revision:
            self._head = head
            return Done(False)
        assembled = assemble(head, fetch, self.holder.contents)
        if not isinstance(assembled, Done):
            return assembled
        if self.holder.adopt(*assembled.value):
            self._head = head
        return Done(True)

    def _fetch(self, vm: str) -> None:
        """Fetch a newer revision from a peer."""
        if self._fetching or self.peers is None:
            return
        self._fetching = True
        try:
            request = peer_pb2.FetchConfigRequest(
                revision=self.holder.snapshot.revision,
                known_shards=list(self.holder.contents),
            )
            outcome = self.peers.call(vm, "FetchConfig", request, FETCH_TIMEOUT_S)
            if not isinstance(outcome, Done) or not outcome.value.head:
                return
            reply = outcome.value
            shards = dict(reply.shards)
            self._adopt(
                decode_head(reply.head),
                lambda digest: (
                    Done(shards[digest])
                    if digest in shards
                    else NotDone(f"shard {digest} was not sent")
                ),
            )
        finally:
            self._fetching = False

    def _serve_fetch(self, request: peer_pb2.FetchConfigRequest) -> Any:
        reply = peer_pb2.FetchConfigReply()
        if self.holder.snapshot.revision > request.revision:
            known = set(request.known_shards)
            reply.head = encode_head(self._head)
            for digest, content in self.holder.contents.items():
                if digest not in known:
                    reply.shards[digest] = content
        return reply

    def _is_reader(self) -> bool:
        own: Member = self.members.self_member
        ordered = rendezvous_order("config", self.members.in_zone(own.zone))
        return own.vm in {member.vm for member in ordered[:READERS_PER_ZONE]}

    def _confirmed_by_peers(self) -> bool:
        return self.holder.confirmation_age < 2 * WATCH_WAIT_S

    def _confirm(self, at: float) -> None:
        self.holder.confirm(at)
        self._last_members = len(self.members.live())

    def _note_readable(self, readable: bool) -> None:
        if readable != self._store_readable:
            log(STORE_READABLE if readable else STORE_UNREADABLE)
        self._store_readable = readable
