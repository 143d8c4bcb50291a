"""Tests of calls that are given up while their bytes have not arrived yet.

Guards against calls that arrive after they were given up: a usage report reached the
platform after that of the next holder of the duty, and items can reach an engine after
the end of their job.
"""

import os
import signal
import socket
import subprocess
import sys
from contextlib import closing, contextmanager, nullcontext

import eventlet
import pytest

from ...coordination.model import Put, Transaction
from ...gateway.bodies import RequestBody
from ...gateway.forwarding import forward
from ...gateway.target_protocol import NATIVE_PROTOCOL, OutgoingRequest
from ...jobs import JobItem, ScoringCall, Transcript
from ...jobs.tests.builders import make_job
from ...runtime.guarded import call_json_guarded
from ...runtime.http import call_json
from ...targets import TargetDirectory
from ...targets.connections import ConnectionPool
from ...targets.engine_client import GenerationRequest
from ...targets.engine_client import generate as generate_native
from ..engines import EngineCalls
from ..ingress import make_target_protocol
from ..store import PlatformStore
from .test_endless_bytes import view_of

# More than a receive buffer that was set to be small; all of it fits into the buffers
# of the kernel of the sender.
BODY = b"x" * 30_000
RECEIVE_BUFFER_BYTES = 4096
PATIENCE_S = 0.3
READ_TIMEOUT_S = 3.0
# Call of a process that is stopped while its report is on the way.
PROGRAM = """
import sys
from mulberryport.runtime.hub import install_eventlet
install_eventlet()
from mulberryport.runtime.guarded import call_json_guarded
call_json_guarded("POST", sys.argv[1], {"x": "x" * 30_000}, guard=lambda: None,
                  timeout=float(sys.argv[2]))
"""


@contextmanager
def slow_target():
    """Yield a listener whose connections hold few bytes that are not read."""
    with closing(socket.socket()) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener


def url_of(listener):
    """Return the URL of a listener."""
    return f"http://{address_of(listener)}/"


def address_of(listener):
    """Return the IP address and port of a listener."""
    host, port = listener.getsockname()
    return f"{host}:{port}"


def read_to_end(connection):
    """Return what arrives at a connection, and whether it ended with a reset."""
    content = b""
    connection.settimeout(READ_TIMEOUT_S)
    try:
        while part := connection.recv(65536):
            content += part
    except ConnectionResetError:
        return content, True
    except TimeoutError:
        return content, False
    return content, False


def report(listener):
    """Send a call that requires a lease."""
    body = {"x": BODY.decode()}
    url = url_of(listener)
    call_json_guarded("POST", url, body, guard=lambda: None, timeout=PATIENCE_S)


def control_call(listener):
    """Send a call that requires no lease."""
    call_json("POST", url_of(listener), {"x": BODY.decode()}, timeout=PATIENCE_S)


def store_write(listener):
    """Write a key without an expected revision."""
    transaction = Transaction(puts=(Put("key", BODY),))
    PlatformStore(address_of(listener)).commit(transaction)


def forwarded(protocol):
    """Return a function that forwards a caller's request."""

    def send(listener):
        headers = [("X-Request-Id", "job1-0")]
        request = OutgoingRequest(
            "POST", "/", headers, RequestBody(len(BODY), BODY, True)
        )
        view = view_of(address_of(listener))
        forward(view, request, nullcontext, lambda: None, protocol)

    return send


def item(listener):
    """Send an item of a job."""
    job = make_job()
    long_item = JobItem(id="job1-0", path="/", headers=(), body=BODY)
    EngineCalls(TargetDirectory()).generate(
        view_of(address_of(listener)), job, long_item, Transcript(), lambda: None
    )


def scoring_call(listener):
    """Send the scoring call of an item."""
    call = ScoringCall("job1-0", "h", "/score", BODY)
    EngineCalls(TargetDirectory()).score(view_of(address_of(listener)), call, 5.0)


def native_generation(listener):
    """Send a generation to an engine of the native protocol."""
    request = GenerationRequest("r1", BODY.decode(), 10)
    list(generate_native(address_of(listener), request, 5.0))


POOLED = make_target_protocol(TargetDirectory(), ConnectionPool())


@pytest.mark.parametrize(
    "send",
    [
        report,
        control_call,
        store_write,
        forwarded(POOLED),
        forwarded(NATIVE_PROTOCOL),
        item,
        scoring_call,
        native_generation,
    ],
    ids=lambda send: send.__qualname__.split(".")[0],
)
def test_what_was_not_received_when_a_call_is_given_up_never_arrives(send):
    with slow_target() as listener:
        caller = eventlet.spawn(send, listener)
        connection, _ = listener.accept()
        with closing(connection):
            eventlet.sleep(PATIENCE_S)
            caller.kill()
            eventlet.sleep(PATIENCE_S)
            content, is_reset = read_to_end(connection)
    assert is_reset
    assert len(content) < len(BODY)


@pytest.mark.parametrize("end", [signal.SIGSTOP, signal.SIGKILL, signal.SIGTERM])
def test_a_guarded_call_of_a_process_that_ends_or_is_stopped_does_not_arrive_late(end):
    # A process that is stopped resets nothing; the kernel gives up by itself.
    timeout_s = 1.0
    with slow_target() as listener:
        program = [sys.executable, "-c", PROGRAM, url_of(listener), str(timeout_s)]
        process = subprocess.Popen(program)
        try:
            connection, _ = listener.accept()
            with closing(connection):
                eventlet.sleep(PATIENCE_S)
                os.kill(process.pid, end)
                eventlet.sleep(2 * timeout_s)
                content, is_reset = read_to_end(connection)
        finally:
            process.kill()
            process.wait()
    assert is_reset
    assert len(content) < len(BODY)


def test_a_call_that_was_answered_whole_ends_its_connection_regularly():
    # A reset could take back the last bytes that the target has not read yet.
    with slow_target() as listener:
        caller = eventlet.spawn(
            call_json_guarded,
            "POST",
            url_of(listener),
            {},
            guard=lambda: None,
            timeout=5,
        )
        connection, _ = listener.accept()
        with closing(connection):
            connection.recv(65536)
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            caller.wait()
            assert read_to_end(connection)[1] is False
