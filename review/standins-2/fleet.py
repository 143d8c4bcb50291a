"""Small stand-ins of the platform, servers and clients for the cases 6 to 10.

Uses the standard library only. The programs under test run as separate processes with
the commands of the deploy file; everything is on loopback addresses.
"""

import base64
import contextlib
import http.client
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "drafts.example"
KEY, OTHER_KEY = "k" * 20, "o" * 20
TENANT, OTHER_TENANT = "roads", "boats"
MODEL = "m0"
MAX_WAIT_S = 30.0
FREE_PORTS = (12_000, 32_000)
ENTRY = """\
[vm]
id = {vm}
zone = {zone}
caller-address = {caller}
readiness-address = {ready}
peer-address = {peer}
metrics-port = {metrics}
grace = 8

[platform]
store = {store}
cloud = {cloud}
lease-ms = 3000
disk-losses = 1
retention = {retention}

[usage]
window = 5

[peers]
seeds = {seeds}
"""
STORAGE = """\
[vm]
id = {vm}
zone = {zone}
peer-address = {peer}
data-folder = {folder}

[platform]
store = {store}
retention = {retention}
"""


class Record:
    """File that tells what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        # Whether to leave out single runs, where there are thousands.
        self.hides_runs = False

    def __call__(self, text):
        """Write one line with the seconds since the start."""
        with self._lock:
            elapsed_s = time.monotonic() - self._started_at
            self._file.write(f"{elapsed_s:8.3f} {text}\n")
            self._file.flush()


class Handler(BaseHTTPRequestHandler):
    """Passes each request to the stand-in that owns the server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def handle_any(self):
        """Serve one request."""
        self.server.standin.serve(self)

    def __getattr__(self, name):
        """Return the same function for every method."""
        if name.startswith("do_"):
            return self.handle_any
        raise AttributeError(name)

    def log_message(self, *args):
        """Write nothing to standard error."""

    def read_body(self):
        """Return the body of the request, by its length or its chunks."""
        if "chunked" in (self.headers.get("Transfer-Encoding") or "").lower():
            parts = []
            while size := int(self.rfile.readline().split(b";")[0], 16):
                parts.append(self.rfile.read(size))
                self.rfile.readline()
            while self.rfile.readline().strip():
                pass
            return b"".join(parts)
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", headers=()):
        """Send a whole response."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class QuietServer(ThreadingHTTPServer):
    """Server that stays silent about broken connections and can end them all."""

    daemon_threads = True
    request_queue_size = 128
    allow_reuse_address = True

    def __init__(self, address, handler):
        self.connections = set()
        super().__init__(address, handler)

    def process_request(self, request, client_address):
        """Remember a connection until it is closed."""
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Forget a connection that ends."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def end(self):
        """End at once, as a process that is killed."""
        self.socket.close()
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self.shutdown, daemon=True).start()

    def handle_error(self, request, client_address):
        """Ignore a connection that broke."""


class Standin:
    """Base of the stand-ins: an HTTP server on a free port."""

    def __init__(self, ip="127.0.0.1", port=0):
        self._server = QuietServer((ip, port), Handler)
        self._server.standin = self
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class Store(Standin):
    """The platform's store and its interface for duties.

    ``is_refusing`` and ``delay_s`` are the disruptions: all calls are refused with 503,
    or answered late.
    """

    def __init__(self, record, ip="127.0.0.1"):
        self.record = record
        self.items, self.changes, self.leases = {}, [], {}
        self.revision, self.is_refusing, self.delay_s = 1, False, 0.0
        self.reports = []
        self._lease_ids = itertools.count(77120)
        self._changed = threading.Condition()
        super().__init__(ip)
        threading.Thread(target=self._expire, daemon=True).start()

    def put(self, key, value):
        """Write a key like the operator or a server."""
        with self._changed:
            self.revision += 1
            self._write(key, json.dumps(value).encode(), 0)
            self._changed.notify_all()

    def remove(self, key):
        """Remove a key like the operator or a server."""
        with self._changed:
            self.revision += 1
            self._remove(key)
            self._changed.notify_all()

    def keys(self, prefix):
        """Return the keys below a prefix and their values."""
        with self._changed:
            found = sorted(k for k in self.items if k.startswith(prefix))
            return {k: base64.b64decode(self.items[k]["value"]) for k in found}

    def serve(self, handler):
        """Serve one call."""
        body = handler.read_body()
        url = urlsplit(handler.path)
        query = dict(parse_qsl(url.query))
        if url.path in ("/usage", "/scale"):
            report = json.loads(body)
            self.reports.append((time.monotonic(), url.path, report))
            handler.answer(200, {})
            return
        if self.is_refusing:
            handler.answer(503, {})
            return
        if self.delay_s:
            time.sleep(self.delay_s)
        status, reply = self._dispatch(handler.command, url.path, query, body)
        handler.answer(status, reply, [("Content-Type", "application/json")])

    def _dispatch(self, method, path, query, body):
        name, _, last = path.removeprefix("/mulberryport/").partition("/")
        with self._changed:
            match (method, name):
                case ("GET", "kv-key"):
                    item = self.items.get(query["key"])
                    found = {"store-revision": self.revision}
                    return (200, item | found) if item else (404, found)
                case ("GET", "kv-range"):
                    return 200, self._list(query["prefix"], query.get("after", ""))
                case ("GET", "kv-watch"):
                    return self._watch(query)
                case ("POST", "kv-txn"):
                    return self._commit(json.loads(body))
                case ("POST", "kv-lease"):
                    ttl_ms = json.loads(body)["ttl-ms"]
                    lease = next(self._lease_ids)
                    self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                    return 200, {"lease": lease, "ttl-ms": ttl_ms}
                case ("POST", "kv-keep"):
                    if int(last) not in self.leases:
                        return 404, {}
                    ttl_ms = self.leases[int(last)][1]
                    until = time.monotonic() + ttl_ms / 1000
                    self.leases[int(last)] = (until, ttl_ms)
                    return 200, {"ttl-ms": ttl_ms}
                case ("DELETE", "kv-lease-end"):
                    is_known = int(last) in self.leases
                    self._end_lease(int(last))
                    return (200 if is_known else 404), {}
        return 404, {}

    def _list(self, prefix, after):
        found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        size, page = 0, []
        for key in found[:500]:
            size += len(self.items[key]["value"])
            if page and size > 1_000_000:
                break
            page.append(self.items[key])
        return {
            "items": page,
            "has-more": len(page) < len(found),
            "store-revision": self.revision,
        }

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        wait_s = min(int(query["wait-ms"]) / 1000, MAX_WAIT_S)
        deadline = time.monotonic() + wait_s
        while True:
            found = [
                event
                for event in self.changes
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining_s = deadline - time.monotonic()
            if found or remaining_s <= 0 or self.is_refusing:
                return 200, {"events": found, "store-revision": self.revision}
            self._changed.wait(remaining_s)

    def _commit(self, body):
        expected = {row["key"]: row["revision"] for row in body.get("expected") or ()}
        puts, removes = body.get("puts") or [], body.get("remove") or []
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        for key, revision in expected.items():
            if self.items.get(key, {"revision": 0})["revision"] != revision:
                return 412, {
                    "items": [self.items[k] for k in expected if k in self.items]
                }
        if any(p.get("lease") and p["lease"] not in self.leases for p in puts):
            return 404, {}
        self.revision += 1
        for key in removes:
            self._remove(key)
        for put in puts:
            value = base64.b64decode(put["value"], validate=True)
            self._write(put["key"], value, put.get("lease") or 0)
        self._changed.notify_all()
        return 200, {"revision": self.revision}

    def _write(self, key, value, lease):
        created = self.items.get(key, {"created": self.revision})["created"]
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.changes.append(self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None):
            self.changes.append(
                {"key": key, "revision": self.revision, "tombstone": True}
            )

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if lease and keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self._changed.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.05)
            with self._changed:
                now = time.monotonic()
                for lease in [n for n, (at, _) in self.leases.items() if at < now]:
                    self._end_lease(lease)


class Server(Standin):
    """A sound model server or plain service; keeps what it ran.

    Parameters
    ----------
    events : int
        Number of events of each stream.
    event_s : float
        Seconds before each event.
    """

    def __init__(
        self, record, name, service, events=3, event_s=0.01, ip="127.0.0.1", port=0
    ):
        self.record, self.id, self.service = record, name, service
        self.events, self.event_s, self.version = events, event_s, 1
        self.runs, self.orders = [], []
        self._lock = threading.Lock()
        super().__init__(ip, port)

    def serve(self, handler, body=None):
        """Serve one request; ``body`` is given if it was read already."""
        body = handler.read_body() if body is None else body
        headers = handler.headers
        if handler.path == "/health":
            handler.answer(200, b"", [("X-Instance-Id", self.id)])
            return
        expected = headers.get("X-Expect-Instance")
        if expected not in (None, self.id):
            handler.answer(421, b"", [("X-Instance-Id", self.id)])
            return
        if handler.path == "/mulberryport/report":
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
            handler.answer(
                200,
                {"stage": "both", "models": models, "busy": False}
                | {"seq": len(self.orders), "num-waiting": 0, "num-running": 0},
            )
            return
        if handler.path == "/mulberryport/order":
            self.orders.append((time.monotonic(), json.loads(body)))
            self.version = json.loads(body)["version"]
            handler.answer(202, {})
            return
        if not headers.get("X-Request-Id"):
            handler.answer(400, b"", [("X-Not-Run", "1")])
            return
        run = {
            "at": time.monotonic(),
            "server": self.id,
            "method": handler.command,
            "path": handler.path,
            "headers": headers.items(),
            "body": body,
        }
        with self._lock:
            self.runs.append(run)
        if not self.record.hides_runs:
            shown = {n: v for n, v in headers.items() if n.lower().startswith("x-")}
            self.record(
                f"{self.id} runs {handler.command} {handler.path} {shown} "
                f"{len(body)} B, starts {body[:24]!r}"
            )
        if self.service == "engines":
            self._stream(handler)
        else:
            self.answer_plain(handler)

    def answer_plain(self, handler):
        """Answer a request of a plain service."""
        answer_headers = self._answer_headers(handler)
        handler.answer(200, f"done by {self.id}".encode(), answer_headers)

    def crash(self):
        """End at once; nothing listens at the address any more."""
        self.record(f"{self.id} crashes")
        self._server.end()

    def _answer_headers(self, handler):
        return [
            ("X-Request-Id", handler.headers["X-Request-Id"]),
            ("X-Server-Stamp", f"stamp.{self.id}.{handler.headers['X-Request-Id']}"),
            ("X-Server-Load", "1,0,12"),
        ]

    def _stream(self, handler):
        item = handler.headers["X-Request-Id"]
        handler.send_response_only(200)
        for name, value in self._answer_headers(handler):
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("X-Weight-Versions", str(self.version))
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        after = int(handler.headers.get("Last-Event-Id") or 0)
        for number in range(after + 1, self.events + 1):
            time.sleep(self.event_s)
            event = f"id: {number}\ndata: {item}.{number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            handler.wfile.flush()
        handler.wfile.write(b"0\r\n\r\n")


class CrashingServer(Server):
    """A server that some requests crash; it is back after ``down_s``, as a new start.

    Parameters
    ----------
    fleet : Fleet
        Where its registrations are written.
    is_deadly : callable
        Returns whether a request, given its path and body, crashes the server.
    """

    def __init__(self, fleet, name, service, is_deadly, down_s=3.0, **values):
        self.fleet, self.name, self.is_deadly = fleet, name, is_deadly
        self.down_s, self.crashes, self.starts = down_s, [], 1
        super().__init__(fleet.record, f"{name}-1", service, **values)

    def serve(self, handler):
        """Crash, or serve as a sound server does."""
        is_post = handler.command == "POST"
        if not is_post or not handler.headers.get("X-Request-Id"):
            super().serve(handler)
            return
        body = handler.read_body()
        if handler.headers.get("X-Expect-Instance") != self.id:
            handler.answer(421, b"", [("X-Instance-Id", self.id)])
            return
        if not self.is_deadly(handler.path, body):
            super().serve(handler, body)
            return
        with self._lock:
            self.crashes.append(time.monotonic())
            item = handler.headers["X-Request-Id"]
            self.record(f"{self.id} begins {item} and crashes")
            self._server.end()
        threading.Thread(target=self._start_again, daemon=True).start()

    def _start_again(self):
        """Come back under a new id; the old entry expires after three heartbeats."""
        old = self.id
        time.sleep(self.down_s)
        self.starts += 1
        self.id = f"{self.name}-{self.starts}"
        ip = self.address.rpartition(":")[0]
        Standin.__init__(self, ip)
        self.fleet.register(self)
        self.record(f"{self.id} is back")
        time.sleep(max(0.0, 3.6 - self.down_s))
        self.fleet.store.remove(f"servers/{old}")


class Fleet:
    """Stand-ins and the project's programs; ends all of them on leaving the context."""

    def __init__(self, case, retention=120):
        self.case, self.retention = Path(case), retention
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(self.record)
        self.engines = [Server(self.record, f"e{n}", "engines") for n in (1, 2)]
        self.desks = [Server(self.record, f"d{n}", "desk") for n in (1, 2)]
        self.processes, self.places, self._logs = {}, {}, []
        # Ends what was started if the script itself is ended.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self._peers = [free_address() for _ in range(3)]

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
        for log in self._logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            self.record(f"logs are in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def register(self, server, **values):
        """Write the registration of a server."""
        entry = {
            "service": server.service,
            "address": server.address,
            "zone": "rosario",
            "version": "v1",
            "slots": 12,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": int(time.time() * 1000),
        }
        if server.service == "engines":
            entry["models"] = [
                {"name": MODEL, "version": server.version, "adapters": []}
            ]
        self.store.put(f"servers/{server.id}", entry | values)

    def configure(self, version=7, routes=(), services=(), **changes):
        """Write the operator's configuration, with further routes and services."""
        configuration = make_configuration(version, **changes)
        configuration["routes"] += routes
        configuration["services"] += services
        self.store.put("op/config", configuration)

    def start_entry(self, vm, number=0, zone="rosario"):
        """Start an entry process with the command of the deploy file."""
        place = self.places.get(vm) or {
            "caller": free_address(),
            "ready": free_address(),
            "metrics": free_address().rpartition(":")[2],
            "peer": self._peers[number],
        }
        self.places[vm] = place
        seeds = "".join(f"\n    seed{n} {zone} {p}" for n, p in enumerate(self._peers))
        self._start(
            vm,
            "mulberryport.platform.entry",
            ENTRY.format(
                vm=vm,
                zone=zone,
                store=self.store.address,
                cloud=self.store.address,
                retention=self.retention,
                seeds=seeds,
                **place,
            ),
        )

    def start_storage(self, vm, zone="rosario"):
        """Start a storage process with the command of the deploy file."""
        folder = self.folder / f"data-{vm}"
        folder.mkdir(exist_ok=True)
        place = self.places.setdefault(vm, {"peer": free_address()})
        self._start(
            vm,
            "mulberryport.platform.storage_program",
            STORAGE.format(
                vm=vm,
                zone=zone,
                store=self.store.address,
                retention=self.retention,
                folder=folder,
                **place,
            ),
        )

    def _start(self, vm, module, settings):
        path = self.folder / f"{vm}.ini"
        path.write_text(settings)
        log = open(self.folder / f"{vm}.log", "ab")  # noqa: SIM115
        self._logs.append(log)
        kept = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in kept if n in os.environ}
        self.processes[vm] = subprocess.Popen(
            ["python3", "-m", module],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=environment
            | {
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "MULBERRYPORT_SETTINGS": str(path),
            },
        )
        self.record(f"{vm} started")

    def wait_ready(self, vm, timeout_s=25.0):
        """Wait until an entry process says that it is ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                call = ask(self.places[vm]["ready"], "GET", "/mulberryport/readiness")
                if call[0] == 200:
                    self.record(f"{vm} is ready")
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.1)
        could_not_run(f"{vm} did not become ready")

    def call(self, vm, method, path, body=b"", headers=(), key=KEY, timeout_s=10.0):
        """Send a client's request over a new connection; status 0 for no answer."""
        sent = {"Host": HOST, "X-Api-Key": key, **dict(headers)}
        try:
            reply = ask(self.places[vm]["caller"], method, path, body, sent, timeout_s)
        except (OSError, http.client.HTTPException) as error:
            self.record(f"client {method} {path[:60]} at {vm}: {error!r}")
            return 0, {}, b""
        self.record(
            f"client {method} {path[:60]} at {vm}: {reply[0]} {reply[2][:80]!r}"
        )
        return reply

    def submit(self, vm, job, items, key=KEY, **values):
        """Submit a batch job and return the status."""
        body = {"step": 1, "model": MODEL, "min-version": 1, "target-groups": 1}
        body |= {"items": items, **values}
        headers = {
            "X-Request-Id": job,
            "Content-Type": "application/json",
            "X-Deadline-Ms": "8000",
        }
        content = json.dumps(body).encode()
        return self.call(vm, "POST", "/drafts/" + job, content, headers, key)[0]

    def results(self, vm, job, after=0, key=KEY):
        """Return the status and the results of a batch job from a position on."""
        path = f"/mulberryport/lots/{job}?after={after}"
        status, _, body = self.call(vm, "GET", path, key=key)
        return status, json.loads(body)["results"] if status == 200 else []

    def wait_results(self, vm, job, count, timeout_s=15.0):
        """Wait for a number of results and return what is there."""
        deadline = time.monotonic() + timeout_s
        while True:
            status, results = self.results(vm, job)
            if len(results) >= count or time.monotonic() > deadline:
                return status, results
            time.sleep(0.4)


