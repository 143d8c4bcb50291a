"""Stand-in for the platform's store and its interface for duties."""

import base64
import itertools
import json
import threading
import time
from http.server import BaseHTTPRequestHandler
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .http import reply_json

__all__ = ["Store"]

HISTORY_S = 20.0
PAGE_ITEMS = 500
MIN_TTL_MS = 1000


class Store:
    """Linearizable key-value store with leases and watches, held in memory."""

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.revision = 1
        self.transactions = 0
        self._changes: list[tuple[float, dict[str, Any]]] = []
        self._compacted = 1
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1)
        self._changed = threading.Condition()
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def put(self, key: str, value: object) -> int:
        """Write a key like the operator or a server; return the revision."""
        with self._changed:
            self.revision += 1
            self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)
            self._changed.notify_all()
            return self.revision

    def remove(self, key: str) -> None:
        """Remove a key like a server that leaves."""
        with self._changed:
            self.revision += 1
            self._remove(key)
            self._changed.notify_all()

    def keys(self, prefix: str) -> dict[str, bytes]:
        """Return the values of all keys below a prefix."""
        with self._changed:
            return {
                key: base64.b64decode(item["value"])
                for key, item in self.items.items()
                if key.startswith(prefix)
            }

    def handle(self, handler: BaseHTTPRequestHandler, body: bytes) -> None:
        """Serve one call."""
        url = urlsplit(handler.path)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        status, value = self._dispatch(handler.command, url.path, query, body)
        reply_json(handler, status, value)

    def _dispatch(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if path in ("/usage", "/scale"):
            return 200, {}
        name, _, argument = path.removeprefix("/mulberryport/").partition("/")
        values = json.loads(body) if body else {}
        match method, name:
            case "GET", "kv-key":
                return self._read(query["key"])
            case "GET", "kv-range":
                return self._list(query["prefix"], query.get("after", ""))
            case "GET", "kv-watch":
                return self._watch(query)
            case "POST", "kv-txn":
                return self._commit(values)
            case "POST", "kv-lease":
                return self._grant(values)
            case "POST", "kv-keep":
                return self._keep(int(argument))
            case "DELETE", "kv-lease-end":
                with self._changed:
                    return (200 if self._end_lease(int(argument)) else 404), {}
        return 404, {}

    def _read(self, key: str) -> tuple[int, Any]:
        with self._changed:
            item = self.items.get(key)
            if item is None:
                return 404, {"store-revision": self.revision}
            return 200, {**item, "store-revision": self.revision}

    def _list(self, prefix: str, after: str) -> tuple[int, Any]:
        with self._changed:
            found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            size, page = 0, []
            for key in found[:PAGE_ITEMS]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(dict(self.items[key]))
            return 200, {
                "items": page,
                "has-more": len(found) > len(page),
                "store-revision": self.revision,
            }

    def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + min(int(query["wait-ms"]), 30_000) / 1000
        with self._changed:
            while True:
                if after < self._compacted:
                    return 410, {}
                events = [
                    event
                    for _, event in self._changes
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "store-revision": self.revision}
                self._changed.wait(remaining)

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        expected, puts = body.get("expected") or [], body.get("puts") or []
        removes = body.get("remove") or []
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        with self._changed:
            self.transactions += 1
            current = [self.items.get(row["key"]) for row in expected]
            for row, item in zip(expected, current, strict=True):
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [dict(item) for item in current if item]}
            leases = {put.get("lease") or 0 for put in puts} - {0}
            if leases - self._leases.keys():
                return 404, {}
            self.revision += 1
            for key in removes:
                self._remove(key)
            for put in puts:
                self._write(put["key"], put["value"], put.get("lease") or 0)
            self._changed.notify_all()
            return 200, {"revision": self.revision}

    def _grant(self, body: dict[str, Any]) -> tuple[int, Any]:
        ttl = max(MIN_TTL_MS, int(body["ttl-ms"]))
        with self._changed:
            lease = next(self._lease_ids)
            self._leases[lease] = (time.monotonic() + ttl / 1000, ttl / 1000)
        return 200, {"lease": lease, "ttl-ms": ttl}

    def _keep(self, lease: int) -> tuple[int, Any]:
        with self._changed:
            if lease not in self._leases:
                return 404, {}
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl, ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}

    def _expire_leases(self) -> None:
        while True:
            time.sleep(0.02)
            with self._changed:
                now = time.monotonic()
                ended = [n for n, (until, _) in self._leases.items() if until <= now]
                for lease in ended:
                    self._end_lease(lease)
                oldest = now - HISTORY_S
                while self._changes and self._changes[0][0] < oldest:
                    self._compacted = self._changes.pop(0)[1]["revision"]

    def _end_lease(self, lease: int) -> bool:
        if self._leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._changed.notify_all()
        return True

    def _write(self, key: str, value: str, lease: int) -> None:
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._changes.append((time.monotonic(), dict(self.items[key])))

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            event = {"key": key, "revision": self.revision, "tombstone": True}
            self._changes.append((time.monotonic(), event))
