"""Tests of targets that send bytes that are no answer, without end.

Guards against green threads and memory that are lost to such a target until the caller
closes: each call ends by itself within a stated time, whatever its part that does not
end, fast or one byte at a time.
"""

import subprocess
import sys
import tracemalloc
from contextlib import contextmanager, nullcontext

import eventlet
import pytest

from ...gateway import OutcomeUnknownError
from ...gateway.bodies import RequestBody
from ...gateway.forwarding import buffer_body, forward
from ...gateway.target_protocol import OutgoingRequest
from ...jobs import ScoringCall, StreamInterruptedError, Transcript
from ...jobs.tests.builders import make_job
from ...outcomes import Unknown
from ...routing import TargetView
from ...runtime.clock import boottime
from ...runtime.guarded import call_json_guarded
from ...runtime.http import MAX_REPLY_BYTES, call_json
from ...runtime.tests.builders import longest_gap
from ...runtime.wsgi import listen
from ...targets import TargetDirectory
from ...targets.connections import ConnectionPool
from .. import engines
from ..engines import EngineCalls
from ..store import PlatformStore
from . import flooding as flooding_program

PATIENCE_S = 0.6
BYTE_PAUSE_S = 0.05
STATUS = b"HTTP/1.1 200 X\r\n"
FIELDS = b"X-Request-Id: job1-0\r\nX-Server-Stamp: s\r\nX-Weight-Versions: 5\r\n"
CHUNKED = STATUS + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
REFUSED = b"HTTP/1.1 503 X\r\nX-Not-Run: full\r\nTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 4096


