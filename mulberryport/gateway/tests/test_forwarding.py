"""Tests of forwarding to plain services, with targets that fail in chosen ways."""

import os
import socket
import struct
import time
from contextlib import closing

import eventlet
import psutil
import pytest

from ...standins.fleet import free_address
from ...targets import WorkRequest
from ..refusals import OUTCOME_HEADER
from .builders import KEY, call, running_gateway, scripted_target

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def answering(content):
    def script(connection, head):
        connection.sendall(content)

    return script


def silent(connection, head):
    connection.recv(1)


def resetting(connection, head):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def raw(harness, content, until_closed=True):
    """Send bytes on a connection of its own and return all that comes back."""
    with closing(socket.create_connection(harness.address, timeout=15)) as connection:
        connection.sendall(content)
        received = b""
        while part := connection.recv(65536):
            received += part
        return received


def post(path, *lines, body=b""):
    head = [f"POST {path} HTTP/1.1", "Host: x", f"X-Api-Key: {KEY}", *lines]
    return ("\r\n".join([*head, "Connection: close"]) + "\r\n\r\n").encode() + body


@pytest.mark.parametrize(
    "script",
    [
        answering(b""),
        resetting,
        answering(b"HTTP/1.1 200 OK\r\nContent-Le"),
        answering(b"HTTP/1.1 200 OK\r\n\r\nto the end of the connection"),
        answering(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok"),
        answering(b"HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n"),
        answering(b"nonsense\r\n\r\n"),
    ],
)
def test_lost_answer_is_unknown_and_never_sent_twice(script):
    # Guards against a repeated non-idempotent request and a false "not-run".
    with (
        scripted_target(script) as (first, heads1),
        scripted_target(script) as (second, heads2),
        running_gateway(first, second) as harness,
    ):
        status, headers, _ = call(harness, "POST", "/filing/a", b"body")
        assert (status, headers[OUTCOME_HEADER]) == (502, "unknown")
        assert len(heads1) + len(heads2) == 1
        status, headers, _ = call(harness, "GET", "/filing/a")
        assert (status, headers[OUTCOME_HEADER]) == (502, "unknown")
        assert len(heads1) + len(heads2) == 3
        assert not harness.in_flight


def test_idempotent_request_is_retried_within_the_budget():
    # Guards against a lost answer that a second target could give, and against
    # retries beyond the budget.
    with (
        scripted_target(answering(b"")) as (bad, _),
        scripted_target(answering(OK)) as (good, heads),
        running_gateway(bad, good) as harness,
    ):
        answers = {call(harness, "GET", "/filing/a")[0] for _ in range(12)}
        assert answers == {200} and len(heads) == 12
    # A gateway that has not ejected the bad target yet, with a spent budget.
    with (
        scripted_target(answering(b"")) as (bad, _),
        scripted_target(answering(OK)) as (good, _),
        running_gateway(bad, good) as harness,
    ):
        harness.gateway.may_retry = lambda pool: False
        answers = {call(harness, "GET", "/filing/a")[0] for _ in range(20)}
        assert answers == {200, 502}


def test_refused_connection_is_not_run_and_tried_elsewhere():
    # Guards against "unknown" where it is known that nothing was sent.
    refusing = free_address()
    with running_gateway(refusing) as harness:
        status, headers, _ = call(harness, "POST", "/filing/a", b"body")
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
    with (
        scripted_target(answering(OK)) as (good, heads),
        running_gateway(refusing, good) as harness,
    ):
        for _ in range(8):
            assert call(harness, "POST", "/filing/a", b"body")[0] == 200
        assert len(heads) == 8


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
    ],
)
def test_truncated_answer_never_ends_cleanly(answer):
    # Guards against a part of an answer that passes for the whole one.
    with (
        scripted_target(answering(answer)) as (address, _),
        running_gateway(address) as harness,
    ):
        received = raw(harness, post("/filing/a", "Content-Length: 0"))
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body in (b"ok", b"2\r\nok\r\n", b"")


def test_answers_pass_unchanged_but_for_the_connections_headers():
    # Guards against hop-by-hop headers, a target's claim about the outcome, and
    # changed errors, repeated headers and answers without a body.
    answer = (
        b"HTTP/1.1 503 Busy\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nSet-Cookie: a=1"
        b"\r\nSet-Cookie: b=2\r\nX-Mulberryport-Outcome: not-run\r\nKeep-Alive: 5\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    with (
        scripted_target(answering(answer)) as (address, _),
        running_gateway(address) as harness,
    ):
        received = raw(harness, post("/filing/a", "Content-Length: 0"))
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "HTTP/1.1 503 Busy" and body == b"busy"
    assert {"Set-Cookie: a=1", "Set-Cookie: b=2", "Content-Length: 4"} <= set(lines)
    assert not any("Hop" in x or "Outcome" in x or "Alive" in x for x in lines)


