"""Faults that a test switches on in a stand-in.

A ``POST`` of JSON to ``/faults`` sets them: ``down`` refuses each call with 503
before it takes effect, ``lose_answers`` closes the connection after the call took
effect, ``delay`` waits before answering, and ``paths`` limits the faults to paths
with one of these prefixes.
"""

from collections.abc import Iterable
from typing import Any

import eventlet
from attrs import define, evolve

from ..runtime.wsgi import Application, StartResponse, read_json, respond

__all__ = ["Faults", "with_faults"]


@define
class Faults:
    """The faults in force."""

    down: bool = False
    lose_answers: bool = False
    delay: float = 0.0
    paths: tuple[str, ...] = ("/",)


def with_faults(application: Application) -> Application:
    """Return an application that fails as told."""
    faults = Faults()

    def faulty(
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
            discard = [b"".join(application(environ, lambda *_: None))]
            del discard
            environ["eventlet.input"].get_socket().shutdown(2)
            raise ConnectionAbortedError("answer lost on request of a test")
        return application(environ, start_response)

    return faulty
