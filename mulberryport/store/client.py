"""Client of the platform's key-value store.

Each method makes one call; its outcome is ``Unknown`` if the client cannot tell
whether the call took effect. Values are bytes. The version of a key is an integer
that increases with each write; version 0 means that the key does not exist.

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
# HTTP statuses that carry a result; with any other status the call is rejected.
READ_STATUSES = (200, 404)
CONDITIONAL_STATUSES = (200, 409)


@frozen
class Entry:
    """Value and version of a key; None and 0 if the key does not exist."""

    value: bytes | None
    version: int


@frozen
class Conflict:
    """Result of a failed compare-and-swap, with the current version of the key."""

    version: int


@frozen
class Lease:
    """A granted lease.

    Parameters
    ----------
    name : str
        Name of the lease.
    fencing : int
        Fencing number, which increases each time the lease changes its holder.
    ttl : float
        Seconds for which the lease was granted.
    """

    name: str
    fencing: int
    ttl: float


@define(eq=False)
class StoreClient:
    """Client of the store that counts its calls.

    Parameters
    ----------
    url : str
        Base URL of the store.
    timeout : float
        Seconds allowed for each call.
    token : str
        Bearer token; not sent if empty.
    """

    url: str
    timeout: float = 2.0
    token: str = field(default="", repr=False)
    calls: int = 0

    def read(self, key: str) -> Outcome[Entry]:
        """Read the value and version of a key."""
        reply = self._call("GET", f"/kv/{quote(key)}")
        return _convert_reply(reply, _parse_entry_or_absent, READ_STATUSES)

    def write(self, key: str, value: bytes, expected: int) -> Outcome[Entry | Conflict]:
        """Write a key by compare-and-swap of its version.

        Parameters
        ----------
        key : str
            The key.
        value : bytes
            New value, of at most ``MAX_VALUE_BYTES``.
        expected : int
            Version that the key must have; 0 if the key must not exist.

        Returns
        -------
        Done of Entry, Done of Conflict, NotDone or Unknown
        """
        if len(value) > MAX_VALUE_BYTES:
            return NotDone(f"value of {key} has {len(value)} bytes; the limit is 1 MB")
        body = {"value": base64.b64encode(value).decode(), "expected": expected}
        reply = self._call("PUT", f"/kv/{quote(key)}", body)
        return _convert_reply(reply, _parse_entry_or_conflict, CONDITIONAL_STATUSES)

    def remove(self, key: str, expected: int) -> Outcome[Entry | Conflict]:
        """Remove a key if it has the expected version."""
        reply = self._call("DELETE", f"/kv/{quote(key)}?expected={expected}")
        return _convert_reply(reply, _parse_entry_or_conflict, CONDITIONAL_STATUSES)

    def list_keys(self, prefix: str) -> Outcome[list[str]]:
        """Return the keys with a prefix, in order."""
        reply = self._call("GET", f"/keys?prefix={quote(prefix, safe='')}")
        return _convert_reply(
            reply, lambda r: [str(key) for key in r.body["keys"]], (200,)
        )

    def watch(self, key: str, seen: int, wait: float) -> Outcome[Entry]:
        """Wait until the version of a key differs from ``seen``, and return its entry.

        Parameters
        ----------
        key : str
            The key.
        seen : int
            Last version known to the caller.
        wait : float
            Seconds after which the entry is returned even if it is unchanged.
        """
        path = f"/kv/{quote(key)}?seen={seen}&wait={wait}"
        reply = self._call("GET", path, timeout=wait + self.timeout)
        return _convert_reply(reply, _parse_entry_or_absent, READ_STATUSES)

    def acquire_lease(
        self, name: str, holder: str, ttl: float
    ) -> Outcome[Lease | None]:
        """Acquire a lease, or extend it if the holder already has it.

        Returns
        -------
        Done of Lease, Done of None, NotDone or Unknown
            ``Done(None)`` if another holder has the lease.
        """
        body = {"holder": holder, "ttl": ttl}
        reply = self._call("POST", f"/leases/{quote(name)}", body)
        return _convert_reply(
            reply, lambda r: _parse_lease(name, ttl, r), CONDITIONAL_STATUSES
        )

    def renew_lease(
        self, name: str, holder: str, fencing: int, ttl: float
    ) -> Outcome[Lease | None]:
        """Extend a lease that the holder still has with the same fencing number."""
        body = {"holder": holder, "ttl": ttl, "fencing": fencing}
        reply = self._call("PUT", f"/leases/{quote(name)}", body)
        return _convert_reply(
            reply, lambda r: _parse_lease(name, ttl, r), CONDITIONAL_STATUSES
        )

    def release_lease(self, name: str, holder: str, fencing: int) -> Outcome[bool]:
        """Release a lease; the result is False if the holder no longer has it."""
        path = f"/leases/{quote(name)}?holder={quote(holder)}&fencing={fencing}"
        reply = self._call("DELETE", path)
        return _convert_reply(reply, lambda r: r.status == 200, CONDITIONAL_STATUSES)

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


def _convert_reply(
    outcome: Outcome[JsonReply], convert: Any, result_statuses: tuple[int, ...]
) -> Outcome[Any]:
    """Convert the reply to a call; the outcome of a malformed reply is unknown."""
    if not isinstance(outcome, Done):
        return outcome
    reply = outcome.value
    if reply.status not in result_statuses:
        return NotDone(f"the store refused the call with status {reply.status}")
    try:
        return Done(convert(reply))
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        return Unknown(f"malformed answer of the store: {error!r}")


def _parse_entry_or_absent(reply: JsonReply) -> Entry:
    return Entry(None, 0) if reply.status == 404 else _parse_entry(reply)


def _parse_entry(reply: JsonReply) -> Entry:
    value = reply.body.get("value")
    decoded = None if value is None else base64.b64decode(value, validate=True)
    return Entry(decoded, int(reply.body["version"]))


def _parse_entry_or_conflict(reply: JsonReply) -> Entry | Conflict:
    if reply.status == 409:
        return Conflict(int(reply.body["version"]))
    return _parse_entry(reply)


def _parse_lease(name: str, ttl: float, reply: JsonReply) -> Lease | None:
    if reply.status != 200:
        return None
    return Lease(name, int(reply.body["fencing"]), ttl)
