"""Tests of streaming generation, with scripted failures of engines."""

import socket
from contextlib import closing

import eventlet
import orjson
import pytest

from ...runtime.wsgi import listen, serve
from ...standins import EngineState, engine_application, expected_tokens
from .builders import KEY, call, running_gateway, scripted_target, wait_until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def parse_request(head):
    return orjson.loads(head.partition(b"\r\n\r\n")[2])


def send_lines(connection, *lines):
    for line in lines:
        content = orjson.dumps(line) + b"\n"
        connection.sendall(b"%x\r\n%b\r\n" % (len(content), content))


def generating(change=None, stop_after=None, then_silent=False):
    """Return a script that streams eight tokens.

    ``change`` returns fields to replace in a line; ``stop_after`` is the offset at
    which the stream breaks off, or goes silent if ``then_silent`` is True.
    """

    def script(connection, head):
        if b"/generate" not in head:
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        request = parse_request(head)
        connection.sendall(HEAD)
        tokens = expected_tokens(request["prompt"], 8)
        for offset in range(request["offset"], 8, 2):
            if offset == stop_after:
                if then_silent:
                    connection.recv(1)
                return
            part = tokens[offset : offset + 2]
            line = {"id": request["id"], "offset": offset, "tokens": part, "version": 3}
            send_lines(connection, {**line, **(change(line) if change else {})})
        end = {"id": request["id"], "done": True, "length": 8, "finish": "stop"}
        send_lines(connection, {**end, **(change(end) if change else {})})
        connection.sendall(b"0\r\n\r\n")

    return script


def generate(harness, prompt="p", count=8):
    body = orjson.dumps({"prompt": prompt, "max_tokens": count})
    status, _, content = call(harness, "POST", "/drafting/", body)
    return status, [orjson.loads(line) for line in content.splitlines()]


def is_complete(lines):
    tokens = [token for line in lines[:-1] for token in line["tokens"]]
    return tokens == expected_tokens("p", 8) and lines[-1] == {
        "done": True,
        "length": 8,
    }


@pytest.mark.parametrize("then_silent", [False, True])
def test_broken_stream_is_resumed_at_its_offset(then_silent):
    # Guards against lost, repeated or truncated tokens after an engine has failed or
    # its connection has gone silent.
    broken = generating(stop_after=4, then_silent=then_silent)
    with (
        scripted_target(broken) as (first, heads1),
        scripted_target(generating()) as (second, heads2),
        running_gateway(first, second) as harness,
    ):
        while not heads1:
            status, lines = generate(harness)
            assert status == 200 and is_complete(lines)
        offsets = [parse_request(h)["offset"] for h in heads2 if b"/generate" in h]
        assert offsets[-1] == 4
        ids = [parse_request(h)["id"] for h in heads1 + heads2 if b"/generate" in h]
        assert len(ids) == len(set(ids))
        assert wait_until(lambda: any(b"/cancel" in head for head in heads1), 5)
        assert {line["version"] for line in lines[:-1]} == {3}


@pytest.mark.parametrize(
    "change",
    [
        lambda line: {"id": "another"},
        lambda line: {"offset": 2} if line.get("offset") == 0 else {},
        lambda line: {"version": 0},
        lambda line: {"version": None},
        lambda line: {"tokens": "ab"},
        lambda line: {"length": 6},
        lambda line: {"finish": "cancelled"},
        lambda line: {"tokens": ["a"] * 9},
    ],
)
def test_invalid_lines_are_rejected(change):
    # Guards against tokens of another request, gaps, missing versions and truncated
    # responses, when all engines fail in the same way.
    with (
        scripted_target(generating(change)) as (first, _),
        scripted_target(generating(change)) as (second, _),
        running_gateway(first, second) as harness,
        closing(socket.create_connection(harness.address, timeout=6)) as connection,
    ):
        body = orjson.dumps({"prompt": "p", "max_tokens": 8})
        connection.sendall(
            b"POST /drafting/ HTTP/1.1\r\nHost: x\r\nX-Api-Key: %b\r\n"
            b"Connection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (KEY.encode(), len(body), body)
        )
        received = b""
        while part := connection.recv(65536):
            received += part
        assert b"unknown" in received
        assert b"done" not in received and b"0\r\n\r\n" not in received


def test_mismatched_responses_never_reach_the_wrong_caller():
    # Guards against an engine that sends each request the response to the previous
    # one.
    previous = ["none"]

    def respond_to_previous(connection, head):
        if b"/generate" in head:
            current = parse_request(head)["id"]
            generating(lambda line, other=previous[0]: {"id": other})(connection, head)
            previous[0] = current

    with (
        scripted_target(respond_to_previous) as (first, _),
        scripted_target(generating()) as (second, _),
        running_gateway(first, second) as harness,
    ):
        for _ in range(6):
            status, lines = generate(harness)
            assert status == 200 and is_complete(lines)


def test_generation_is_cancelled_when_the_caller_disconnects():
    # Guards against an engine that keeps generating after the caller has disconnected.
    engine = EngineState(token_time=0.01)
    listener = listen("127.0.0.1:0")
    server = serve(listener, engine_application(engine))
    address = "{}:{}".format(*listener.getsockname())
    with running_gateway(address) as harness:
        caller = socket.create_connection(harness.address)
        body = b'{"prompt": "p", "max_tokens": 20000}'
        caller.sendall(
            b"POST /drafting/ HTTP/1.1\r\nHost: x\r\nX-Api-Key: %b\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (KEY.encode(), len(body), body)
        )
        # The first tokens arrive immediately: short lines are not buffered.
        with eventlet.Timeout(5):
            while b"tokens" not in caller.recv(65536):
                pass
        caller.close()
        assert wait_until(lambda: engine.cancelled and not engine.running, 5)
        assert not harness.in_flight
    server.kill()
