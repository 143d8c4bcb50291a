"""Client of the platform's key-value store.

If the store refuses the calls of a daemon or is unreachable from it, a peer that the
store serves relays its calls. A call with an unknown outcome is relayed as well:
transactions state the revisions they expect, so that a second execution of one that
took effect is refused. Such a refusal is reported as an unknown outcome, never as a
conflict, because the call itself may have caused it.
"""

import base64
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import urlencode

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
from ..runtime.http import (
    NOT_SENT_ERRORS,
    make_connection_pool,
    read_and_release,
    time_limit,
)
from ..runtime.sockets import TCP_SOCKET_OPTIONS
from ..runtime.waits import Wait, interruptible_wait
from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["PlatformStore"]

DIRECT_PATH_LOST = define_event(
    1400,
    "store_path_lost",
    "warning",
    "The store stopped responding to direct calls.",
)
DIRECT_PATH_REGAINED = define_event(
    1401, "store_path_regained", "info", "The store responds to direct calls again."
)

# The store normally responds within milliseconds, and within 300 ms when it is slow.
CALL_TIMEOUT_S = 1.0
# Lets a large transaction pass over a slow link.
MIN_TRANSFER_BYTES_PER_S = 4_000_000
# Delay after a failed direct call before the next attempt; meanwhile calls are relayed.
DIRECT_RETRY_S = 1.0
# Maximum number of peers that are asked to relay a call.
MAX_RELAYS = 2
RELAY_MARGIN_S = 0.5
# Time beyond its wait within which a watch must return.
WATCH_MARGIN_S = 0.5
# Longest wait of a watch that is relayed, or that is sent before a direct call has
# succeeded again.
MAX_INDIRECT_WAIT_S = 0.5
MAX_PAGES = 200
# Statuses with which the store reports that it did not execute a call.
REFUSED_STATUSES = frozenset({403, 429, 503})


class DirectPathLostError(Exception):
    """Another call found that the store does not respond to this daemon."""


