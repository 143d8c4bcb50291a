"""Tests of reads from connections that end or are reset.

Guards against a reset that is taken for a regular end, and with it a part of a response
for the whole.
"""

import socket
import struct
from contextlib import closing, contextmanager

import eventlet
import pytest

from ..wsgi import BadRequestError, listen, read_json, respond, serve

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
PART = b"part of a body"


@contextmanager
def sending(content, is_reset):
    """Connect to a peer that sends bytes and then closes or resets the connection."""

    def serve_one():
        connection, _ = listener.accept()
        connection.sendall(content)
        received.wait()
        if is_reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.close()

    received = eventlet.event.Event()
    with closing(listen("127.0.0.1:0")) as listener:
        peer = eventlet.spawn(serve_one)
        with closing(eventlet.connect(listener.getsockname())) as connection:
            yield connection, received
        peer.wait()


def receive(connection):
    """Read with ``recv``."""
    return connection.recv(100)


def receive_into(connection):
    """Read with ``recv_into``."""
    buffer = bytearray(100)
    return bytes(buffer[: connection.recv_into(buffer)])


def read_file(connection):
    """Read through the file interface, as ``http.client`` does."""
    with connection.makefile("rb") as file:
        return file.read1(100)


@pytest.mark.parametrize("read", [receive, receive_into, read_file])
def test_a_reset_is_raised_and_a_regular_end_is_empty(read):
    with sending(PART, is_reset=True) as (connection, received):
        assert read(connection) == PART
        received.send()
        with eventlet.Timeout(5), pytest.raises(ConnectionResetError):
            read(connection)
    with sending(PART, is_reset=False) as (connection, received):
        assert read(connection) == PART
        received.send()
        with eventlet.Timeout(5):
            assert read(connection) == b""


@pytest.mark.parametrize(
    "content",
    [b"", b"GET / HTTP/1.1\r\nHos", b"PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\n{}"],
)
def test_a_server_serves_others_after_a_reset(content, capsys):
    # Guards against an exception that leaves the green thread of a connection.
    errors = []

    def application(environ, start_response):
        try:
            return respond(start_response, 200, read_json(environ))
        except BadRequestError as error:
            errors.append(error)
            return respond(start_response, 400)

    with closing(listen("127.0.0.1:0")) as listener:
        server = serve(listener, application)
        with closing(eventlet.connect(listener.getsockname())) as connection:
            connection.sendall(content)
            eventlet.sleep(0.05)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        eventlet.sleep(0.05)
        with closing(eventlet.connect(listener.getsockname())) as connection:
            connection.sendall(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n")
            assert connection.recv(100).startswith(b"HTTP/1.1 200")
        server.kill()
    assert len(errors) == content.startswith(b"PUT")
    assert "Traceback" not in capsys.readouterr().err
