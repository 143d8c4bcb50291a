"""Tests of the HTTP server of the caller port."""

import socket
from contextlib import closing

import eventlet

from ...runtime.wsgi import listen
from ..app import _caller_socket
from ..server import CallerServer

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def serve_request(environ, start_response):
    """Serve a request, and look at the socket of its caller as the gateway does."""
    assert _caller_socket(environ).fileno() >= 0
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


def test_connections_that_wait_at_a_planned_stop_are_served():
    # Guards against requests that get an empty 500, or block the whole process, because
    # their connection was still in the backlog when the daemon stopped accepting.
    server = CallerServer(listen("127.0.0.1:0"), serve_request)
    server.start()
    server._accept_thread.kill()
    address = server.listener.getsockname()
    with (
        closing(socket.create_connection(address, timeout=5)) as silent,
        closing(socket.create_connection(address, timeout=5)) as connection,
    ):
        connection.sendall(REQUEST)
        eventlet.sleep(0.05)
        server.stop_accepting()
        with eventlet.Timeout(3.0):
            response = b""
            while part := connection.recv(1000):
                response += part
        assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"ok")
        silent.sendall(REQUEST)
        with eventlet.Timeout(3.0):
            assert silent.recv(1000).startswith(b"HTTP/1.1 200")
