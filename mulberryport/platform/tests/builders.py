"""Platform of stand-ins and entry daemons as processes, for tests."""

import os
import signal
import subprocess
import sys
from contextlib import closing, contextmanager
from functools import partial
from http.client import HTTPConnection, HTTPException
from pathlib import Path

import eventlet
import orjson

from ...coordination.tests.builders import until
from ...runtime.wsgi import listen, serve
from ...standins.platform_store import PlatformStandin
from ...standins.platform_targets import EngineStandin, ServiceStandin

__all__ = ["HOST", "KEY", "OTHER_KEY", "Platform", "make_configuration", "running"]

HOST = "drafts.example"
KEY, OTHER_KEY = "k" * 20, "o" * 20
SETTINGS = """\
[vm]
id = {vm}
zone = a
caller-address = {caller}
readiness-address = {ready}
peer-address = {peer}
grace = 8

[platform]
store = {store}
cloud = {store}
{extra}

[usage]
window = 1

[peers]
seeds = {seeds}
"""


def make_configuration(version=1, **changes):
    """Return the operator's configuration."""
    route = {
        "host": HOST,
        "kind": "idempotent",
        "timeout-ms": 4000,
        "latency-target-ms": 400,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            {**route, "name": "desk", "prefix": "/desk/", "service": "desk"},
            {
                **route,
                "name": "once",
                "prefix": "/once/",
                "service": "desk",
                "kind": "non_idempotent",
            },
            {**route, "name": "score", "prefix": "/score/", "service": "desk"},
            {
                **route,
                "name": "drafts",
                "prefix": "/drafts/",
                "service": "engines",
                "kind": "rollout",
                "run-target-ms": 7500,
                "queue-ttl-s": 40,
                "max-attempts": 3,
            },
        ],
        "services": [
            {"name": "desk", "health-path": "/health"},
            {
                "name": "engines",
                "health-path": "/health",
                "engine": {"slots": 8, "models": [{"name": "m"}]},
            },
        ],
        "tenants": [
            {"name": "roads", "api-keys": [KEY]},
            {"name": "boats", "api-keys": [OTHER_KEY]},
        ],
        **changes,
    }


