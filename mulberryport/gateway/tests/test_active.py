"""Tests of aborting running requests."""

import socket
from contextlib import closing
from http.client import HTTPConnection

import eventlet
import pytest
from attrs import evolve

from ..refusals import OUTCOME_HEADER
from .builders import KEY, call, running_gateway, scripted_target, wait_until

ABORT_LIMIT_S = 5.0


def withdraw_keys(harness):
    harness.change(keys={})


def revoke_access(harness):
    tables = harness.snapshot_holder.snapshot.tables
    filing = evolve(tables.routes["filing"], workspaces=("hauliers",))
    harness.change(routes={**tables.routes, "filing": filing})


def make_keys_unusable(harness):
    harness.keys_usable[0] = False


def respond_partially(connection, head):
    """Send a part of the response to a GET; send nothing for other methods."""
    if head.startswith(b"GET"):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
    connection.recv(1)


@pytest.mark.parametrize(
    ("change", "status"),
    [(withdraw_keys, 401), (revoke_access, 403), (make_keys_unusable, 503)],
)
def test_requests_are_aborted_when_their_access_ends(change, status):
    # Guards against a blocked read, a running stream or a queued request that
    # continues after its key has lost access.
    with (
        scripted_target(respond_partially) as (address, heads),
        running_gateway(address, concurrency=2) as harness,
        closing(socket.create_connection(harness.address)) as stream,
    ):
        blocked = eventlet.spawn(call, harness, "POST", "/filing/a", b"x")
        lines = f"GET /filing/b HTTP/1.1\r\nHost: x\r\nX-Api-Key: {KEY}\r\n\r\n"
        stream.sendall(lines.encode())
        assert wait_until(lambda: len(heads) == 2, 5)
        queued = eventlet.spawn(call, harness, "POST", "/filing/c", b"x")
        assert wait_until(lambda: len(harness.gateway.active) == 3, 5)
        change(harness)
        with eventlet.Timeout(ABORT_LIMIT_S):
            answer = blocked.wait()
            assert (answer[0], answer[1][OUTCOME_HEADER]) == (502, "unknown")
            answer = queued.wait()
            assert (answer[0], answer[1][OUTCOME_HEADER]) == (status, "not-run")
            received = b""
            while part := stream.recv(65536):
                received += part
        assert received.endswith(b"\r\n\r\nok")
        assert len(heads) == 2 and not harness.in_flight


def test_each_request_on_an_open_connection_is_authorized():
    # Guards against a withdrawn key that remains valid on an open connection.
    def answer(connection, head):
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    with (
        scripted_target(answer) as (address, heads),
        running_gateway(address) as harness,
        closing(HTTPConnection(*harness.address, timeout=5)) as connection,
    ):
        headers = {"X-Api-Key": KEY}
        statuses = []
        for _ in range(2):
            connection.request("POST", "/filing/a", b"x", headers)
            reply = connection.getresponse()
            reply.read()
            statuses.append(reply.status)
            withdraw_keys(harness)
        assert statuses == [200, 401] and len(heads) == 1


def test_disconnected_caller_frees_its_slot():
    # Guards against slots and queue entries that stay occupied after their callers
    # have disconnected.
    with (
        scripted_target(respond_partially) as (address, heads),
        running_gateway(address, concurrency=1) as harness,
    ):
        callers = []
        for _ in range(2):
            caller = socket.create_connection(harness.address)
            caller.sendall(
                b"POST /filing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                b"X-Api-Key: " + KEY.encode() + b"\r\n\r\n"
            )
            callers.append(caller)
        assert wait_until(lambda: heads and len(harness.gateway.active) == 2, 5)
        for caller in reversed(callers):
            caller.close()
        assert wait_until(lambda: not harness.server.busy, 5)
        assert not harness.in_flight and len(heads) == 1
