"""Builders of tables and stores for tests."""

from collections.abc import Iterator
from contextlib import contextmanager

from ...runtime.wsgi import listen, serve
from ...standins import platform_application
from ...store import StoreClient
from .. import Tables, parse_tables

__all__ = ["TABLES_TEXT", "running_store", "sample_tables"]

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
    """Return tables with a plain service and a pool of engines."""
    return parse_tables(TABLES_TEXT, "tables.ini")


@contextmanager
def running_store() -> Iterator[StoreClient]:
    """Run a stand-in store in this process and return a client of it."""
    listener = listen("127.0.0.1:0")
    server = serve(listener, platform_application())
    try:
        yield StoreClient(f"http://127.0.0.1:{listener.getsockname()[1]}")
    finally:
        server.kill()
