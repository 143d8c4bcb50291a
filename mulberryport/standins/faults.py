"""Fault injection into stand-ins.

A ``POST`` of JSON to ``/faults`` sets the faults: ``down`` rejects each call with 503
before it takes effect, ``lose_answers`` closes the connection after the call took
effect, ``delay`` is a pause in seconds before each call, and ``paths`` limits the
faults to paths with one of these prefixes.
"""

from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, evolve

from ..runtime.wsgi import Application, StartResponse, read_json, respond

__all__ = ["Faults", "inject_faults"]


@define
class Faults:
    """Faults that are currently injected."""

    down: bool = False
    lose_answers: bool = False
    delay: float = 0.0
    paths: tuple[str, ...] = ("/",)


def inject_faults(application: Application) -> Application:
    """Wrap an application with faults that are set by ``POST /faults``."""
    faults = Faults()

    def faulty_application(
        environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        nonlocal faults
        path = environ["PATH_INFO"]
        if path == "/faults":
            values = read_json(environ) or {}
            faults = evolve(Faults(), **values)
            return respond(start_response, 200, {})
        if not any(path.startswith(prefix) for prefix in faults.paths):
            return application(environ, start_response)
        if faults.delay:
            eventlet.sleep(faults.delay)
        if faults.down:
            return respond(start_response, 503, {"error": "down"})
        if faults.lose_answers:
            discarded_chunks = [b"".join(application(environ, lambda *_: None))]
            del discarded_chunks
            environ["eventlet.input"].get_socket().shutdown(2)
            raise ConnectionAbortedError(
                "response dropped by the injected fault lose_answers"
            )
        return application(environ, start_response)

    return faulty_application