class Platform:
    """Stand-ins of the store, two services and two engines, with entry daemons."""

    def __init__(self, folder: Path):
        self.folder = folder
        # Lines for the section [platform] of daemons that are started later.
        self.extra_settings = ""
        self.store = PlatformStandin()
        self.address = self._serve(self.store)
        self.desks = [ServiceStandin("d1"), ServiceStandin("d2")]
        self.engines = [EngineStandin("e1"), EngineStandin("e2")]
        self.desk_addresses = {desk.id: self._serve(desk) for desk in self.desks}
        for desk in self.desks:
            self.register_desk(desk)
        for engine in self.engines:
            address = self._serve(engine)
            engine.on_load = partial(self._register_engine, engine, address)
            engine.on_load()
        self.configure(make_configuration())
        self.processes = {}
        self.callers = {}
        self._peers = [self._free_address() for _ in range(3)]

    def register_desk(self, desk, zone="a"):
        """Write the registration of a plain service in a zone."""
        self._register(desk.id, "desk", self.desk_addresses[desk.id], zone=zone)

    def configure(self, configuration):
        """Write the operator's configuration to the store."""
        self.store.put("op/config", configuration)

    def start(self, vm, number=0, wait=True):
        """Start a daemon and, unless told otherwise, wait until it is ready."""
        caller, ready = self._free_address(), self._free_address()
        seeds = "".join(f"\n    seed{n} a {p}" for n, p in enumerate(self._peers))
        file = self.folder / f"{vm}.ini"
        file.write_text(
            SETTINGS.format(
                vm=vm,
                caller=caller,
                ready=ready,
                peer=self._peers[number],
                store=self.address,
                seeds=seeds,
                extra=self.extra_settings,
            )
        )
        log = open(self.folder / f"{vm}.log", "ab")  # noqa: SIM115
        self.processes[vm] = subprocess.Popen(
            [sys.executable, "-m", "mulberryport", "entry", str(file)],
            stdout=log,
            stderr=log,
            env={**os.environ, "EVENTLET_NO_GREENDNS": "yes"},
        )
        self.callers[vm] = caller
        assert not wait or until(lambda: self._is_ready(ready), 20.0), self.log(vm)

    def kill(self, vm):
        """Kill a daemon."""
        self.processes.pop(vm).kill()

    def terminate(self, vm):
        """Stop a daemon with SIGTERM and return its exit code."""
        process = self.processes.pop(vm)
        process.send_signal(signal.SIGTERM)
        assert until(lambda: process.poll() is not None, 12.0)
        return process.returncode

    def log(self, vm):
        """Return the log of a daemon."""
        return (self.folder / f"{vm}.log").read_text()

    def call(self, vm, method, path, body=None, key=KEY, **headers):
        """Send a request and return status, headers and body."""
        host, _, port = self.callers[vm].partition(":")
        with closing(HTTPConnection(host, int(port), timeout=15)) as connection:
            request_headers = {"Host": HOST, "X-Api-Key": key, "X-Request-Id": "r1"}
            request_headers.update({n.replace("_", "-"): v for n, v in headers.items()})
            connection.request(method, path, body, request_headers)
            response = connection.getresponse()
            return response.status, dict(response.headers), response.read()

    def submit(self, vm, job_id="job1", items=4, **values):
        """Submit a job and return the status of the response."""
        job = {
            "step": 1,
            "model": "m",
            "min-version": 1,
            "target-groups": 2,
            "items": [
                {
                    "id": f"{job_id}-{n}",
                    "path": "/drafts/x",
                    "headers": {"X-Model": "m", "X-Token-Counts": "5,5"},
                    "body": "AAE=",
                    "tokens": 10,
                    "group": f"g{n // 2}",
                    "scorer": {
                        "id": f"s-{job_id}-{n}",
                        "host": HOST,
                        "path": "/score/x",
                        "body": "AA==",
                    },
                }
                for n in range(items)
            ],
            **values,
        }
        return self.call(
            vm, "POST", "/drafts/", orjson.dumps(job), X_Request_Id=job_id
        )[0]

    def results(self, vm, job_id="job1", after=0):
        """Return the results of a job; None if the request failed."""
        try:
            status, _, body = self.call(
                vm, "GET", f"/mulberryport/lots/{job_id}?after={after}"
            )
        except (OSError, HTTPException):
            return None
        return orjson.loads(body)["results"] if status == 200 else None

    def stop(self):
        """Kill all daemons."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def _register_engine(self, engine, address):
        models = [{"name": "m", "version": engine.version}]
        self._register(engine.id, "engines", address, models=models)

    def _register(self, target, service, address, **values):
        entry = {
            "service": service,
            "address": address,
            "zone": "a",
            "state": "ready",
            "slots": 8,
            "seq": 1,
            **values,
        }
        self.store.put(f"servers/{target}", entry)

    def _serve(self, application):
        listener = listen("127.0.0.1:0")
        host, port = listener.getsockname()
        serve(listener, application)
        return f"{host}:{port}"

    def _free_address(self):
        listener = listen("127.0.0.1:0")
        host, port = listener.getsockname()
        listener.close()
        return f"{host}:{port}"

    def _is_ready(self, address):
        host, _, port = address.partition(":")
        try:
            with closing(HTTPConnection(host, int(port), timeout=2)) as connection:
                connection.request("GET", "/mulberryport/readiness")
                return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False


@contextmanager
def running(folder, *vms):
    """Run a platform with entry daemons on the given VMs."""
    platform = Platform(folder)
    try:
        for number, vm in enumerate(vms):
            platform.start(vm, number)
        yield platform
    finally:
        platform.stop()
        eventlet.sleep(0)
