"""Event streams that clients take up again, and the servers that make them."""

import socket
import threading
import time
from typing import Any

from http_tools import Request, Server, read_head, read_line
from lab import HOST, KEY, ZONES, Lab, free_ports

SERVERS, DAEMONS = 2, 3
STREAMS = 16
EVENTS, INTERVAL_S = 80, 0.1
KILL_AFTER_S, RESTART_AFTER_S = 3.0, 1.0
ATTEMPTS, RETRY_S = 4, 0.5


class Service:
    """Servers of one software version, whose streams may be resumed."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        for number, port in enumerate(free_ports(SERVERS)):
            name = f"s{number}"
            Server(name, lambda r, n=name: self._handle(r, n), port)
            lab.register(name, "drafts", port, zone=ZONES[number], slots=64)

    def _handle(self, request: Request, name: str) -> bool:
        request.read()
        after = int(request.headers.get("last-event-id") or 0)
        self.lab.record.add(f"{name} runs {request.id} from event {after + 1}")
        send = request.connection.sendall
        send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Request-Id: %s\r\n"
            b"X-Server-Stamp: stamp.%s\r\nX-Server-Load: 1,0,64\r\n\r\n"
            % (request.id.encode(), name.encode())
        )
        for number in range(after + 1, EVENTS + 1):
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            send(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(INTERVAL_S)
        send(b"0\r\n\r\n")
        return True


class Stream:
    """A stream as its client sees it, over all attempts.

    Parameters
    ----------
    lab : Lab
        The deployment.
    name : str
        Id of the first attempt.
    ports : list of int
        Caller ports of the daemons, in the order in which attempts use them.
    """

    def __init__(self, lab: Lab, name: str, ports: list[int]) -> None:
        self.lab, self.name, self.ports = lab, name, ports
        self.events: list[int] = []
        self.statuses: list[int] = []
        self.is_complete = False
        self.events_at_break = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Read the stream, and take it up after a broken connection."""
        for attempt in range(ATTEMPTS):
            self._attempt(attempt, self.ports[attempt % len(self.ports)])
            if self.is_complete:
                return
            if not self.events_at_break:
                self.events_at_break = len(self.events)
            time.sleep(RETRY_S)

    @property
    def was_taken_up(self) -> bool:
        """Whether the client came back for the rest of the stream."""
        return len(self.statuses) > 1 and bool(self.events_at_break)

    @property
    def goes_on(self) -> bool:
        """Whether further events came after the first connection broke."""
        return len(self.events) > self.events_at_break

    def _attempt(self, attempt: int, port: int) -> None:
        headers = {
            "Host": HOST,
            "X-Request-Id": self.name if not attempt else f"{self.name}-{attempt}",
            "X-Deadline-Ms": "60000",
            "X-Api-Key": KEY,
            "Content-Length": "2",
        }
        if self.events:
            headers["Resumes"] = self.name
            headers["Last-Event-Id"] = str(self.events[-1])
        lines = ["POST /drafts/a HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        status = 0
        try:
            with socket.create_connection(("127.0.0.1", port), 1.0) as connection:
                connection.settimeout(5.0)
                connection.sendall("\r\n".join([*lines, "", "hi"]).encode())
                stream = connection.makefile("rb")
                first, _ = read_head(stream)
                status = int(first.split()[1])
                if status == 200:
                    self._read_events(stream)
        except (OSError, EOFError, ValueError):
            pass
        self.statuses.append(status)
        self.lab.record.add(
            f"{headers['X-Request-Id']}: status {status}, {len(self.events)} events"
        )

    def _read_events(self, stream: Any) -> None:
        while int(read_line(stream), 16):
            line = read_line(stream).decode()
            while line:
                if line.startswith("id: "):
                    self.events.append(int(line[4:]))
                line = read_line(stream).decode()
            read_line(stream)
        self.is_complete = len(self.events) == EVENTS


def start_deployment(lab: Lab, timeout_ms: int) -> "Service":
    """Start the platform, the servers and the daemons, with one route of streams."""
    lab.start_platform()
    service = Service(lab)
    route = {
        "name": "drafting",
        "host": HOST,
        "prefix": "/drafts/",
        "kind": "streaming",
        "streaming": True,
        "resumable": True,
        "timeout-ms": timeout_ms,
        "latency-target-ms": 500,
        "priority": 2,
        "service": "drafts",
        "max-attempts": 3,
    }
    drafts = {"name": "drafts", "health-path": "/health", "max-conns": 200}
    lab.configure([route], [drafts], 1)
    for number in range(DAEMONS):
        lab.add_entry(f"front-{number}", ZONES[number])
    lab.start_entries()
    time.sleep(4.0)
    return service


def take_streams_up(lab: Lab, trouble: bool) -> bool:
    """Begin streams at one daemon, kill it, and let clients go on at the others.

    Returns
    -------
    bool
        Whether streams go on at least half as often as new ones begin.
    """
    ports = [entry["caller"] for entry in lab.entries.values()]
    streams = [
        # The daemon that is started again is not in touch yet: others are tried.
        Stream(
            lab, f"stream{n}", [ports[0], *[ports[1 + (n + k) % 2] for k in range(3)]]
        )
        for n in range(STREAMS)
    ]
    time.sleep(KILL_AFTER_S)
    if trouble:
        lab.record.add("front-0 is killed")
        lab.processes["front-0"].kill()
        time.sleep(RESTART_AFTER_S)
        lab.start_entry("front-0")
    new = [Stream(lab, f"new{n}", ports[1:]) for n in range(STREAMS)]
    for stream in [*streams, *new]:
        stream.thread.join(60)
    begun = sum(stream.statuses[:1] == [200] for stream in new) / len(new)
    taken_up = [stream for stream in streams if stream.was_taken_up]
    lab.record.add(
        f"{len(taken_up)} of {STREAMS} streams were taken up, "
        f"{sum(stream.goes_on for stream in taken_up)} went on; "
        f"{begun:.0%} of {STREAMS} new streams began"
    )
    if not trouble:
        return all(stream.is_complete for stream in streams)
    if len(taken_up) < 12 or not begun:
        raise RuntimeError("too few streams were taken up, or none began")
    share = sum(stream.goes_on for stream in taken_up) / len(taken_up)
    return share >= begun / 2