def make_configuration(version, queue_ttl_s=40, timeout_ms=4000):
    """Return a configuration with a plain route and one for batch jobs."""
    common = {"host": HOST, "priority": 1, "public": False}
    desk = common | {"service": "desk", "kind": "idempotent", "max-attempts": 2}
    desk |= {"timeout-ms": timeout_ms, "latency-target-ms": 400}
    return {
        "version": version,
        "routes": [
            desk | {"name": "desk", "prefix": "/desk/"},
            desk | {"name": "score", "prefix": "/score/"},
            desk | {"name": "once", "prefix": "/once/", "kind": "non_idempotent"},
            common
            | {
                "name": "drafts",
                "prefix": "/drafts/",
                "service": "engines",
                "kind": "rollout",
                "sticky": True,
                "timeout-ms": 10000,
                "latency-target-ms": 500,
                "run-target-ms": 7500,
                "queue-ttl-s": queue_ttl_s,
                "max-attempts": 3,
            },
        ],
        "services": [
            {"name": "desk", "health-path": "/health", "max-conns": 100},
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 150,
                "engine": {
                    "slots": 12,
                    "kv-capacity": 45902,
                    "models": [{"name": MODEL}],
                },
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 33554432,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": TENANT, "api-keys": [KEY], "priority": 1},
            {"name": OTHER_TENANT, "api-keys": [OTHER_KEY], "priority": 1},
        ],
    }


