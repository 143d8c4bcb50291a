"""Client of the platform's key-value store.

A daemon that the store turns away, or that lost its way to it, has its calls made by
a peer that the store serves. A call is repeated by way of a peer even if its outcome
is unknown: transactions name what they expect, so that the second execution of one
that took effect is refused. Such a refusal is reported as unknown, never as a
conflict, because it may be the call's own effect.
"""

import base64
from collections.abc import Callable
from typing import Any
from urllib.parse import urlencode

import eventlet
import eventlet.hubs
import orjson
import urllib3
from attrs import define, field
from urllib3.exceptions import HTTPError

from ..coordination import (
    Change,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Item,
    Listing,
    Transaction,
)
from ..outcomes import Done, NotDone, Outcome, Unknown
from ..peering import Peers, PeerServer, peer_pb2
from ..runtime.clock import boottime
from ..runtime.http import NOT_SENT_ERRORS
from ..runtime.sockets import TCP_SOCKET_OPTIONS
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["PlatformStore"]

PATH_LOST = define_event(
    1400,
    "store_path_lost",
    "warning",
    "The store does not answer directly.",
)
PATH_REGAINED = define_event(
    1401, "store_path_regained", "info", "The store answers directly again."
)

# The store answers in milliseconds, and within 300 ms when it is slow.
CALL_TIMEOUT_S = 1.0
# After a failure, calls go by way of peers for this time before the direct way is
# tried again.
DIRECT_RETRY_S = 1.0
# Peers that are asked to make a call before it fails.
RELAYS = 2
RELAY_EXTRA_S = 0.5
# Time beyond its wait for a watch to be answered.
WATCH_EXTRA_S = 0.5
# Watches by way of a peer, or before the direct way has answered again.
UNPROVEN_WAIT_S = 0.5
MAX_LISTED_PAGES = 200
# Statuses by which the store says that it did nothing.
REFUSED = frozenset({403, 429, 503})


class StorePathLostError(Exception):
    """Another call found that the store does not answer this daemon."""


