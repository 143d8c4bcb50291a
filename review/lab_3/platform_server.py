"""Stand-in for the platform as a process, with calls that a test makes.

``POST /admin/put`` and ``/admin/remove`` write and remove keys as the operator does.
``POST /admin/set`` sets ``refusing`` and ``losing``. ``GET /admin/reports`` lists the
calls of the duties.
"""

import sys
from typing import Any

from mulberryport.runtime.hub import install_eventlet

install_eventlet()

import eventlet  # noqa: E402

from mulberryport.runtime.clock import boottime  # noqa: E402
from mulberryport.runtime.wsgi import (  # noqa: E402
    StartResponse,
    listen,
    read_json,
    respond,
    serve,
)
from mulberryport.standins.platform_store import PlatformStandin  # noqa: E402


class Platform(PlatformStandin):
    """The project's stand-in, with lease ids that are never given twice."""

    last_lease = 77_000

    def _dispatch(self, environ: dict[str, Any]) -> tuple[int, Any]:
        if environ["PATH_INFO"] != "/mulberryport/kv-lease":
            return super()._dispatch(environ)
        ttl_s = read_json(environ)["ttl-ms"] / 1000
        self.last_lease += 1
        self._leases[self.last_lease] = (boottime() + ttl_s, ttl_s)
        return 200, {"lease": self.last_lease, "ttl-ms": int(ttl_s * 1000)}


def main(address: str) -> None:
    """Serve the platform at an address until the process is killed."""
    platform = Platform()

    def application(environ: dict[str, Any], start_response: StartResponse) -> Any:
        path = environ["PATH_INFO"]
        if not path.startswith("/admin/"):
            return platform(environ, start_response)
        body = read_json(environ)
        if path == "/admin/put":
            platform.put(body["key"], body["value"])
        elif path == "/admin/remove":
            platform.remove(body["key"])
        elif path == "/admin/set":
            for name, value in body.items():
                setattr(platform, name, value)
        elif path == "/admin/reports":
            return respond(start_response, 200, platform.reports)
        elif path == "/admin/keys":
            return respond(start_response, 200, sorted(platform.entries))
        return respond(start_response, 200, {})

    serve(listen(address), application)
    while True:
        eventlet.sleep(3600)


if __name__ == "__main__":
    main(sys.argv[1])
