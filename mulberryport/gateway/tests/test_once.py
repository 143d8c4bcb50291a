"""Tests of requests with an idempotency key in one daemon."""

import eventlet

from ...idempotency import IdempotencyService
from ...membership import Member, Members
from ...outcomes import NotDone
from ...standins.fleet import free_address
from ..refusals import OUTCOME_HEADER
from .builders import call, running_gateway, scripted_target


def service():
    members = Members(Member("vm1", "rosario", "127.0.0.1:1", 7))
    return IdempotencyService(members, lambda *_: NotDone("no peers"))


def answering(connection, head):
    eventlet.sleep(0.3)
    connection.sendall(b"HTTP/1.1 201 Filed\r\nA: 1\r\nContent-Length: 2\r\n\r\nok")


def post(harness, body=b"x", key="k1", **headers):
    status, answer, content = call(
        harness, "POST", "/filing/a", body, Idempotency_Key=key, **headers
    )
    return status, answer.get(OUTCOME_HEADER), content


def test_second_request_gets_the_first_ones_answer():
    # Guards against a second run of a request that was sent again, at the same time or
    # later, and against an answer to another request with the same key.
    with (
        scripted_target(answering) as (address, heads),
        running_gateway(address, idempotency=service()) as harness,
    ):
        both = [eventlet.spawn(post, harness) for _ in range(2)]
        assert [thread.wait() for thread in both] == [(201, None, b"ok")] * 2
        assert post(harness, Mulberryport_Attempt="2") == (201, None, b"ok")
        assert post(harness, body=b"y")[:2] == (409, "not-run")
        assert len(heads) == 1
        assert post(harness, key="k2")[0] == 201 and len(heads) == 2


def test_lost_answer_stays_unknown_and_a_refusal_may_be_repeated():
    # Guards against a second run after a lost answer, and against a key that is used up
    # by a request that did not run.
    lose = [True]

    def script(connection, head):
        if not lose[0]:
            answering(connection, head)

    refusing = free_address()
    records = service()
    with running_gateway(refusing, idempotency=records) as harness:
        assert post(harness)[:2] == (503, "not-run")
    with (
        scripted_target(script) as (address, heads),
        running_gateway(address, idempotency=records) as harness,
    ):
        assert post(harness, Mulberryport_Attempt="2")[:2] == (502, "unknown")
        lose[0] = False
        assert post(harness, Mulberryport_Attempt="3")[:2] == (502, "unknown")
        assert len(heads) == 1
