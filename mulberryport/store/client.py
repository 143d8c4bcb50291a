"""Client of the platform's key-value store.

Each function makes one call, or says why it cannot know whether the call took
effect. Values are bytes; a version is an integer that rises with each write of
a key, and 0 stands for a key that does not exist.

See Also
--------
mulberryport.outcomes : the three outcomes of a call
"""

import base64
from typing import Any
from urllib.parse import quote

from attrs import define, field, frozen

from ..outcomes import Done, NotDone, Outcome, Unknown
from ..runtime.http import JsonReply, call_json

__all__ = ["Conflict", "Entry", "Lease", "StoreClient", "MAX_VALUE_BYTES"]

MAX_VALUE_BYTES = 1_000_000
# Statuses that answer a call; any other one refuses it.
FOUND_OR_NOT = (200, 404)
DONE_OR_CONFLICT = (200, 409)


@frozen
class Entry:
    """A key's value and version; version 0 and no value if it does not exist."""

    value: bytes | None
    version: int


@frozen
class Conflict:
    """A compare-and-swap that lost: the key has another version by now."""

    version: int


@frozen
class Lease:
    """A granted lease.

    Parameters
    ----------
    name : str
        Name of the lease.
    fencing : int
        Rises each time the lease passes to another holder.
    ttl : float
        Seconds for which it was granted.
    """

    name: str
    fencing: int
    ttl: float


@define(eq=False)
class StoreClient:
    """Address and limits of the store, with a count of the calls made.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Seconds allowed for each call.
    token : str
        Sent as bearer token unless empty.
    """

    url: str
    timeout: float = 2.0
    token: str = field(default="", repr=False)
    calls: int = 0

    def read(self, key: str) -> Outcome[Entry]:
        """Read a key."""
        reply = self._call("GET", f"/kv/{quote(key)}")
        return _map(reply, _entry_or_none, FOUND_OR_NOT)

    def write(self, key: str, value: bytes, expected: int) -> Outcome[Entry | Conflict]:
        """Write a key if it still has an expected version.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            At most ``MAX_VALUE_BYTES``.
        expected : int
            Version that the key must have; 0 writes only a key that does not
            exist.

        Returns
        -------
        Done of Entry, Done of Conflict, NotDone or Unknown
        """
        if len(value) > MAX_VALUE_BYTES:
            return NotDone(f"value of {key} has {len(value)} bytes; the limit is 1 MB")
        body = {"value": base64.b64encode(value).decode(), "expected": expected}
        reply = self._call("PUT", f"/kv/{quote(key)}", body)
        return _map(reply, _entry_or_conflict, DONE_OR_CONFLICT)

    def remove(self, key: str, expected: int) -> Outcome[Entry | Conflict]:
        """Remove a key if it still has an expected version."""
        reply = self._call("DELETE", f"/kv/{quote(key)}?expected={expected}")
        return _map(reply, _entry_or_conflict, DONE_OR_CONFLICT)

    def list_keys(self, prefix: str) -> Outcome[list[str]]:
        """Return the keys that start with a prefix, in order."""
        reply = self._call("GET", f"/keys?prefix={quote(prefix, safe='')}")
        return _map(reply, lambda r: [str(key) for key in r.body["keys"]], (200,))

    def watch(self, key: str, seen: int, wait: float) -> Outcome[Entry]:
        """Return the key as soon as its version differs from the one seen.

        Parameters
        ----------
        key : str
            The key.
        seen : int
            Version known to the caller.
        wait : float
            Seconds until the current entry is returned although it is unchanged.
        """
        path = f"/kv/{quote(key)}?seen={seen}&wait={wait}"
        reply = self._call("GET", path, timeout=wait + self.timeout)
        return _map(reply, _entry_or_none, FOUND_OR_NOT)

    def acquire_lease(
        self, name: str, holder: str, ttl: float
    ) -> Outcome[Lease | None]:
        """Acquire a lease, or extend it if the holder has it.

        Returns
        -------
        Done of Lease, Done of None, NotDone or Unknown
            ``Done(None)`` if another holder has the lease.
        """
        body = {"holder": holder, "ttl": ttl}
        reply = self._call("POST", f"/leases/{quote(name)}", body)
        return _map(reply, lambda r: _lease(name, ttl, r), DONE_OR_CONFLICT)

    def renew_lease(
        self, name: str, holder: str, fencing: int, ttl: float
    ) -> Outcome[Lease | None]:
        """Extend a lease that the holder still has under the same fencing number."""
        body = {"holder": holder, "ttl": ttl, "fencing": fencing}
        reply = self._call("PUT", f"/leases/{quote(name)}", body)
        return _map(reply, lambda r: _lease(name, ttl, r), DONE_OR_CONFLICT)

    def release_lease(self, name: str, holder: str, fencing: int) -> Outcome[bool]:
        """Give a lease back; false if the holder no longer has it."""
        path = f"/leases/{quote(name)}?holder={quote(holder)}&fencing={fencing}"
        reply = self._call("DELETE", path)
        return _map(reply, lambda r: r.status == 200, DONE_OR_CONFLICT)

    def _call(
        self, method: str, path: str, body: object = None, timeout: float | None = None
    ) -> Outcome[JsonReply]:
        self.calls += 1
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else None
        return call_json(
            method,
            self.url + path,
            body,
            timeout=self.timeout if timeout is None else timeout,
            headers=headers,
        )


def _map(
    outcome: Outcome[JsonReply], convert: Any, expected: tuple[int, ...]
) -> Outcome[Any]:
    """Convert the answer of a call; an answer of another form is unknown."""
    if not isinstance(outcome, Done):
        return outcome
    reply = outcome.value
    if reply.status not in expected:
        return NotDone(f"the store refused the call with status {reply.status}")
    try:
        return Done(convert(reply))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Unknown(f"malformed answer of the store: {error!r}")


def _entry_or_none(reply: JsonReply) -> Entry:
    return Entry(None, 0) if reply.status == 404 else _entry(reply)


def _entry(reply: JsonReply) -> Entry:
    value = reply.body.get("value")
    decoded = None if value is None else base64.b64decode(value, validate=True)
    return Entry(decoded, int(reply.body["version"]))


def _entry_or_conflict(reply: JsonReply) -> Entry | Conflict:
    if reply.status == 409:
        return Conflict(int(reply.body["version"]))
    return _entry(reply)


def _lease(name: str, ttl: float, reply: JsonReply) -> Lease | None:
    if reply.status != 200:
        return None
    return Lease(name, int(reply.body["fencing"]), ttl)
