"""Stand-in for the users' platform: its key-value store and its interface for duties.

It implements the published protocol, keeps all data in memory and can be set to refuse
calls or to drop the responses to transactions.
"""

import base64
from typing import Any

import orjson
from attrs import define, field

from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..runtime.wsgi import StartResponse, query_values, read_json, respond

__all__ = ["PlatformStandin"]

# Upper limit of the wait time that a watch may ask for.
MAX_WATCH_WAIT_MS = 30_000
PAGE_ITEMS = 100
# Interval at which a waiting watch checks for expired leases.
LEASE_CHECK_INTERVAL_S = 0.05


@define(eq=False)
class Entry:
    """Value of a key with its revisions and its lease (0 for none)."""

    value: bytes
    revision: int
    created: int
    lease: int = 0


@define(eq=False)
class PlatformStandin:
    """WSGI application that serves the store and the interface for duties.

    Parameters
    ----------
    refusing : bool
        Whether all calls are refused with status 503.
    losing : bool
        Whether transactions take effect but their responses are dropped.
    history : int
        Number of latest changes that watches can read.
    """

    refusing: bool = False
    losing: bool = False
    history: int = 1000
    entries: dict[str, Entry] = field(factory=dict)
    reports: list[tuple[str, dict[str, Any]]] = field(factory=list)
    calls: int = 0
    _revision: int = 1
    _changes: list[tuple[int, str, Entry | None]] = field(factory=list)
    _leases: dict[int, tuple[float, float]] = field(factory=dict)
    _changed: Notifier = field(factory=Notifier)

    def put(self, key: str, value: object) -> None:
        """Write a key without a lease, like the operator or a target."""
        self._revision += 1
        self._write_entry(key, orjson.dumps(value), 0)
        self._changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove a key, like the operator or a target."""
        self._revision += 1
        self._remove_entry(key)
        self._changed.notify_all()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Serve one call."""
        self.calls += 1
        if self.refusing:
            return respond(start_response, 503, {})
        self._end_expired_leases()
        status, body = self._dispatch(environ)
        if self.losing and environ["PATH_INFO"].endswith("kv-txn"):
            raise ConnectionAbortedError(
                "response dropped by the stand-in setting losing"
            )
        return respond(start_response, status, body)

    def _dispatch(self, environ: dict[str, Any]) -> tuple[int, Any]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        query = query_values(environ)
        parts = path.strip("/").split("/")
        match (method, parts):
            case ("GET", ["mulberryport", "kv-key"]):
                entry = self.entries.get(query["key"])
                if entry is None:
                    return 404, {"store-revision": self._revision}
                return 200, {
                    **_encode_entry(query["key"], entry),
                    "store-revision": self._revision,
                }
            case ("GET", ["mulberryport", "kv-range"]):
                return 200, self._list_range(query["prefix"], query.get("after", ""))
            case ("GET", ["mulberryport", "kv-watch"]):
                return self._wait_for_changes(query)
            case ("POST", ["mulberryport", "kv-txn"]):
                return self._commit_transaction(read_json(environ))
            case ("POST", ["mulberryport", "kv-lease"]):
                ttl = read_json(environ)["ttl-ms"]
                lease = len(self._leases) + 1
                self._leases[lease] = (boottime() + ttl / 1000, ttl / 1000)
                return 200, {"lease": lease, "ttl-ms": ttl}
            case ("POST", ["mulberryport", "kv-keep", lease]):
                return self._renew_lease(int(lease))
            case ("DELETE", ["mulberryport", "kv-lease-end", lease]):
                known = int(lease) in self._leases
                self._end_lease(int(lease))
                return (200 if known else 404), {}
            case ("POST", ["usage" | "scale"]):
                self.reports.append((parts[0], read_json(environ)))
                return 200, {}
        return 404, {"error": "no such call"}

    def _list_range(self, prefix: str, after: str) -> dict[str, Any]:
        found = sorted(k for k in self.entries if k.startswith(prefix) and k > after)
        return {
            "items": [
                _encode_entry(key, self.entries[key]) for key in found[:PAGE_ITEMS]
            ],
            "has-more": len(found) > PAGE_ITEMS,
            "store-revision": self._revision,
        }

    def _wait_for_changes(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        deadline = boottime() + min(int(query["wait-ms"]), MAX_WATCH_WAIT_MS) / 1000
        while True:
            oldest = self._changes[0][0] if self._changes else 0
            if len(self._changes) >= self.history and after < oldest - 1:
                return 410, {}
            found = [
                _encode_change(revision, key, entry)
                for revision, key, entry in self._changes
                if revision > after and key.startswith(prefix)
            ]
            remaining_s = deadline - boottime()
            if found or remaining_s <= 0:
                return 200, {"events": found, "store-revision": self._revision}
            self._changed.wait(min(remaining_s, LEASE_CHECK_INTERVAL_S))
            self._end_expired_leases()

    def _commit_transaction(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected = {row["key"]: row["revision"] for row in body["expected"]}
        puts, removes = body.get("puts") or [], body.get("remove") or []
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {"error": "too many entries"}
        current = {key: self.entries.get(key) for key in expected}
        for key, entry in current.items():
            if (entry.revision if entry else 0) != expected[key]:
                items = [
                    _encode_entry(key, entry) for key, entry in current.items() if entry
                ]
                return 412, {"items": items}
        if any(put.get("lease") and put["lease"] not in self._leases for put in puts):
            return 404, {}
        self._revision += 1
        for key in removes:
            self._remove_entry(key)
        for put in puts:
            value = base64.b64decode(put["value"], validate=True)
            self._write_entry(put["key"], value, put.get("lease") or 0)
        self._changed.notify_all()
        return 200, {"revision": self._revision}

    def _renew_lease(self, lease: int) -> tuple[int, Any]:
        if lease not in self._leases:
            return 404, {}
        _, ttl = self._leases[lease]
        self._leases[lease] = (boottime() + ttl, ttl)
        return 200, {"ttl-ms": int(ttl * 1000)}

    def _end_expired_leases(self) -> None:
        now = boottime()
        for lease in [n for n, (until, _) in self._leases.items() if until <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, entry in self.entries.items() if entry.lease == lease]
        if lease and keys:
            self._revision += 1
            for key in keys:
                self._remove_entry(key)
            self._changed.notify_all()

    def _write_entry(self, key: str, value: bytes, lease: int) -> None:
        known = self.entries.get(key)
        created = known.created if known else self._revision
        entry = self.entries[key] = Entry(value, self._revision, created, lease)
        self._record_change(key, entry)

    def _remove_entry(self, key: str) -> None:
        if self.entries.pop(key, None) is not None:
            self._record_change(key, None)

    def _record_change(self, key: str, entry: Entry | None) -> None:
        self._changes.append((self._revision, key, entry))
        del self._changes[: -self.history]


def _encode_entry(key: str, entry: Entry) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
        "created": entry.created,
        "lease": entry.lease,
    }


def _encode_change(revision: int, key: str, entry: Entry | None) -> dict[str, Any]:
    if entry is None:
        return {"key": key, "revision": revision, "tombstone": True}
    return _encode_entry(key, entry)
