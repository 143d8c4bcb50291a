"""Copies of the origins of streams, which other daemons keep in memory.

They outlive the daemon that passed a stream on, also while the store cannot record the
origin. They are a help only: an origin that no copy tells is not known.
"""

from collections import OrderedDict

import eventlet
from attrs import define, field
from eventlet.event import Event

from ..membership import Member, Members
from ..outcomes import Done
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..telemetry import define as define_event
from ..telemetry import log
from .versions import STREAM_LIFETIME_S

__all__ = ["OriginCopies"]

ORIGINS_NOT_COPIED = define_event(
    654,
    "stream_origins_not_copied",
    "warning",
    "No other daemon keeps a copy of where streams began.",
)

COPIES = 2
# The daemon that passed the stream on may be among the first, and daemons may differ on
# which members are live.
DAEMONS_ASKED = 4
# The first event of a stream waits no longer than this for a copy.
CALL_TIMEOUT_S = 0.3
MAX_ORIGINS = 20_000


@define(eq=False)
class OriginCopies:
    """Keeps copies for other daemons, and lets others keep those of this one.

    Parameters
    ----------
    members : Members
        The daemons; those that keep a copy follow from the key of the stream.
    peers : Peers
        Client for calls to them.
    """

    members: Members
    peers: Peers
    # Labels of origins by key, with the boot time at which they arrived.
    _kept: OrderedDict[str, tuple[str, float]] = field(factory=OrderedDict)

    @property
    def daemon_count(self) -> int:
        """Number of live daemons, with this one."""
        return len(self.members.live())

    def register(self, server: PeerServer) -> None:
        """Register the handlers of peer calls."""
        server.register("KeepStreamOrigins", self._serve_keep)
        server.register("FindStreamOrigin", self._serve_find)

    def keep(self, labels: dict[str, str]) -> bool:
        """Let other daemons keep origins; return whether each has a copy.

        Returns once the first copy of each is confirmed.

        Parameters
        ----------
        labels : dict of str to str
            Labels of origins by the keys of streams.
        """
        groups: dict[tuple[str, ...], dict[str, str]] = {}
        for key, label in labels.items():
            keepers = tuple(m.vm for m in self._keepers(key, COPIES))
            groups.setdefault(keepers, {})[key] = label
        kept = [self._keep_group(vms, group) for vms, group in groups.items()]
        if not all(kept):
            log(ORIGINS_NOT_COPIED, streams=len(labels))
        return all(kept)

    def find(self, key: str) -> str:
        """Return the label of the origin of a stream; empty if no copy is known."""
        own = self._kept.get(key)
        if own is not None:
            return own[0]
        request = peer_pb2.FindStreamOriginRequest(key=key)

        def ask(member: Member) -> str:
            outcome = self.peers.call(
                member.vm, "FindStreamOrigin", request, CALL_TIMEOUT_S
            )
            return outcome.value.origin if isinstance(outcome, Done) else ""

        answers = eventlet.GreenPool().imap(ask, self._keepers(key, DAEMONS_ASKED))
        return next(filter(None, answers), "")

    def _keepers(self, key: str, count: int) -> list[Member]:
        owners = self.members.owners(key, count + 1)
        others = [m for m in owners if m.vm != self.members.self_member.vm]
        return others[:count]

    def _keep_group(self, vms: tuple[str, ...], labels: dict[str, str]) -> bool:
        """Return whether one of some daemons keeps all of the origins."""
        request = peer_pb2.KeepStreamOriginsRequest(origins=labels)
        decided, failures = Event(), []

        def send(vm: str) -> None:
            outcome = self.peers.call(vm, "KeepStreamOrigins", request, CALL_TIMEOUT_S)
            if not isinstance(outcome, Done):
                failures.append(vm)
            if not decided.ready() and (
                isinstance(outcome, Done) or len(failures) == len(vms)
            ):
                decided.send(isinstance(outcome, Done))

        for vm in vms:
            eventlet.spawn_n(send, vm)
        return bool(vms) and bool(decided.wait())

    def _serve_keep(self, request: peer_pb2.KeepStreamOriginsRequest) -> peer_pb2.Ack:
        now = boottime()
        for key, label in request.origins.items():
            self._kept[key] = (label, now)
            self._kept.move_to_end(key)
        while self._kept:
            _, kept_at = next(iter(self._kept.values()))
            if len(self._kept) <= MAX_ORIGINS and now - kept_at < STREAM_LIFETIME_S:
                break
            self._kept.popitem(last=False)
        return peer_pb2.Ack()

    def _serve_find(
        self, request: peer_pb2.FindStreamOriginRequest
    ) -> peer_pb2.FindStreamOriginReply:
        label, _ = self._kept.get(request.key, ("", 0.0))
        return peer_pb2.FindStreamOriginReply(origin=label)
