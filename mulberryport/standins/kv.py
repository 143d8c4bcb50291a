"""Stand-in for the platform's key-value store with keys, leases and watches."""

import time
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import unquote

import eventlet
from attrs import define, field

from ..runtime.wsgi import Application, StartResponse, query_values, read_json, respond

__all__ = ["KeyValueState", "key_value_application"]

WATCH_POLL_S = 0.02


@define
class LeaseRecord:
    """Holder, fencing number and expiry of a lease in the store."""

    holder: str = ""
    fencing: int = 0
    expires: float = 0.0


@define
class KeyValueState:
    """Contents of the store and the number of calls by method and path."""

    entries: dict[str, tuple[str, int]] = field(factory=dict)
    last_version: int = 0
    leases: dict[str, LeaseRecord] = field(factory=dict)
    calls: dict[str, int] = field(factory=dict)

    def compare_and_swap(self, key: str, value: str, expected: int) -> tuple[bool, int]:
        """Write if the version is as expected; return success and current version."""
        version = self.entries.get(key, ("", 0))[1]
        if version != expected:
            return False, version
        self.last_version += 1
        self.entries[key] = (value, self.last_version)
        return True, self.last_version


def key_value_application(
    state: KeyValueState, now: Callable[[], float] = time.monotonic
) -> Application:
    """Return a WSGI application that serves the store."""

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], unquote(environ["PATH_INFO"])
        call_kind = f"{method} /{path.split('/')[1]}"
        state.calls[call_kind] = state.calls.get(call_kind, 0) + 1
        if path == "/keys":
            prefix = query_values(environ).get("prefix", "")
            keys = sorted(key for key in state.entries if key.startswith(prefix))
            return respond(start_response, 200, {"keys": keys})
        if path.startswith("/kv/"):
            return _serve_key(state, environ, start_response, path[len("/kv/") :])
        if path.startswith("/leases/"):
            name = path[len("/leases/") :]
            return _serve_lease(state, environ, start_response, name, now())
        if path == "/calls":
            return respond(start_response, 200, state.calls)
        return respond(start_response, 404, {"error": f"no path {path}"})

    return application


def _serve_key(
    state: KeyValueState,
    environ: dict[str, Any],
    start_response: StartResponse,
    key: str,
) -> Iterable[bytes]:
    method, query = environ["REQUEST_METHOD"], query_values(environ)
    if method == "GET":
        deadline = time.monotonic() + float(query.get("wait", 0))
        seen_version = int(query.get("seen", -1))
        while (
            state.entries.get(key, ("", 0))[1] == seen_version
            and time.monotonic() < deadline
        ):
            eventlet.sleep(WATCH_POLL_S)
        if key not in state.entries:
            return respond(start_response, 404, {"version": 0})
        value, version = state.entries[key]
        return respond(start_response, 200, {"value": value, "version": version})
    if method == "PUT":
        body = read_json(environ)
        written, version = state.compare_and_swap(key, body["value"], body["expected"])
        return respond(
            start_response,
            200 if written else 409,
            {"version": version, "value": body["value"] if written else None},
        )
    version = state.entries.get(key, ("", 0))[1]
    if version != int(query["expected"]):
        return respond(start_response, 409, {"version": version})
    state.entries.pop(key, None)
    return respond(start_response, 200, {"version": 0, "value": None})


def _serve_lease(
    state: KeyValueState,
    environ: dict[str, Any],
    start_response: StartResponse,
    name: str,
    now: float,
) -> Iterable[bytes]:
    lease = state.leases.setdefault(name, LeaseRecord())
    if environ["REQUEST_METHOD"] == "DELETE":
        query = query_values(environ)
        if (lease.holder, str(lease.fencing)) != (query["holder"], query["fencing"]):
            return respond(start_response, 409, {})
        lease.expires = 0.0
        return respond(start_response, 200, {})
    body = read_json(environ)
    is_holder = lease.holder == body["holder"] and now < lease.expires
    if environ["REQUEST_METHOD"] == "PUT" and not (
        is_holder and lease.fencing == body["fencing"]
    ):
        return respond(start_response, 409, {"holder": lease.holder})
    if not is_holder and now < lease.expires:
        return respond(start_response, 409, {"holder": lease.holder})
    if not is_holder:
        lease.fencing += 1
        lease.holder = body["holder"]
    lease.expires = now + body["ttl"]
    return respond(start_response, 200, {"fencing": lease.fencing})