def test_head_and_requests_with_expect_and_chunked_bodies():
    # Guards against a HEAD that waits for a body, a caller that waits for "100
    # Continue", and a changed body or path.
    bodies = []

    def script(connection, head):
        if head.startswith(b"HEAD"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
            return
        content = head.partition(b"\r\n\r\n")[2]
        while not content.endswith(b"0\r\n\r\n") and b"chunked" in head:
            content += connection.recv(65536)
        bodies.append(content)
        connection.sendall(OK)

    with (
        scripted_target(script) as (address, heads),
        running_gateway(address) as harness,
    ):
        status, headers, body = call(harness, "HEAD", "/filing/a%2Fb?x=%20y")
        assert (status, headers["Content-Length"], body) == (200, "99", b"")
        assert heads[0].startswith(b"HEAD /filing/a%2Fb?x=%20y HTTP/1.1\r\n")
        chunks = b"3\r\nabc\r\n0\r\n\r\n"
        received = raw(
            harness,
            post(
                "/filing/a",
                "Transfer-Encoding: chunked",
                "Expect: 100-continue",
                body=chunks,
            ),
        )
    assert received.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")
    assert bodies == [chunks]
    assert all(KEY.encode() not in head and b"Expect" not in head for head in heads)


@pytest.mark.parametrize(
    "content",
    [
        post("/filing/a", "Content-Length: 1_0", body=b"0123456789"),
        post("/filing/a", "Content-Length: 1", "Content-Length: 2", body=b"ab"),
        post("/filing/a", "Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"),
        post("/filing/a", "Transfer-Encoding: chunked", body=b"zz\r\n"),
        post(f"/filing/{KEY}"),
        post("/public/../filing/a"),
        post("/public/%2e%2e/filing/a"),
        post("/filing/a", "Cookie: api_key=another"),
    ],
)
def test_malformed_requests_are_refused_before_anything_is_sent(content):
    # Guards against framing that a target reads differently, paths that mean another
    # route to the target, and keys in the path.
    with (
        scripted_target(answering(OK)) as (address, heads),
        running_gateway(address) as harness,
    ):
        received = raw(harness, content)
    assert received.startswith(b"HTTP/1.1 400 ") and b"not-run" in received
    assert not heads


def test_silent_connection_is_left_and_the_deadline_is_for_the_whole_answer():
    # Guards against a caller that waits for ever on a connection that is dead while
    # new ones work, and on a target that answers too slowly.
    def drip(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
        while True:
            connection.sendall(b".")
            eventlet.sleep(0.1)

    with (
        scripted_target(silent) as (first, heads1),
        scripted_target(answering(OK)) as (second, heads2),
    ):
        with running_gateway(first, second, timeout=9.0) as harness:
            while not heads1:
                assert call(harness, "GET", "/filing/a")[0] == 200
        with running_gateway(first, timeout=9.0) as harness:
            started = time.monotonic()
            status, headers, _ = call(harness, "POST", "/filing/a", b"x")
            assert (status, headers[OUTCOME_HEADER]) == (504, "unknown")
            assert time.monotonic() - started < 9.0
            assert not harness.in_flight
    with (
        scripted_target(drip) as (address, _),
        running_gateway(address, timeout=1.0) as harness,
    ):
        received = raw(harness, post("/filing/a", "Content-Length: 0"))
        assert received.startswith(b"HTTP/1.1 200") and b"...." in received
        assert not received.endswith(b"." * 99)


def test_request_whose_time_passes_in_the_queue_is_not_run():
    # Guards against "unknown" for a request that no target has seen.
    with (
        scripted_target(silent) as (address, heads),
        running_gateway(address, timeout=1.0, concurrency=1) as harness,
    ):
        # The only place stays taken for longer than the request may wait.
        with harness.gateway.dispatcher.assign(WorkRequest("desk", "")):
            status, headers, _ = call(harness, "POST", "/filing/b", b"x")
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
        assert heads == []


def test_large_bodies_are_not_held():
    # Guards against memory that grows with the size of a body.
    size, part = 200 * 1024 * 1024, b"x" * 65536
    received = []

    def script(connection, head):
        if head.startswith(b"GET"):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(size // len(part)):
                connection.sendall(part)
            return
        count = len(head.partition(b"\r\n\r\n")[2])
        while count < size:
            count += len(connection.recv(1 << 20))
        received.append(count)
        connection.sendall(OK)

    peak = [0]
    process = psutil.Process(os.getpid())

    def measure():
        while True:
            peak[0] = max(peak[0], process.memory_info().rss)
            eventlet.sleep(0.01)

    with (
        scripted_target(script) as (address, _),
        running_gateway(address, timeout=60) as harness,
    ):
        before = process.memory_info().rss
        meter = eventlet.spawn(measure)
        with closing(socket.create_connection(harness.address)) as connection:
            head = post("/filing/a", f"Content-Length: {size}")
            connection.sendall(head)
            for _ in range(size // len(part)):
                connection.sendall(part)
            assert connection.recv(65536).startswith(b"HTTP/1.1 200")
        with closing(socket.create_connection(harness.address)) as connection:
            connection.sendall(
                head.replace(b"POST", b"GET").replace(str(size).encode(), b"0")
            )
            count = 0
            while content := connection.recv(1 << 20):
                count += len(content)
        meter.kill()
    assert received == [size] and count > size
    assert peak[0] - before < 32 * 1024 * 1024
