"""Stand-ins for engines and plain services with the protocol of the users' platform."""

from collections.abc import Callable, Iterator
from typing import Any

import eventlet
from attrs import define, field

from ..runtime.wsgi import StartResponse, read_json, respond

__all__ = ["EngineStandin", "ServiceStandin"]

EVENT_STREAM_TYPE = "text/event-stream"


@define(eq=False)
class ServiceStandin:
    """Plain service, used for scoring too.

    Parameters
    ----------
    id : str
        Id of the target; a request that expects another target gets status 421.
    statuses : list of int
        Statuses of the next responses; 200 if empty. 0 truncates the response body.
    response_delay_s : float
        Seconds before a response.
    """

    id: str
    statuses: list[int] = field(factory=list)
    response_delay_s: float = 0.0
    requests: list[dict[str, str]] = field(factory=list)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> list[bytes]:
        """Serve one request."""
        seen = {
            name: value
            for name, value in environ.items()
            if name.startswith("HTTP_") or name in ("REQUEST_METHOD", "PATH_INFO")
        }
        seen["body"] = environ["wsgi.input"].read().decode("latin-1")
        self.requests.append(seen)
        eventlet.sleep(self.response_delay_s)
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.id) != self.id:
            start_response("421 Misdirected Request", [("Content-Length", "0")])
            return []
        status = self.statuses.pop(0) if self.statuses else 200
        headers = [
            ("X-Request-Id", environ.get("HTTP_X_REQUEST_ID", "")),
            ("X-Server-Load", "1,0,8"),
        ]
        if status == 503:
            return respond(start_response, 503, {}, [*headers, ("X-Not-Run", "1")])
        if status == 0:
            start_response("200 OK", [*headers, ("Content-Length", "100")])
            return [b"short"]
        headers.append(("X-Server-Stamp", f"stamp of {self.id}"))
        return respond(start_response, status, {"from": self.id}, headers)


@define(eq=False)
class EngineStandin:
    """Model engine that streams events and accepts orders to load weights.

    Parameters
    ----------
    id : str
        Id of the target.
    model : str
        Name of its model.
    version : int
        Loaded weight version of the model.
    event_count : int
        Number of events in each stream.
    event_interval_s : float
        Seconds before each event.
    on_load : callable
        Called after weights are loaded.
    software : str
        Version of the engine's software, which its events name; empty to leave it out.
    break_after : int
        Number of events after which streams that begin anew break off; 0 for never.
    """

    id: str
    model: str = "m"
    version: int = 1
    event_count: int = 3
    event_interval_s: float = 0.01
    on_load: Callable[[], None] = lambda: None
    software: str = ""
    break_after: int = 0
    orders: list[dict[str, Any]] = field(factory=list)
    started_items: list[tuple[str, int]] = field(factory=list)

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Any:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.id) != self.id:
            start_response("421 Misdirected Request", [("Content-Length", "0")])
            return []
        if path == "/mulberryport/report":
            body = {"busy": False, "seq": len(self.orders), "models": []}
            return respond(start_response, 200, body)
        if path == "/mulberryport/order":
            order = read_json(environ)
            self.orders.append(order)
            self.version = order["version"]
            self.on_load()
            return respond(start_response, 202, {})
        return self._generate(environ, start_response)

    def _generate(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        environ["wsgi.input"].read()
        item = environ["HTTP_X_REQUEST_ID"]
        after = int(environ.get("HTTP_LAST_EVENT_ID", 0))
        self.started_items.append((item, after))
        start_response(
            "200 OK",
            [
                ("Content-Type", EVENT_STREAM_TYPE),
                ("X-Request-Id", item),
                ("X-Server-Stamp", f"stamp of {self.id}"),
                ("X-Server-Load", "1,0,8"),
                ("X-Weight-Versions", str(self.version)),
            ],
        )
        version, prefix = self.version, f"{self.software}:" * bool(self.software)
        for number in range(after + 1, self.event_count + 1):
            eventlet.sleep(self.event_interval_s)
            head = f"x-weight-versions: {self.version}\n" * (version != self.version)
            version = self.version
            yield f"{head}id: {number}\ndata: {prefix}{item}.{number}\n\n".encode()
            if number == self.break_after and not after:
                raise ConnectionResetError("the stream breaks off")
