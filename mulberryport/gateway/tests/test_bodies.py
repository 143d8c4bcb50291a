"""Tests of request bodies that are sent to a second target.

Guards against a body that was read in part and is sent again as if it were whole: a
target ran the first 64 KiB of a longer body that another had rejected as not run.
"""

import socket
from contextlib import closing, contextmanager
from http.client import HTTPConnection
from io import BytesIO

import pytest
from attrs import evolve

from ..bodies import MAX_BUFFERED_BYTES, read_body
from ..refusals import OutcomeUnknownError
from ..target_protocol import TargetProtocol, Verdict
from .builders import KEY, running_gateway, scripted_target

LARGER = [MAX_BUFFERED_BYTES + 1, 200_000]
BUFFERED = [100, MAX_BUFFERED_BYTES - 1, MAX_BUFFERED_BYTES]
REJECTED = b"HTTP/1.1 503 X\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"


def verdict_of(view, request, sent_at, status, headers):
    """Tell which responses are rejections."""
    return Verdict.NOT_RUN if headers.get("X-Rejected") else Verdict.RESPONSE


def content_of(size):
    """Return a body whose parts differ."""
    return b"".join(b"%07d\n" % n for n in range(size // 8 + 1))[:size]


def read_request_body(connection, head):
    """Read the body of a request, stated by length or in chunks."""
    head, _, content = head.partition(b"\r\n\r\n")
    if b"chunked" not in head.lower():
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        while len(content) < length:
            content += connection.recv(65536)
        return content
    while not content.endswith(b"0\r\n\r\n"):
        content += connection.recv(65536)
    body, file = b"", BytesIO(content)
    while size := int(file.readline(), 16):
        body += file.read(size)
        file.readline()
    return body


@contextmanager
def rejecting_then_serving(reject):
    """Run a gateway with two targets; the first request to any is rejected.

    Yields
    ------
    tuple of Harness and list of bytes
        The gateway, and the bodies of the requests that ran.
    """
    ran, rejected = [], []

    def script(connection, head):
        if not rejected:
            rejected.append(head)
            reject(connection, head)
            return
        ran.append(read_request_body(connection, head))
        connection.sendall(SERVED)

    with (
        scripted_target(script) as (first, _),
        scripted_target(script) as (second, _),
        running_gateway(first, second) as harness,
    ):
        gateway = harness.gateway
        gateway._target_client = evolve(
            gateway._target_client, protocol=TargetProtocol(verdict=verdict_of)
        )
        yield harness, ran


def reject_at_once(connection, head):
    """Reject a request before its body is in, and read on."""
    connection.sendall(REJECTED)
    read_request_body(connection, head)


def reject_and_close(connection, head):
    """Reject a request before its body is in, and read no more."""
    connection.sendall(REJECTED)
    connection.shutdown(socket.SHUT_WR)


def reject_in_the_end(connection, head):
    """Reject a request after its body is in."""
    read_request_body(connection, head)
    connection.sendall(REJECTED)


def post(connection, content, is_chunked):
    """Send a request on a connection; return the status, headers and body."""
    headers = {"Authorization": f"Bearer {KEY}"}
    body = content
    if is_chunked:
        headers["Transfer-Encoding"] = "chunked"
        body = (content[n : n + 50_000] for n in range(0, len(content), 50_000))
    connection.request("POST", "/filing/x", body, headers, encode_chunked=is_chunked)
    reply = connection.getresponse()
    return reply.status, dict(reply.headers), reply.read()


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(
    "reject", [reject_at_once, reject_and_close, reject_in_the_end]
)
@pytest.mark.parametrize("size", LARGER)
def test_a_body_that_cannot_be_sent_again_is_refused_as_not_run(
    size, reject, is_chunked
):
    content = content_of(size)
    with (
        rejecting_then_serving(reject) as (harness, ran),
        closing(HTTPConnection(*harness.address, timeout=10)) as connection,
    ):
        status, headers, _ = post(connection, content, is_chunked)
        assert (status, headers["X-Mulberryport-Outcome"]) == (503, "not-run")
        assert float(headers["Retry-After"]) > 0
        assert ran == []
        # The rest of the body is not taken for the next request.
        assert post(connection, content, is_chunked)[0] == 200
        assert ran == [content]


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("size", BUFFERED)
def test_a_body_that_is_buffered_is_sent_again_whole(size, is_chunked):
    content = content_of(size)
    with (
        rejecting_then_serving(reject_in_the_end) as (harness, ran),
        closing(HTTPConnection(*harness.address, timeout=10)) as connection,
    ):
        assert post(connection, content, is_chunked)[0] == 200
        assert ran == [content]


def test_a_target_that_cannot_be_reached_leaves_a_long_body_whole():
    content = content_of(200_000)
    ran = []

    def script(connection, head):
        ran.append(read_request_body(connection, head))
        connection.sendall(SERVED)

    with closing(socket.socket()) as unused:
        unused.bind(("127.0.0.1", 0))
        gone = "{}:{}".format(*unused.getsockname())
        with (
            scripted_target(script) as (target, _),
            running_gateway(gone, gone, target) as harness,
            closing(HTTPConnection(*harness.address, timeout=10)) as connection,
        ):
            statuses = [post(connection, content, True)[0] for _ in range(4)]
    assert statuses == [200] * 4
    assert ran == [content] * 4


def test_parts_of_a_body_are_read_once():
    content = content_of(MAX_BUFFERED_BYTES + 1)
    environ = {
        "wsgi.input": BytesIO(content),
        "headers_raw": [("Content-Length", str(len(content)))],
    }
    body = read_body(environ)
    parts = body.parts()
    assert next(parts) == content[:MAX_BUFFERED_BYTES] and body.can_be_sent
    assert list(parts) == [content[MAX_BUFFERED_BYTES:]]
    assert not body.can_be_sent
    with pytest.raises(OutcomeUnknownError):
        body.parts()
