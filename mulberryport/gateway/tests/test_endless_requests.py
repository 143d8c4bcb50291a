"""Tests of callers and targets that send without end, and of callers that do not read.

Guards against bytes that are kept until the machine has no memory left, with the
requests of all other callers on it.
"""

import socket
import tracemalloc
from contextlib import closing

import eventlet
import pytest

from ...runtime.wsgi import listen, read_json, respond, serve
from ..bodies import read_body, read_whole_body
from ..refusals import OutcomeUnknownError, RefusalError
from ..server import CallerServer
from .builders import KEY, running_gateway, scripted_target

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
BLOCK = b"0" * 4096
MAX_KEPT_BYTES = 8 * 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024
RESPONSE_TIMEOUT_S = 20.0
# Twice as much as the sockets of a connection hold.
MAX_SENT_BYTES = 32 * 1024 * 1024


def stream_body(environ):
    """Read a body in parts, and keep none."""
    return sum(len(part) for part in read_body(environ).parts())


def keep_body(environ):
    """Read a body into memory."""
    return len(read_whole_body(environ, MAX_BODY_BYTES))


def make_application(read):
    """Return an application that reads the body of each request."""

    def application(environ, start_response):
        try:
            return respond(start_response, 200, read(environ))
        except (OutcomeUnknownError, RefusalError) as error:
            return respond(start_response, error.status)

    return application


def send_without_end(address, first, again):
    """Send until there is a response, and return it and the peak of kept memory."""
    tracemalloc.start()
    try:
        with closing(socket.create_connection(address, timeout=30)) as connection:

            def send():
                try:
                    connection.sendall(first)
                    while True:
                        connection.sendall(again)
                except OSError:
                    return

            sender = eventlet.spawn(send)
            with eventlet.Timeout(RESPONSE_TIMEOUT_S):
                response = connection.recv(1000)
            sender.kill()
        return response, tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


ENDLESS = {
    "chunk size": (HEAD, BLOCK),
    "chunk extension": (HEAD + b"5;", BLOCK),
    "line end of a chunk": (HEAD + b"1\r\n1", BLOCK),
    "trailer line": (HEAD + b"0\r\nX-More: ", BLOCK),
    "trailers": (HEAD + b"0\r\n", b"X-More: 1\r\n" * 100),
}


@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("read", [stream_body, keep_body])
def test_a_coding_without_end_is_refused(name, read):
    server = CallerServer(listen("127.0.0.1:0"), make_application(read))
    server.start()
    response, kept = send_without_end(server.listener.getsockname(), *ENDLESS[name])
    server.stop_accepting()
    assert response.startswith(b"HTTP/1.1 400")
    assert kept < MAX_KEPT_BYTES


@pytest.mark.parametrize("name", ENDLESS)
def test_a_coding_without_end_is_refused_at_the_operators_port(name):
    listener = listen("127.0.0.1:0")

    def application(environ, start_response):
        try:
            return respond(start_response, 200, read_json(environ))
        except ValueError:
            return respond(start_response, 400)

    server = serve(listener, application)
    response, kept = send_without_end(listener.getsockname(), *ENDLESS[name])
    server.kill()
    listener.close()
    assert response.startswith(b"HTTP/1.1 400")
    assert kept < MAX_KEPT_BYTES


def test_a_body_that_is_too_long_is_refused():
    # Tiny chunks take many times their size if they are kept one by one.
    server = CallerServer(listen("127.0.0.1:0"), make_application(keep_body))
    server.start()
    address = server.listener.getsockname()
    response, kept = send_without_end(address, HEAD, b"4\r\n1111\r\n" * 1000)
    assert response.startswith(b"HTTP/1.1 413")
    assert kept < MAX_KEPT_BYTES
    declared = HEAD.replace(b"Transfer-Encoding: chunked", b"Content-Length: 9999999")
    response, kept = send_without_end(address, declared, BLOCK)
    assert response.startswith(b"HTTP/1.1 413")
    assert kept < MAX_KEPT_BYTES
    server.stop_accepting()


def test_a_chunked_body_with_extensions_and_trailers_is_read():
    server = CallerServer(listen("127.0.0.1:0"), make_application(keep_body))
    server.start()
    address = server.listener.getsockname()
    with closing(socket.create_connection(address, timeout=5)) as connection:
        for _ in range(2):
            chunks = b"".join(b"%x;a=b\r\n%s\r\n" % (9, b"x" * 9) for _ in range(99))
            connection.sendall(HEAD + chunks + b"0\r\nX-Sum: 1\r\n\r\n")
            assert connection.recv(1000).endswith(b"\r\n\r\n891")
    server.stop_accepting()


def test_a_response_is_not_kept_for_a_caller_that_does_not_read():
    sent = [0]

    def send_chunks(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            connection.sendall(b"10000\r\n" + bytes(0x10000) + b"\r\n")
            sent[0] += 0x10000

    with (
        scripted_target(send_chunks) as (address, _),
        running_gateway(address) as harness,
        closing(socket.create_connection(harness.address, timeout=5)) as connection,
    ):
        connection.sendall(
            f"GET /filing/a HTTP/1.1\r\nHost: h\r\nX-Api-Key: {KEY}\r\n\r\n".encode()
        )
        eventlet.sleep(1.0)
        assert 0 < sent[0] < MAX_SENT_BYTES
        assert harness.in_flight == 1
    with eventlet.Timeout(5.0):
        while harness.in_flight:
            eventlet.sleep(0.02)
