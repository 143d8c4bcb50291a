"""Tests of requests with an idempotency key at a single daemon."""

import eventlet

from ...idempotency import IdempotencyService
from ...membership import Member, Members
from ...outcomes import NotDone
from ...standins.fleet import find_free_address
from ..refusals import OUTCOME_HEADER
from .builders import call, running_gateway, scripted_target


def make_service():
    members = Members(Member("vm1", "rosario", "127.0.0.1:1", 7))
    return IdempotencyService(members, lambda *_: NotDone("no peers"))


def respond_slowly(connection, head):
    eventlet.sleep(0.3)
    connection.sendall(b"HTTP/1.1 201 Filed\r\nA: 1\r\nContent-Length: 2\r\n\r\nok")


def post(harness, body=b"x", key="k1", **headers):
    status, answer, content = call(
        harness, "POST", "/filing/a", body, Idempotency_Key=key, **headers
    )
    return status, answer.get(OUTCOME_HEADER), content


def test_repeated_request_gets_the_stored_response():
    # Guards against a second run of a request that is repeated, concurrently or later,
    # and against a stored response to a different request with the same key.
    with (
        scripted_target(respond_slowly) as (address, heads),
        running_gateway(address, idempotency=make_service()) as harness,
    ):
        both = [eventlet.spawn(post, harness) for _ in range(2)]
        assert [thread.wait() for thread in both] == [(201, None, b"ok")] * 2
        assert post(harness, Mulberryport_Attempt="2") == (201, None, b"ok")
        assert post(harness, body=b"y")[:2] == (409, "not-run")
        assert len(heads) == 1
        assert post(harness, key="k2")[0] == 201 and len(heads) == 2


def test_lost_response_stays_unknown_and_refusal_may_be_retried():
    # Guards against a second run after a lost response, and against a key that cannot
    # be used again although its request did not run.
    loses_response = [True]

    def script(connection, head):
        if not loses_response[0]:
            respond_slowly(connection, head)

    refusing = find_free_address()
    records = make_service()
    with running_gateway(refusing, idempotency=records) as harness:
        assert post(harness)[:2] == (503, "not-run")
    with (
        scripted_target(script) as (address, heads),
        running_gateway(address, idempotency=records) as harness,
    ):
        assert post(harness, Mulberryport_Attempt="2")[:2] == (502, "unknown")
        loses_response[0] = False
        assert post(harness, Mulberryport_Attempt="3")[:2] == (502, "unknown")
        assert len(heads) == 1
