"""Stand-in of a plain service whose calls may not be repeated.

Each request is answered with JSON that names its method, path, body digest and
running number. ``GET /log`` lists all that ran, with headers, so that a test can
count repeats and look for keys. A ``duration`` in the query delays the answer.
"""

import hashlib
import time
from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, field

from ..runtime.wsgi import Application, StartResponse, query_values, read_json, respond
from .faults import with_faults

__all__ = ["ServiceState", "service_application"]

READ_BYTES = 64 * 1024


@define
class ServiceState:
    """Behaviour and records of one service."""

    duration: float = 0.0
    capacity: int = 64
    leaving: bool = False
    running: int = 0
    requests: list[dict[str, Any]] = field(factory=list)


def service_application(state: ServiceState) -> Application:
    """Return the service as a WSGI application."""

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
        return _run(state, environ, start_response)

    return with_faults(application)


def _run(
    state: ServiceState, environ: dict[str, Any], start_response: StartResponse
) -> Iterable[bytes]:
    state.running += 1
    try:
        digest = hashlib.sha256()
        size = 0
        while content := environ["wsgi.input"].read(READ_BYTES):
            digest.update(content)
            size += len(content)
        entry = {
            "at": time.time(),
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "headers": {k[5:]: v for k, v in environ.items() if k.startswith("HTTP_")},
            "size": size,
            "digest": digest.hexdigest(),
            "number": len(state.requests) + 1,
        }
        state.requests.append(entry)
        eventlet.sleep(float(query_values(environ).get("duration", state.duration)))
        answer = {name: entry[name] for name in entry if name != "headers"}
        # For trainers' steps that are scored; a function of the request alone.
        answer["score"] = int(entry["digest"][:8], 16) / 2**32
        return respond(start_response, 200, answer)
    finally:
        state.running -= 1
