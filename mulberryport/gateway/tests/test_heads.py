"""Tests of the heads of requests, by raw bytes."""

import socket
from contextlib import closing

import eventlet
import pytest

from ...runtime.wsgi import listen, respond
from ...tables import CallerLimits
from ..server import CallerServer

LIMITS = CallerLimits(header_bytes=1000, header_time=0.5, idle_time=1.0)


@pytest.fixture
def port():
    """Run a caller port; yields its address and the paths that were served."""
    seen = []

    def application(environ, start_response):
        environ["wsgi.input"].read()
        seen.append(environ["PATH_INFO"])
        return respond(start_response, 200, {})

    listener = listen("127.0.0.1:0")
    server = CallerServer(listener, application, lambda: LIMITS)
    server.start()
    yield listener.getsockname(), seen
    server.stop_accepting()


def exchange(address, content):
    """Send bytes and return what comes until the connection ends or is quiet."""
    with closing(socket.create_connection(address, timeout=0.4)) as connection:
        connection.sendall(content)
        answer = b""
        try:
            while part := connection.recv(65536):
                answer += part
        except TimeoutError:
            pass
        return answer


HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"


@pytest.mark.parametrize(
    "lines",
    [
        b"Transfer-Encoding : chunked\r\n",
        b"X-A: a\x00b\r\n",
        b"X-A: a\nX-B: b\r\n",
        b"X-A: a\r X-B: b\r\n",
        b"no colon\r\n",
        b"X-A: a\r\n folded\r\n",
        b": empty\r\n",
        b"X A: b\r\n",
    ],
)
def test_malformed_lines_are_refused_and_reach_nobody(port, lines):
    # Guards against requests that are hidden inside another one.
    address, seen = port
    answer = exchange(address, HEAD + lines + b"Content-Length: 0\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 400")
    assert seen == []


@pytest.mark.parametrize(
    "line",
    [b"GET  /a HTTP/1.1\r\n", b"GET /a\r\n", b"GET /a b HTTP/1.1\r\n", b"\x16\x03\r\n"],
)
def test_malformed_request_lines_are_refused(port, line):
    address, seen = port
    assert exchange(address, line + b"Host: h\r\n\r\n").startswith(b"HTTP/1.1 400")
    assert seen == []


def test_a_head_that_is_too_large_is_refused(port):
    address, seen = port
    answer = exchange(address, HEAD + b"X-A: " + b"a" * 2000 + b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 431")
    assert seen == []


def test_a_head_that_stalls_is_refused_in_time(port):
    # Guards against connections that are held open by unfinished heads.
    address, seen = port
    with closing(socket.create_connection(address, timeout=3.0)) as connection:
        connection.sendall(HEAD)
        for _ in range(4):
            eventlet.sleep(0.2)
            try:
                connection.sendall(b"X-A: a\r\n")
            except OSError:
                break
        assert connection.recv(100).startswith(b"HTTP/1.1 408")
    assert seen == []


def test_an_idle_connection_ends(port):
    address, _ = port
    with closing(socket.create_connection(address, timeout=3.0)) as connection:
        assert connection.recv(1) == b""


def test_proper_requests_on_one_connection_are_served(port):
    address, seen = port
    one = HEAD + b"X-A:\tb\xff \r\nContent-Length: 2\r\n\r\nab"
    answer = exchange(address, one + one)
    assert answer.count(b"HTTP/1.1 200") == 2
    assert seen == ["/a", "/a"]