@define(eq=False)
class PlatformStore:
    """Store client, direct or relayed by a peer; implements ``KeyValueStore``.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    peers : Peers
        Client of the other daemons, for relayed calls.
    relays : callable
        Returns the ids of the VMs that can relay calls, in order of preference.
    """

    address: str
    peers: Peers | None = None
    relays: Callable[[], list[str]] = list
    calls: int = 0
    _pool: urllib3.PoolManager = field(init=False)
    _is_directly_reachable: bool = True
    _failed_at: float = float("-inf")
    _answered_at: float = float("-inf")
    _watch_waits: set[Wait] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the connection pool."""
        self._pool = make_connection_pool(
            num_pools=1, maxsize=16, socket_options=TCP_SOCKET_OPTIONS
        )

    @property
    def served_directly(self) -> bool:
        """Whether the store responded to the last direct call."""
        return self._is_directly_reachable

    @property
    def answered_s_ago(self) -> float:
        """Seconds since the store answered a direct call the last time."""
        return boottime() - self._answered_at

    def register(self, server: PeerServer) -> None:
        """Relay the calls of daemons that the store does not serve."""
        server.register("CallStore", self._serve_call)

    def read(self, key: str) -> Outcome[Item | None]:
        """Read a key; ``Done(None)`` if the store reports that it does not exist."""
        outcome = self._call("GET", f"/mulberryport/kv-key?{urlencode({'key': key})}")
        return _decode(
            outcome,
            lambda status, body: None if status == 404 else _decode_item(body),
            (200, 404),
        )

    def list(self, prefix: str) -> Outcome[Listing]:
        """List all keys with a prefix; the pages are not read at one revision."""
        items: list[Item] = []
        revision, after = -1, ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix} | ({"after": after} if after else {})
            outcome = _decode(
                self._call("GET", f"/mulberryport/kv-range?{urlencode(query)}"),
                lambda status, body: (
                    [_decode_item(item) for item in body["items"]],
                    bool(body["has-more"]),
                    int(body["store-revision"]),
                ),
                (200,),
            )
            if not isinstance(outcome, Done):
                return outcome
            page, more, at = outcome.value
            items.extend(page)
            # A watch from the revision of the first page delivers the later changes.
            revision = at if revision < 0 else revision
            if not more or not page:
                return Done(Listing(tuple(items), revision))
            after = page[-1].key
        return NotDone(f"prefix {prefix} has too many keys")

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""
        # A watch that is relayed, or on a path not known to work, must be short.
        may_relay = not self._is_directly_reachable
        if may_relay:
            wait = min(wait, MAX_INDIRECT_WAIT_S)
        query = {"prefix": prefix, "after": after, "wait-ms": int(wait * 1000)}
        path = f"/mulberryport/kv-watch?{urlencode(query)}"
        timeout = wait + WATCH_MARGIN_S
        try:
            with self._abortable_watch():
                outcome = self._call("GET", path, timeout=timeout, may_relay=may_relay)
        except DirectPathLostError as error:
            outcome = NotDone(str(error))

        def changes(status: int, body: Any) -> Changes | HistoryLost:
            if status == 410:
                return HistoryLost()
            return Changes(
                tuple(_decode_change(event) for event in body["events"]),
                int(body["store-revision"]),
            )

        return _decode(outcome, changes, (200, 410))

    def commit(self, transaction: Transaction) -> Outcome[Committed | Conflict]:
        """Execute a transaction."""
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
        outcome = self._call("POST", "/mulberryport/kv-txn", body, is_repeatable=False)
        return _decode(outcome, _decode_commit, (200, 404, 412))

    def grant_lease(self, ttl: float) -> Outcome[int]:
        """Create a lease of ``ttl`` seconds and return its id."""
        body = {"ttl-ms": int(ttl * 1000)}
        outcome = self._call("POST", "/mulberryport/kv-lease", body)
        return _decode(outcome, lambda status, body: int(body["lease"]), (200,))

    def renew_lease(self, lease: int) -> Outcome[bool]:
        """Renew a lease; return false if it has ended."""
        outcome = self._call("POST", f"/mulberryport/kv-keep/{lease}")
        return _decode(outcome, lambda status, body: status == 200, (200, 404))

    def end_lease(self, lease: int) -> Outcome[bool]:
        """End a lease and remove its keys; return false if it had ended before."""
        outcome = self._call("DELETE", f"/mulberryport/kv-lease-end/{lease}")
        return _decode(outcome, lambda status, body: status == 200, (200, 404))

    def _call(
        self,
        method: str,
        path: str,
        body: object = None,
        timeout: float = CALL_TIMEOUT_S,
        is_repeatable: bool = True,
        may_relay: bool = True,
    ) -> Outcome[tuple[int, bytes]]:
        """Call the store directly, or through peers if the direct call fails.

        Parameters
        ----------
        is_repeatable : bool
            Whether a second execution has the same response.
        may_relay : bool
            Whether peers may relay the call.
        """
        content = b"" if body is None else orjson.dumps(body)
        tries_directly = (
            self._is_directly_reachable
            or boottime() - self._failed_at >= DIRECT_RETRY_S
        )
        outcome: Outcome[tuple[int, bytes]] = NotDone("the store cannot be reached")
        if tries_directly:
            outcome = self._call_directly(method, path, content, timeout)
            if isinstance(outcome, Done) or not may_relay:
                return outcome
        outcome, uncertain = self._call_through_peers(
            method, path, content, timeout, outcome
        )
        if not isinstance(outcome, Done) and not tries_directly:
            outcome = self._call_directly(method, path, content, timeout)
        if uncertain is None or is_repeatable:
            return outcome
        # An earlier attempt may have taken effect, or may do so later.
        is_done = isinstance(outcome, Done) and outcome.value[0] == 200
        return outcome if is_done else uncertain

    def _call_directly(
        self, method: str, path: str, content: bytes, timeout: float
    ) -> Outcome[tuple[int, bytes]]:
        self.calls += 1
        outcome = self._send(method, path, content, timeout)
        if isinstance(outcome, Done):
            if not self._is_directly_reachable:
                log(DIRECT_PATH_REGAINED, store=self.address)
            self._is_directly_reachable, self._answered_at = True, boottime()
        else:
            if self._is_directly_reachable:
                log(DIRECT_PATH_LOST, store=self.address, reason=outcome.reason)
                self._abort_watches(outcome.reason)
            self._is_directly_reachable, self._failed_at = False, boottime()
        return outcome

    def _abort_watches(self, reason: str) -> None:
        """Abort the waiting watches, which may never get a response."""
        for wait in self._watch_waits:
            if not wait.is_own:
                wait.end(DirectPathLostError(reason))

    @contextmanager
    def _abortable_watch(self) -> Iterator[None]:
        """Let the loss of the path to the store end a watch."""
        with interruptible_wait() as wait:
            self._watch_waits.add(wait)
            try:
                yield
            finally:
                self._watch_waits.discard(wait)

    def _send(
        self, method: str, path: str, content: bytes, timeout: float
    ) -> Outcome[tuple[int, bytes]]:
        try:
            limit_s = CALL_TIMEOUT_S + timeout + len(content) / MIN_TRANSFER_BYTES_PER_S
            with time_limit(limit_s, f"{method} {path}"):
                response = self._pool.request(
                    method,
                    f"http://{self.address}{path}",
                    body=content or None,
                    headers={"Content-Type": "application/json"} if content else None,
                    timeout=urllib3.Timeout(connect=CALL_TIMEOUT_S, read=timeout),
                    retries=False,
                    preload_content=False,
                )
            data = read_and_release(response, CALL_TIMEOUT_S)
        except NOT_SENT_ERRORS as error:
            return NotDone(f"{method} {path}: {error}")
        except (HTTPError, OSError, EOFError) as error:
            return Unknown(f"{method} {path}: {error!r}")
        if response.status in REFUSED_STATUSES:
            return NotDone(f"{method} {path}: status {response.status}")
        if response.status >= 500:
            return Unknown(f"{method} {path}: status {response.status}")
        return Done((response.status, data))

    def _call_through_peers(
        self,
        method: str,
        path: str,
        content: bytes,
        timeout: float,
        outcome: Outcome[tuple[int, bytes]],
    ) -> tuple[Outcome[tuple[int, bytes]], Unknown | None]:
        """Relay a call through peers.

        Returns
        -------
        outcome : Outcome
            The response that a peer got. If none got one, the given outcome, or an
            unknown outcome if a peer may have sent the call.
        uncertain : Unknown or None
            Outcome of an attempt before the last one that may take effect.
        """
        uncertain = outcome if isinstance(outcome, Unknown) else None
        if self.peers is None:
            return outcome, uncertain
        for vm in self.relays()[:MAX_RELAYS]:
            request = peer_pb2.CallStoreRequest(
                method=method, path=path, body=content, timeout=timeout
            )
            response = self.peers.call(
                vm, "CallStore", request, timeout + RELAY_MARGIN_S
            )
            if isinstance(response, Done) and response.value.status:
                return Done((response.value.status, response.value.body)), uncertain
            not_sent = isinstance(response, NotDone) or (
                isinstance(response, Done) and response.value.not_sent
            )
            if not not_sent and uncertain is None:
                uncertain = Unknown(f"{method} {path}: no answer by way of {vm}")
        return uncertain or outcome, uncertain

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


def _decode_item(body: Any) -> Item:
    return Item(
        str(body["key"]),
        base64.b64decode(body["value"], validate=True),
        int(body["revision"]),
        int(body.get("lease") or 0),
    )


def _decode_change(event: Any) -> Change:
    if event.get("tombstone"):
        return Change(str(event["key"]), int(event["revision"]))
    item = _decode_item(event)
    return Change(item.key, item.revision, item)


def _decode_commit(status: int, body: Any) -> Committed | Conflict:
    if status == 200:
        return Committed(int(body["revision"]))
    if status == 404:
        return Conflict(lease_ended=True)
    items = (body or {}).get("items") or []
    return Conflict(tuple(_decode_item(item) for item in items if item.get("value")))
