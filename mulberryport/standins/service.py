"""Stand-in for a plain service whose calls are not idempotent.

The response to each request is JSON with its method, path, body digest and sequence
number. ``GET /log`` lists all executed requests with their headers, so that a test
can count repeated calls and look for leaked keys. The query parameter ``duration``
delays the response by that many seconds.
"""

import hashlib
import time
from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, field

from ..runtime.wsgi import Application, StartResponse, query_values, read_json, respond
from .faults import inject_faults

__all__ = ["ServiceState", "service_application"]

READ_BYTES = 64 * 1024


@define
class ServiceState:
    """Configuration and recorded requests of one service."""

    duration: float = 0.0
    capacity: int = 64
    leaving: bool = False
    running: int = 0
    requests: list[dict[str, Any]] = field(factory=list)


def service_application(state: ServiceState) -> Application:
    """Return a WSGI application that serves the plain service."""

    def application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/load":
            return respond(
                start_response,
                200,
                {
                    "running": state.running,
                    "waiting": 0,
                    "capacity": state.capacity,
                    "leaving": state.leaving,
                    "measured_at": time.time(),
                },
            )
        if path == "/log":
            return respond(start_response, 200, {"requests": state.requests})
        if path == "/configure":
            for name, value in (read_json(environ) or {}).items():
                setattr(state, name, value)
            return respond(start_response, 200, {})
        return _handle_request(state, environ, start_response)

    return inject_faults(application)


def _handle_request(
    state: ServiceState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    state.running += 1
    try:
        digest = hashlib.sha256()
        size = 0
        while content := environ["wsgi.input"].read(READ_BYTES):
            digest.update(content)
            size += len(content)
        log_entry = {
            "at": time.time(),
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "headers": {k[5:]: v for k, v in environ.items() if k.startswith("HTTP_")},
            "size": size,
            "digest": digest.hexdigest(),
            "number": len(state.requests) + 1,
        }
        state.requests.append(log_entry)
        eventlet.sleep(float(query_values(environ).get("duration", state.duration)))
        answer = {name: log_entry[name] for name in log_entry if name != "headers"}
        # Score for steps with a scoring route; depends only on the request body.
        answer["score"] = int(log_entry["digest"][:8], 16) / 2**32
        return respond(start_response, 200, answer)
    finally:
        state.running -= 1