def chunk(content):
    """Return a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(content), content)


# What is sent once, and what follows it again and again.
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 50),
    "header line": (STATUS + b"X-Long: ", BLOCK),
    "headers": (STATUS, b"X-More: 1\r\n" * 50),
    "chunk size": (CHUNKED, b"0" * 4096),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 50),
    "event line": (CHUNKED, chunk(b"data: " + BLOCK)),
    "empty lines": (CHUNKED, chunk(b"\n" * 4096)),
    "comments": (CHUNKED, chunk(b":\n\n" * 1000)),
    "body of a refusal": (REFUSED, chunk(BLOCK)),
}
SLOWLY = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "header line": (STATUS + b"X-Long: ", b"x"),
    "event line": (CHUNKED, chunk(b"x")),
    "empty lines": (CHUNKED, chunk(b"\n")),
    "body of a refusal": (REFUSED, chunk(b"x")),
}


@contextmanager
def sending(first, again, pause_s):
    """Serve connections on which bytes are sent until they are closed."""
    closed = []

    def serve(connection):
        connection.recv(65536)
        try:
            connection.sendall(first)
            while True:
                connection.sendall(again)
                eventlet.sleep(pause_s)
        except OSError:
            closed.append(True)

    def accept():
        while True:
            eventlet.spawn_n(serve, listener.accept()[0])

    listener = listen("127.0.0.1:0")
    thread = eventlet.spawn(accept)
    host, port = listener.getsockname()
    try:
        yield f"{host}:{port}", closed
    finally:
        thread.kill()
        listener.close()


def view_of(address):
    """Return the view of a target at an address."""
    return TargetView(id="e1", address=address, zone="a", pool="p", kind="k")


CASES = [
    *((name, *parts, 0.0) for name, parts in ENDLESS.items()),
    *((f"{name}, slowly", *parts, BYTE_PAUSE_S) for name, parts in SLOWLY.items()),
]


@pytest.mark.parametrize(
    ("first", "again", "pause_s"),
    [case[1:] for case in CASES],
    ids=[c[0] for c in CASES],
)
def test_generation_ends(first, again, pause_s, monkeypatch):
    monkeypatch.setattr(engines, "EVENT_TIMEOUT_S", PATIENCE_S)
    with sending(first, again, pause_s) as (address, closed):
        job, transcript, started_at = make_job(), Transcript(), boottime()
        calls = EngineCalls(TargetDirectory())
        with eventlet.Timeout(10.0), pytest.raises(Exception) as error:
            calls.generate(
                view_of(address), job, job.items[0], transcript, lambda: None
            )
        assert not isinstance(error.value, eventlet.Timeout)
        assert boottime() - started_at < 3 * PATIENCE_S
        assert not transcript.events
        with eventlet.Timeout(5.0):
            while not closed:
                eventlet.sleep(0.01)


@pytest.mark.parametrize(
    ("again", "pause_s"), [(chunk(BLOCK), 0.0), (chunk(b"x"), BYTE_PAUSE_S)]
)
def test_scoring_ends(again, pause_s):
    with sending(CHUNKED.replace(b"job1-0", b"s1"), again, pause_s) as (address, _):
        started_at = boottime()
        calls = EngineCalls(TargetDirectory())
        call = ScoringCall("s1", "h", "/p", b"x")
        with eventlet.Timeout(10.0), pytest.raises(StreamInterruptedError):
            calls.score(view_of(address), call, PATIENCE_S)
        assert boottime() - started_at < 3 * PATIENCE_S


@pytest.mark.parametrize(
    ("first", "again", "pause_s"),
    [
        (CHUNKED, chunk(BLOCK), 0.0),
        (CHUNKED, chunk(b"x"), BYTE_PAUSE_S),
        (*ENDLESS["interim responses"], 0.0),
        (*ENDLESS["trailers"], 0.0),
        (*SLOWLY["header line"], BYTE_PAUSE_S),
    ],
    ids=["body", "body, slowly", "interim responses", "trailers", "header, slowly"],
)
def test_control_calls_end(first, again, pause_s):
    with sending(first, again, pause_s) as (address, _):
        started_at = boottime()
        url = f"http://{address}/"
        with eventlet.Timeout(10.0):
            report = call_json("GET", url, timeout=PATIENCE_S)
            order = call_json_guarded(
                "POST", url, {}, guard=lambda: None, timeout=PATIENCE_S
            )
            read = PlatformStore(address).read("a")
        assert isinstance(report, Unknown)
        assert isinstance(order, Unknown)
        assert isinstance(read, Unknown)
        assert boottime() - started_at < 6.0


STREAMS = 6
# Far below the time for which the streams last together.
MAX_GAP_S = 0.3
TINY_CHUNKS = {
    "tiny chunks": (CHUNKED, chunk(b"x") * 1000),
    "empty lines in tiny chunks": (CHUNKED, chunk(b"\n") * 1000),
    "refusal in tiny chunks": (REFUSED, chunk(b"x") * 1000),
}


@contextmanager
def flooding(first, again):
    """Run a process that sends bytes without end on each connection."""
    command = [sys.executable, flooding_program.__file__, first.hex(), again.hex()]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            yield process.stdout.readline().strip()
        finally:
            process.kill()


@pytest.mark.parametrize("name", [*ENDLESS, *TINY_CHUNKS])
def test_streams_without_end_let_others_run(name, monkeypatch):
    # Guards against a daemon that answers nobody while one engine sends without end.
    monkeypatch.setattr(engines, "EVENT_TIMEOUT_S", PATIENCE_S)
    with flooding(*(ENDLESS | TINY_CHUNKS)[name]) as address:
        job, calls = make_job(), EngineCalls(TargetDirectory())
        item = job.items[0]

        def generate(number):
            with pytest.raises(Exception) as error:
                calls.generate(view_of(address), job, item, Transcript(), lambda: None)
            assert not isinstance(error.value, AssertionError)

        with longest_gap() as gap, eventlet.Timeout(15.0):
            list(eventlet.GreenPool().imap(generate, range(STREAMS)))
        assert gap() < MAX_GAP_S


def test_valid_events_without_end_are_bounded_and_let_others_run():
    # Guards against a text that takes the memory of a daemon.
    events = b"".join(chunk(b"id: %d\ndata: x\n\n" % n) for n in range(1, 200_000))
    with sending(CHUNKED, events, 0.0) as (address, _):
        job, calls = make_job(), EngineCalls(TargetDirectory())
        transcript = Transcript()
        with (
            longest_gap() as gap,
            eventlet.Timeout(15.0),
            pytest.raises(StreamInterruptedError, match="too long"),
        ):
            calls.generate(
                view_of(address), job, job.items[0], transcript, lambda: None
            )
        assert len(transcript.events) < 100_000
        assert gap() < MAX_GAP_S


def make_request():
    """Return a plain request of a caller that may be repeated."""
    return OutgoingRequest(
        method="GET",
        target="/a",
        headers=[],
        body=RequestBody(0, b"", True),
        may_reuse_connection=True,
    )


@pytest.mark.parametrize("name", ["body", "tiny chunks", "headers", "chunk size"])
def test_forwarded_responses_without_end_let_others_run(name):
    # Guards against a daemon that answers nobody while one plain service sends without
    # end, and that does not notice the time-out of the request.
    bodies = ENDLESS | TINY_CHUNKS | {"body": (CHUNKED, chunk(BLOCK))}
    with flooding(*bodies[name]) as address:

        def receive(number):
            with eventlet.Timeout(PATIENCE_S, OSError("the deadline passed")):
                try:
                    response = forward(
                        view_of(address), make_request(), nullcontext, lambda: None
                    )
                    buffer_body(response, 2**40)
                except (OSError, OutcomeUnknownError):
                    return

        started_at = boottime()
        with longest_gap() as gap, eventlet.Timeout(15.0):
            list(eventlet.GreenPool().imap(receive, range(STREAMS)))
        assert gap() < MAX_GAP_S
        assert boottime() - started_at < 3 * PATIENCE_S


@pytest.mark.parametrize("name", ["tiny chunks", "headers", "body"])
def test_control_calls_without_end_let_others_run(name):
    # Guards against a faulty store or target that stops a daemon with its replies.
    bodies = ENDLESS | TINY_CHUNKS | {"body": (CHUNKED, chunk(BLOCK))}
    with flooding(*bodies[name]) as address:

        def call(number):
            outcome = call_json("GET", f"http://{address}/", timeout=PATIENCE_S)
            assert isinstance(outcome, Unknown)

        with longest_gap() as gap, eventlet.Timeout(15.0):
            list(eventlet.GreenPool().imap(call, range(STREAMS)))
        assert gap() < MAX_GAP_S


@pytest.mark.parametrize("name", [*ENDLESS, "body"])
def test_what_control_calls_keep_is_bounded(name):
    # Guards against a faulty target or store that takes the memory of a daemon.
    bodies = ENDLESS | {"body": (CHUNKED, chunk(BLOCK))}
    with flooding(*bodies[name]) as address:
        url = f"http://{address}/"
        tracemalloc.start()
        try:
            with eventlet.Timeout(15.0):
                outcomes = [
                    call_json("GET", url, timeout=PATIENCE_S),
                    call_json_guarded(
                        "POST", url, {}, guard=lambda: None, timeout=PATIENCE_S
                    ),
                    PlatformStore(address).read("a"),
                ]
            kept = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert all(isinstance(outcome, Unknown) for outcome in outcomes)
    assert kept < 2 * MAX_REPLY_BYTES


def test_pooled_connections_bound_what_precedes_a_response():
    # Plain requests of callers use the same pool.
    with sending(*ENDLESS["interim responses"], 0.0) as (address, _):
        connection, _ = ConnectionPool().acquire("e1", address)
        connection.request("GET", "/")
        with eventlet.Timeout(5.0), pytest.raises(Exception, match="interim"):
            connection.getresponse()
        connection.close()