@define(eq=False)
class PlatformStore:
    """The store, reached directly or through a peer; implements ``KeyValueStore``.

    Parameters
    ----------
    address : str
        IP number and port of the store.
    peers : Peers
        Makes calls through other daemons.
    relays : callable
        Returns ids of the VMs that the store serves, in order of preference.
    """

    address: str
    peers: Peers | None = None
    relays: Callable[[], list[str]] = list
    calls: int = 0
    _pool: urllib3.PoolManager = field(init=False)
    _direct: bool = True
    _failed_at: float = float("-inf")
    _watchers: set[Any] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Make the pool of connections."""
        self._pool = urllib3.PoolManager(
            num_pools=1,
            maxsize=16,
            retries=False,
            socket_options=TCP_SOCKET_OPTIONS,
        )

    @property
    def served_directly(self) -> bool:
        """Whether the last direct call was answered."""
        return self._direct

    def register(self, server: PeerServer) -> None:
        """Make calls for daemons that the store does not serve."""
        server.register("CallStore", self._serve_call)

    def read(self, key: str) -> Outcome[Item | None]:
        """Return a key; ``Done(None)`` if it certainly does not exist."""
        outcome = self._call("GET", f"/mulberryport/kv-key?{urlencode({'key': key})}")
        return _decode(outcome, lambda s, b: None if s == 404 else _item(b), (200, 404))

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all keys below a prefix; pages are not a snapshot of each other."""
        items: list[Item] = []
        revision, after = -1, ""
        for _ in range(MAX_LISTED_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            outcome = _decode(
                self._call("GET", f"/mulberryport/kv-range?{urlencode(query)}"),
                lambda status, body: (
                    [_item(item) for item in body["items"]],
                    bool(body["has-more"]),
                    int(body["store-revision"]),
                ),
                (200,),
            )
            if not isinstance(outcome, Done):
                return outcome
            page, more, at = outcome.value
            items.extend(page)
            # Changes after the first page are brought by the watch.
            revision = at if revision < 0 else revision
            if not more or not page:
                return Done(Listing(tuple(items), revision))
            after = page[-1].key
        return NotDone(f"prefix {prefix} has too many keys")

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        # A watch by way of a peer, or on a way that is not known to work, is short.
        by_peers = not self._direct
        if by_peers:
            wait = min(wait, UNPROVEN_WAIT_S)
        query = {"prefix": prefix, "after": after, "wait-ms": int(wait * 1000)}
        path = f"/mulberryport/kv-watch?{urlencode(query)}"
        watcher = eventlet.getcurrent()
        self._watchers.add(watcher)
        try:
            timeout = wait + WATCH_EXTRA_S
            outcome = self._call("GET", path, timeout=timeout, by_peers=by_peers)
        except StorePathLostError as error:
            outcome = NotDone(str(error))
        finally:
            self._watchers.discard(watcher)

        def changes(status: int, body: Any) -> Changes | HistoryLost:
            if status == 410:
                return HistoryLost()
            return Changes(
                tuple(_change(event) for event in body["events"]),
                int(body["store-revision"]),
            )

        return _decode(outcome, changes, (200, 410))

    def commit(self, transaction: Transaction) -> Outcome[Committed | Conflict]:
        """Carry out a transaction."""
        body = {
            "expected": [
                {"key": key, "revision": revision}
                for key, revision in transaction.expected.items()
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    "lease": put.lease,
                }
                for put in transaction.puts
            ],
            "remove": list(transaction.removes),
        }
        outcome = self._call("POST", "/mulberryport/kv-txn", body, repeatable=False)
        return _decode(outcome, _committed, (200, 404, 412))

    def grant_lease(self, ttl: float) -> Outcome[int]:
        """Return a new lease of ``ttl`` seconds."""
        body = {"ttl-ms": int(ttl * 1000)}
        outcome = self._call("POST", "/mulberryport/kv-lease", body)
        return _decode(outcome, lambda status, body: int(body["lease"]), (200,))

    def renew_lease(self, lease: int) -> Outcome[bool]:
        """Renew a lease; false if it has ended."""
        outcome = self._call("POST", f"/mulberryport/kv-keep/{lease}")
        return _decode(outcome, lambda status, body: status == 200, (200, 404))

    def end_lease(self, lease: int) -> Outcome[bool]:
        """End a lease and remove its keys."""
        outcome = self._call("DELETE", f"/mulberryport/kv-lease-end/{lease}")
        return _decode(outcome, lambda status, body: status == 200, (200, 404))

    def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = CALL_TIMEOUT_S,
        repeatable: bool = True,
        by_peers: bool = True,
    ) -> Outcome[tuple[int, bytes]]:
        """Make a call directly, or through peers if the direct way fails.

        Parameters
        ----------
        repeatable : bool
            Whether a second execution has the same answer.
        by_peers : bool
            Whether peers may make the call.
        """
        content = b"" if body is None else orjson.dumps(body)
        tried = self._direct or boottime() - self._failed_at >= DIRECT_RETRY_S
        outcome: Outcome[tuple[int, bytes]] = NotDone("the store cannot be reached")
        if tried:
            outcome = self._call_directly(method, path, content, timeout)
            if isinstance(outcome, Done) or not by_peers:
                return outcome
        relayed = self._call_by_peers(method, path, content, timeout, outcome)
        if isinstance(relayed, Done):
            uncertain = isinstance(outcome, Unknown) and not repeatable
            if uncertain and relayed.value[0] != 200:
                return Unknown(f"{method} {path}: {outcome.reason}")
        elif not tried:
            return self._call_directly(method, path, content, timeout)
        return relayed

    def _call_directly(
        self, method: str, path: str, content: bytes, timeout: float
    ) -> Outcome[tuple[int, bytes]]:
        self.calls += 1
        outcome = self._send(method, path, content, timeout)
        if isinstance(outcome, Done):
            if not self._direct:
                log(PATH_REGAINED, store=self.address)
            self._direct = True
        else:
            if self._direct:
                log(PATH_LOST, store=self.address, reason=outcome.reason)
                self._end_watches(outcome.reason)
            self._direct, self._failed_at = False, boottime()
        return outcome

    def _end_watches(self, reason: str) -> None:
        """End the watches that wait, which may never be answered."""
        hub, current = eventlet.hubs.get_hub(), eventlet.getcurrent()
        for watcher in self._watchers - {current}:
            hub.schedule_call_global(0, self._end_watch, watcher, reason)

    def _end_watch(self, watcher: Any, reason: str) -> None:
        if watcher in self._watchers:
            watcher.throw(StorePathLostError(reason))

    def _send(
        self, method: str, path: str, content: bytes, timeout: float
    ) -> Outcome[tuple[int, bytes]]:
        try:
            reply = self._pool.request(
                method,
                f"http://{self.address}{path}",
                body=content or None,
                headers={"Content-Type": "application/json"} if content else None,
                timeout=urllib3.Timeout(connect=CALL_TIMEOUT_S, read=timeout),
                retries=False,
            )
        except NOT_SENT_ERRORS as error:
            return NotDone(f"{method} {path}: {error}")
        except (HTTPError, OSError, EOFError) as error:
            return Unknown(f"{method} {path}: {error!r}")
        if reply.status in REFUSED:
            return NotDone(f"{method} {path}: status {reply.status}")
        if reply.status >= 500:
            return Unknown(f"{method} {path}: status {reply.status}")
        return Done((reply.status, reply.data))

    def _call_by_peers(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout: float,
        outcome: Outcome[tuple[int, bytes]],
    ) -> Outcome[tuple[int, bytes]]:
        """Have peers make a call; return the given outcome if none of them can."""
        if self.peers is None:
            return outcome
        for vm in self.relays()[:RELAYS]:
            request = peer_pb2.CallStoreRequest(
                method=method, path=path, body=content, timeout=timeout
            )
            reply = self.peers.call(vm, "CallStore", request, timeout + RELAY_EXTRA_S)
            if isinstance(reply, Done) and reply.value.status:
                return Done((reply.value.status, reply.value.body))
            not_sent = isinstance(reply, NotDone) or (
                isinstance(reply, Done) and reply.value.not_sent
            )
            if not not_sent and not isinstance(outcome, Unknown):
                outcome = Unknown(f"{method} {path}: no answer by way of {vm}")
        return outcome

    def _serve_call(
        self, request: peer_pb2.CallStoreRequest
    ) -> peer_pb2.CallStoreReply:
        outcome = self._call_directly(
            request.method, request.path, request.body, request.timeout
        )
        if isinstance(outcome, Done):
            status, body = outcome.value
            return peer_pb2.CallStoreReply(status=status, body=body)
        return peer_pb2.CallStoreReply(not_sent=isinstance(outcome, NotDone))


def _decode(
    outcome: Outcome[tuple[int, bytes]],
    convert: Callable[[int, Any], Any],
    expected: tuple[int, ...],
) -> Outcome[Any]:
    if not isinstance(outcome, Done):
        return outcome
    status, content = outcome.value
    if status not in expected:
        return NotDone(f"the store refused the call with status {status}")
    try:
        return Done(convert(status, orjson.loads(content) if content else None))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Unknown(f"malformed answer of the store: {error!r}")


def _item(body: Any) -> Item:
    return Item(
        str(body["key"]),
        base64.b64decode(body["value"], validate=True),
        int(body["revision"]),
        int(body.get("lease") or 0),
    )


def _change(event: Any) -> Change:
    if event.get("tombstone"):
        return Change(str(event["key"]), int(event["revision"]))
    item = _item(event)
    return Change(item.key, item.revision, item)


def _committed(status: int, body: Any) -> Committed | Conflict:
    if status == 200:
        return Committed(int(body["revision"]))
    if status == 404:
        return Conflict(lease_ended=True)
    items = (body or {}).get("items") or []
    return Conflict(tuple(_item(item) for item in items if item.get("value")))
