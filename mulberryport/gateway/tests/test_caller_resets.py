"""Tests of callers that reset their connection.

Guards against a part of a request's body that a target takes for the whole, and against
a request that goes on running for nobody.
"""

import socket
import struct
from contextlib import closing

import eventlet
import pytest

from .builders import KEY, running_gateway, scripted_target, wait_until

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# Time for the bytes to arrive before the reset.
PAUSE_S = 0.1
LONG_PART = b"x" * 200_000


def send_and_reset(harness, content):
    """Send bytes to a gateway and reset the connection."""
    with closing(socket.create_connection(harness.address, timeout=5)) as connection:
        connection.sendall(content)
        eventlet.sleep(PAUSE_S)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def make_head(framing):
    """Return the head of a request with a body."""
    return f"POST /filing/a HTTP/1.1\r\nHost: h\r\nX-Api-Key: {KEY}\r\n".encode() + (
        framing + b"\r\n\r\n"
    )


LENGTH = make_head(b"Content-Length: 400000")
CHUNKED = make_head(b"Transfer-Encoding: chunked")


@pytest.mark.parametrize(
    "content",
    [
        LENGTH,
        LENGTH + b"x" * 10,
        LENGTH + LONG_PART,
        CHUNKED,
        CHUNKED + b"64\r\nx",
        CHUNKED + b"1\r\nx\r\n",
        CHUNKED + b"%x\r\n%s\r\n" % (len(LONG_PART), LONG_PART),
        CHUNKED + b"%x\r\n%s" % (2 * len(LONG_PART), LONG_PART),
    ],
)
def test_a_body_that_is_reset_reaches_no_target_as_whole(content):
    received = []

    def receive(connection, head):
        content = head
        while part := connection.recv(65536):
            content += part
            received[:] = [content]

    with scripted_target(receive) as (address, _), running_gateway(address) as harness:
        send_and_reset(harness, content)
        assert wait_until(lambda: not harness.in_flight and not harness.server.busy, 5)
        eventlet.sleep(PAUSE_S)
    for request in received:
        body = request.partition(b"\r\n\r\n")[2]
        assert len(body) < 400_000 and not body.endswith(b"0\r\n\r\n")


def test_a_request_whose_caller_resets_is_cancelled():
    ended = []

    def run(connection, head):
        try:
            ended.append(connection.recv(1) == b"")
        except ConnectionResetError:
            ended.append(True)

    with scripted_target(run) as (address, heads), running_gateway(address) as harness:
        send_and_reset(harness, make_head(b"Content-Length: 0"))
        assert wait_until(lambda: ended == [True], 5)
        assert wait_until(lambda: not harness.in_flight, 5)
        assert len(heads) == 1