def make_item(name, headers=None, body=b"prompt", group="g1", path="/drafts/x"):
    """Return an item of a batch job."""
    return {
        "id": name,
        "path": path,
        "headers": {"X-Model": MODEL, "X-Token-Counts": "16,21"} | (headers or {}),
        "body": base64.b64encode(body).decode(),
        "tokens": 37,
        "group": group,
    }


def ask(address, method, path, body=b"", headers=(), timeout_s=10.0):
    """Send one request over a new connection; return status, headers and body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body or None, dict(headers))
        reply = connection.getresponse()
        return reply.status, dict(reply.getheaders()), reply.read()
    finally:
        connection.close()


def free_address(ip="127.0.0.1"):
    """Return an address with a free port, below those that connections use."""
    while True:
        port = random.randint(*FREE_PORTS)
        with contextlib.suppress(OSError), socket.create_server((ip, port)):
            return f"{ip}:{port}"


def _end_with_error(kind, error, traceback):
    """End with status 2, since an error of a script says nothing about a rule."""
    sys.__excepthook__(kind, error, traceback)
    sys.stderr.flush()
    os._exit(2)


sys.excepthook = _end_with_error


def has_trouble():
    """Whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def could_not_run(reason):
    """End the script, because the case could not run."""
    print(f"could not run: {reason}")
    sys.exit(2)


def finish(fleet, breaks):
    """Print the verdict, and end with status 1 if a rule was broken."""
    for line in breaks:
        fleet.record(f"BROKEN {line}")
        print(f"broken: {line}")
    if not breaks:
        fleet.record("HELD")
        print("held")
    sys.exit(1 if breaks else 0)
