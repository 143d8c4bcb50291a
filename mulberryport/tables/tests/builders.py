"""Sample tables and in-process stores for tests."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

from ...runtime.wsgi import Application, listen, serve
from ...standins import platform_application
from ...store import StoreClient
from .. import Tables, parse_tables
from ..head import HEAD_KEY

__all__ = ["TABLES_TEXT", "drop_head_write_responses", "running_store", "sample_tables"]

TABLES_TEXT = """
[workspace roads]
weight = 2
[workspace hauliers]
[route filing]
path = /filing/
pool = desk
workspaces = roads, hauliers
[route drafting]
path = /drafting/
pool = drafting
workspaces = roads
[pool desk]
kind = plain-service
targets = desk1 127.0.0.1:9101 rosario
[pool drafting]
kind = model-engine
targets =
    engine1 127.0.0.1:9201 rosario cheap fencing
    engine2 127.0.0.1:9202 parana
"""


def sample_tables() -> Tables:
    """Return tables with a plain service pool and a model engine pool."""
    return parse_tables(TABLES_TEXT, "tables.ini")


@contextmanager
def running_store(
    wrap: Callable[[Application], Application] | None = None,
) -> Iterator[StoreClient]:
    """Run an in-process stand-in of the store and yield a client for it.

    Parameters
    ----------
    wrap : callable, optional
        Wraps the WSGI application of the stand-in platform.
    """
    listener = listen("127.0.0.1:0")
    application = platform_application()
    server = serve(listener, wrap(application) if wrap else application)
    try:
        yield StoreClient(f"http://127.0.0.1:{listener.getsockname()[1]}")
    finally:
        server.kill()


def drop_head_write_responses(
    application: Application,
    effects: list[str],
    concurrent_changes: list[Callable[[], object]],
) -> Application:
    """Wrap a store so that it drops responses to writes of the head.

    Parameters
    ----------
    application : callable
        WSGI application of the store.
    effects : list of str
        Consumed from the front, one for each write of the head: ``"taken"`` applies
        the write and drops the response, ``"untaken"`` drops the request, ``""``
        serves it normally.
    concurrent_changes : list of callable
        Consumed from the front, one called before each dropped response.
    """

    def drop_responses(environ: dict, start_response: Callable) -> Iterable[bytes]:
        is_write = environ["REQUEST_METHOD"] == "PUT"
        if not is_write or environ["PATH_INFO"] != f"/kv/{HEAD_KEY}" or not effects:
            return application(environ, start_response)
        effect = effects.pop(0)
        if not effect:
            return application(environ, start_response)
        if effect == "taken":
            b"".join(application(environ, lambda *_: None))
        if concurrent_changes:
            concurrent_changes.pop(0)()
        environ["eventlet.input"].get_socket().shutdown(2)
        raise ConnectionAbortedError("response dropped by the test")

    return drop_responses
