"""Tests of the validation of request heads, with raw bytes."""

import socket
from contextlib import closing

import eventlet
import pytest

from ...runtime.wsgi import listen, respond
from ...tables import CallerLimits
from ..server import CallerServer

LIMITS = CallerLimits(header_bytes=1000, header_time=0.5, idle_time=1.0)


@pytest.fixture
def server_address():
    """Run a caller port; yield its address and the paths of the served requests."""
    served_paths = []

    def application(environ, start_response):
        environ["wsgi.input"].read()
        served_paths.append(environ["PATH_INFO"])
        return respond(start_response, 200, {})

    listener = listen("127.0.0.1:0")
    server = CallerServer(listener, application, lambda: LIMITS)
    server.start()
    yield listener.getsockname(), served_paths
    server.stop_accepting()


def exchange_bytes(address, content):
    """Send bytes and return those received until the connection ends or is idle."""
    with closing(socket.create_connection(address, timeout=0.4)) as connection:
        connection.sendall(content)
        response = b""
        try:
            while part := connection.recv(65536):
                response += part
        except TimeoutError:
            pass
        return response


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
def test_malformed_header_lines_are_rejected(server_address, lines):
    # Guards against request smuggling: a request that is hidden inside another one.
    address, served_paths = server_address
    response = exchange_bytes(address, HEAD + lines + b"Content-Length: 0\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 400")
    assert served_paths == []


@pytest.mark.parametrize(
    "line",
    [b"GET  /a HTTP/1.1\r\n", b"GET /a\r\n", b"GET /a b HTTP/1.1\r\n", b"\x16\x03\r\n"],
)
def test_malformed_request_lines_are_rejected(server_address, line):
    address, served_paths = server_address
    assert exchange_bytes(address, line + b"Host: h\r\n\r\n").startswith(
        b"HTTP/1.1 400"
    )
    assert served_paths == []


def test_too_large_head_is_rejected(server_address):
    address, served_paths = server_address
    response = exchange_bytes(address, HEAD + b"X-A: " + b"a" * 2000 + b"\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 431")
    assert served_paths == []


def test_stalled_head_is_rejected_in_time(server_address):
    # Guards against connections that incomplete heads keep open.
    address, served_paths = server_address
    with closing(socket.create_connection(address, timeout=3.0)) as connection:
        connection.sendall(HEAD)
        for _ in range(4):
            eventlet.sleep(0.2)
            try:
                connection.sendall(b"X-A: a\r\n")
            except OSError:
                break
        assert connection.recv(100).startswith(b"HTTP/1.1 408")
    assert served_paths == []


def test_idle_connection_is_closed(server_address):
    address, _ = server_address
    with closing(socket.create_connection(address, timeout=3.0)) as connection:
        assert connection.recv(1) == b""


def test_valid_requests_on_one_connection_are_served(server_address):
    address, served_paths = server_address
    one = HEAD + b"X-A:\tb\xff \r\nContent-Length: 2\r\n\r\nab"
    response = exchange_bytes(address, one + one)
    assert response.count(b"HTTP/1.1 200") == 2
    assert served_paths == ["/a", "/a"]
