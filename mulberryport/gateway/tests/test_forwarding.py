"""Tests of forwarding to plain services, with scripted failures of targets."""

import os
import socket
import struct
import time
from contextlib import closing

import eventlet
import psutil
import pytest
from attrs import evolve

from ...standins.fleet import find_free_address
from ...targets import WorkRequest
from ..refusals import OUTCOME_HEADER
from .builders import KEY, call, running_gateway, scripted_target

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def responding_with(content):
    def script(connection, head):
        connection.sendall(content)

    return script


def stay_silent(connection, head):
    connection.recv(1)


def reset_connection(connection, head):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def exchange_bytes(harness, content, until_closed=True):
    """Send bytes on a new connection and return all bytes received until it closes."""
    with closing(socket.create_connection(harness.address, timeout=15)) as connection:
        connection.sendall(content)
        received = b""
        while part := connection.recv(65536):
            received += part
        return received


def make_post(path, *lines, body=b""):
    head = [f"POST {path} HTTP/1.1", "Host: x", f"X-Api-Key: {KEY}", *lines]
    return ("\r\n".join([*head, "Connection: close"]) + "\r\n\r\n").encode() + body


@pytest.mark.parametrize(
    "script",
    [
        responding_with(b""),
        reset_connection,
        responding_with(b"HTTP/1.1 200 OK\r\nContent-Le"),
        responding_with(b"HTTP/1.1 200 OK\r\n\r\nto the end of the connection"),
        responding_with(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok"),
        responding_with(b"HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n"),
        responding_with(b"nonsense\r\n\r\n"),
    ],
)
def test_lost_response_is_unknown_and_request_not_repeated(script):
    # Guards against a non-idempotent request that runs twice, and a false "not-run".
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
    # Guards against a failure although a second target could serve the request, and
    # against retries beyond the retry budget.
    with (
        scripted_target(responding_with(b"")) as (bad, _),
        scripted_target(responding_with(OK)) as (good, heads),
        running_gateway(bad, good) as harness,
    ):
        statuses = {call(harness, "GET", "/filing/a")[0] for _ in range(12)}
        assert statuses == {200} and len(heads) == 12
    # A new gateway, which has not ejected the bad target yet, without retry budget.
    with (
        scripted_target(responding_with(b"")) as (bad, _),
        scripted_target(responding_with(OK)) as (good, _),
        running_gateway(bad, good) as harness,
    ):
        harness.gateway.may_retry = lambda pool: False
        statuses = {call(harness, "GET", "/filing/a")[0] for _ in range(20)}
        assert statuses == {200, 502}


def test_hedged_request_that_was_sent_is_unknown_when_no_target_is_left():
    # Guards against a false "not-run", which breaks an invariant, when the retry of a
    # request that was sent finds no other target.
    with (
        scripted_target(reset_connection) as (address, heads),
        running_gateway(address) as harness,
    ):
        gateway = harness.gateway
        gateway.dialect = evolve(gateway.dialect, hedge_delay_s=lambda route: 0.5)
        status, headers, _ = call(harness, "GET", "/filing/a")
        assert (status, headers[OUTCOME_HEADER]) == (502, "unknown")
        assert len(heads) == 1


def test_refused_connection_is_not_run_and_retried_elsewhere():
    # Guards against the outcome "unknown" for a request that was certainly not sent.
    refusing = find_free_address()
    with running_gateway(refusing) as harness:
        status, headers, _ = call(harness, "POST", "/filing/a", b"body")
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
    with (
        scripted_target(responding_with(OK)) as (good, heads),
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
def test_truncated_response_never_ends_cleanly(answer):
    # Guards against a truncated response that appears complete to the caller.
    with (
        scripted_target(responding_with(answer)) as (address, _),
        running_gateway(address) as harness,
    ):
        received = exchange_bytes(harness, make_post("/filing/a", "Content-Length: 0"))
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert body in (b"ok", b"2\r\nok\r\n", b"")


def test_response_is_unchanged_except_hop_by_hop_headers():
    # Guards against forwarded hop-by-hop headers, an outcome header that a target has
    # set, and changes of error statuses, repeated headers or the body.
    answer = (
        b"HTTP/1.1 503 Busy\r\nConnection: X-Hop, close\r\nX-Hop: 1\r\nSet-Cookie: a=1"
        b"\r\nSet-Cookie: b=2\r\nX-Mulberryport-Outcome: not-run\r\nKeep-Alive: 5\r\n"
        b"Content-Length: 4\r\n\r\nbusy"
    )
    with (
        scripted_target(responding_with(answer)) as (address, _),
        running_gateway(address) as harness,
    ):
        received = exchange_bytes(harness, make_post("/filing/a", "Content-Length: 0"))
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    assert lines[0] == "HTTP/1.1 503 Busy" and body == b"busy"
    assert {"Set-Cookie: a=1", "Set-Cookie: b=2", "Content-Length: 4"} <= set(lines)
    assert not any("Hop" in x or "Outcome" in x or "Alive" in x for x in lines)


def test_head_and_requests_with_expect_and_chunked_bodies():
    # Guards against a HEAD request that waits for a body, a caller that waits for
    # "100 Continue" in vain, and a changed body or path.
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
        received = exchange_bytes(
            harness,
            make_post(
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
        make_post("/filing/a", "Content-Length: 1_0", body=b"0123456789"),
        make_post("/filing/a", "Content-Length: 1", "Content-Length: 2", body=b"ab"),
        make_post("/filing/a", "Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"),
        make_post("/filing/a", "Transfer-Encoding: chunked", body=b"zz\r\n"),
        make_post(f"/filing/{KEY}"),
        make_post("/public/../filing/a"),
        make_post("/public/%2e%2e/filing/a"),
        make_post("/filing/a", "Cookie: api_key=another"),
    ],
)
def test_malformed_requests_are_rejected_before_anything_is_sent(content):
    # Guards against framing that a target parses differently, paths that a target
    # resolves to another route, and keys in the path.
    with (
        scripted_target(responding_with(OK)) as (address, heads),
        running_gateway(address) as harness,
    ):
        received = exchange_bytes(harness, content)
    assert received.startswith(b"HTTP/1.1 400 ") and b"not-run" in received
    assert not heads


def test_silent_connection_is_aborted_and_deadline_covers_the_whole_response():
    # Guards against a caller that waits forever on a dead connection although new
    # ones work, or on a target that responds too slowly.
    def drip(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
        while True:
            connection.sendall(b".")
            eventlet.sleep(0.1)

    with (
        scripted_target(stay_silent) as (first, heads1),
        scripted_target(responding_with(OK)) as (second, heads2),
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
        received = exchange_bytes(harness, make_post("/filing/a", "Content-Length: 0"))
        assert received.startswith(b"HTTP/1.1 200") and b"...." in received
        assert not received.endswith(b"." * 99)


def test_request_whose_deadline_expires_in_the_queue_is_not_run():
    # Guards against the outcome "unknown" for a request that was not sent to a target.
    with (
        scripted_target(stay_silent) as (address, heads),
        running_gateway(address, timeout=1.0, concurrency=1) as harness,
    ):
        # The only slot is in use for longer than the request may wait.
        with harness.gateway.dispatcher.assign(WorkRequest("desk", "")):
            status, headers, _ = call(harness, "POST", "/filing/b", b"x")
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
        assert heads == []


def test_large_bodies_are_not_buffered():
    # Guards against memory use that grows with the size of a body.
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
            head = make_post("/filing/a", f"Content-Length: {size}")
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
