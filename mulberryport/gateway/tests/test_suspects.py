"""Tests of requests that crash targets: how they are found, refused and cleared."""

import socket
from contextlib import closing

import eventlet
import orjson
import pytest
from attrs import evolve

from ...idempotency import IdempotencyService
from ...membership import Member, Members
from ...outcomes import NotDone
from ...quarantine import Crash, request_identity
from ...runtime.clock import boottime
from ...targets import LoadReport, WorkRequest
from .. import suspects
from ..refusals import OUTCOME_HEADER
from .builders import KEY, OTHER_KEY, call, running_gateway, scripted_target, wait_until
from .crashing import crashing_targets
from .test_forwarding import reset_connection, responding_with, stay_silent

DEADLY, SOUND = "/shared/deadly", "/shared/sound"


def crash_count(targets):
    return sum(target.crash_count for target in targets)


def wait_until_up(targets):
    assert wait_until(lambda: all(target.is_up for target in targets), 5)


def get(harness, path, **headers):
    """Return the status and the text of the response."""
    status, _, body = call(harness, "GET", path, **headers)
    return status, body.decode()


def make_identity(method, path, body=b""):
    return request_identity("roads", "shared", method, path, body)


def add_hedging(harness, delay_s):
    gateway = harness.gateway
    gateway.dialect = evolve(gateway.dialect, hedge_delay_s=lambda route: delay_s)


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("is_hedged", [False, True])
def test_request_that_crashes_targets_is_refused(method, is_hedged):
    # Guards against a request that ends one target after another for as long as it
    # comes, and against a refusal that takes time or does not say why.
    with (
        crashing_targets(3) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        if is_hedged:
            add_hedging(harness, 0.05)
        replies = []
        for _ in range(6):
            wait_until_up(targets)
            started = boottime()
            replies.append(call(harness, method, DEADLY, b"x", X_Request_Id="r1"))
            elapsed_s = boottime() - started
        assert crash_count(targets) == 2
        status, headers, body = replies[-1]
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
        assert b"crashed several targets" in body and elapsed_s < 0.2
        assert {status for status, _, _ in replies} == {502, 503}
        unknown = [headers for status, headers, _ in replies if status == 502]
        assert all(headers[OUTCOME_HEADER] == "unknown" for headers in unknown)
        assert get(harness, SOUND)[0] == 200
        assert call(harness, method, f"{DEADLY}?other=1", b"y")[0] != 503


def test_crash_within_a_response_counts():
    # Guards against a request that crashes its targets after the head of the response.
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\npart"
    with (
        crashing_targets(3, partial_response=head) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        for _ in range(4):
            wait_until_up(targets)
            with closing(socket.create_connection(harness.address)) as caller:
                caller.sendall(
                    b"GET %b HTTP/1.1\r\nHost: x\r\nX-Api-Key: %b\r\n"
                    b"Connection: close\r\n\r\n" % (DEADLY.encode(), KEY.encode())
                )
                while caller.recv(4096):
                    pass
        assert crash_count(targets) == 2


def test_same_request_of_another_workspace_is_not_blocked():
    # Guards against a workspace that blocks the requests of another one.
    with (
        crashing_targets(3) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        for _ in range(3):
            wait_until_up(targets)
            get(harness, DEADLY)
        for target in targets:
            target.deadly = lambda head: False
        wait_until_up(targets)
        assert get(harness, DEADLY)[0] == 503
        assert get(harness, DEADLY, Authorization=f"Bearer {OTHER_KEY}")[0] == 200


@pytest.mark.parametrize(
    "script",
    [
        reset_connection,
        responding_with(b""),
        responding_with(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"),
        responding_with(b"nonsense\r\n\r\n"),
        responding_with(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"),
    ],
)
def test_lost_response_of_a_target_that_is_up_is_no_crash(script):
    # Guards against sound requests that are blocked because connections are reset.
    with (
        scripted_target(script) as (first, heads1),
        scripted_target(script) as (second, heads2),
        running_gateway(first, second) as harness,
        closing(socket.socket()) as unused,
    ):
        unused.bind(("127.0.0.1", 0))
        for _ in range(5):
            with closing(socket.create_connection(harness.address)) as caller:
                caller.sendall(
                    b"GET /shared/a HTTP/1.1\r\nHost: x\r\nX-Api-Key: %b\r\n"
                    b"Connection: close\r\n\r\n" % KEY.encode()
                )
                while caller.recv(4096):
                    pass
        assert len(heads1) + len(heads2) >= 5
        assert harness.gateway.crashes.is_empty


@pytest.mark.parametrize("is_listed", [True, False])
def test_planned_stop_is_no_crash(is_listed):
    # Guards against requests that are blamed for the end of a target that was leaving
    # or that the list of targets does not name any more.
    with (
        crashing_targets(1, service_time_s=30.0) as [target],
        running_gateway(target.address) as harness,
    ):
        caller = eventlet.spawn(get, harness, SOUND)
        assert wait_until(lambda: target.heads, 5)
        if is_listed:
            report = LoadReport(0, 0, 9, leaving=True)
            harness.directory.record_load("target0", report, boottime())
        else:
            pools = dict(harness.snapshot_holder.snapshot.tables.pools)
            pools["desk"] = evolve(pools["desk"], targets=())
            harness.change(pools=pools)
        target.stop()
        assert caller.wait()[0] in (502, 503)
        assert harness.gateway.crashes.is_empty


def test_silent_network_and_refused_connection_are_no_crash():
    # Guards against requests that are blamed for a cut network or a target that was
    # down before they were sent.
    with (
        scripted_target(stay_silent) as (address, heads),
        running_gateway(address, timeout=0.5) as harness,
    ):
        assert get(harness, SOUND)[0] == 504 and heads
        assert harness.gateway.crashes.is_empty
    with (
        crashing_targets(1) as [target],
        running_gateway(target.address) as harness,
    ):
        target.end()
        assert get(harness, SOUND)[0] == 503
        assert harness.gateway.crashes.is_empty


def test_request_of_a_caller_that_leaves_is_no_crash():
    # Guards against a request that is blamed although this side closed the connection.
    with (
        crashing_targets(1, service_time_s=30.0) as [target],
        running_gateway(target.address) as harness,
    ):
        caller = socket.create_connection(harness.address)
        caller.sendall(
            b"GET /shared/a HTTP/1.1\r\nHost: x\r\nX-Api-Key: %b\r\n\r\n" % KEY.encode()
        )
        assert wait_until(lambda: harness.in_flight, 5)
        caller.close()
        assert wait_until(lambda: not harness.in_flight, 5)
        target.end()
        assert harness.gateway.crashes.is_empty


def test_digest_is_computed_only_when_there_are_crashes(monkeypatch):
    # Guards against digests of the bodies of all requests.
    identities = []
    original = suspects.request_identity

    def count(*values):
        identities.append(values)
        return original(*values)

    monkeypatch.setattr(suspects, "request_identity", count)
    with (
        crashing_targets(3) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        for _ in range(5):
            assert get(harness, SOUND)[0] == 200
        assert not identities
        get(harness, DEADLY)
        wait_until_up(targets)
        identities.clear()
        assert get(harness, SOUND)[0] == 200
        assert len(identities) == 1


def test_request_with_an_idempotency_key_is_refused():
    # Guards against a crash for each new key of the same request.
    members = Members(Member("vm1", "rosario", "127.0.0.1:1", 7))
    records = IdempotencyService(members, lambda *_: NotDone("no peers"))
    with (
        crashing_targets(3) as targets,
        running_gateway(
            *[target.address for target in targets], idempotency=records
        ) as harness,
    ):
        statuses = []
        for number in range(4):
            wait_until_up(targets)
            key = f"k{number}"
            reply = call(harness, "POST", DEADLY, b"x", Idempotency_Key=key)
            statuses.append(reply[0])
        assert statuses == [502, 502, 503, 503]
        assert crash_count(targets) == 2


def test_generation_that_crashes_engines_is_refused():
    # Guards against a prompt that ends one engine after another.
    with (
        crashing_targets(3, deadly=lambda head: b"/generate" in head) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        body = orjson.dumps({"prompt": "p", "max_tokens": 8})
        for _ in range(4):
            wait_until_up(targets)
            reply = call(harness, "POST", "/drafting/", body)
        assert (reply[0], reply[1][OUTCOME_HEADER]) == (503, "not-run")
        assert crash_count(targets) == 2


def test_suspects_run_one_at_a_time_and_without_a_hedge():
    # Guards against suspects that end several targets at the same moment, and against
    # sound ones that do not get a target to themselves.
    paths = [f"{SOUND}{number}" for number in range(6)]
    with (
        crashing_targets(3, service_time_s=0.1) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        add_hedging(harness, 0.05)
        crashes = harness.gateway.crashes
        suspects_of = [make_identity("GET", path) for path in paths]
        for identity in suspects_of:
            crash = Crash("target9", boottime(), alone=False)
            crashes.record_crash(identity, "shared", "roads", crash)
        callers = [eventlet.spawn(get, harness, path) for path in paths]
        most_in_flight = 0
        while not all(caller.dead for caller in callers):
            most_in_flight = max(most_in_flight, harness.in_flight)
            eventlet.sleep(0.005)
        assert {caller.wait()[0] for caller in callers} == {200}
        assert most_in_flight == 1
        assert sum(len(target.heads) for target in targets) == len(paths)
        assert not any(crashes.is_suspect(i, boottime()) for i in suspects_of)


def test_suspect_waits_for_its_turn_until_its_deadline():
    # Guards against a suspect that waits for ever, and a false "unknown".
    with (
        crashing_targets(3) as targets,
        running_gateway(*[t.address for t in targets], timeout=1.0) as harness,
    ):
        harness.gateway.may_retry = lambda pool: False
        assert get(harness, DEADLY)[0] == 502
        wait_until_up(targets)
        guards = harness.gateway._target_client.suspects
        with guards.turn("desk"):
            status, headers, body = call(harness, "GET", DEADLY)
        assert (status, headers[OUTCOME_HEADER]) == (503, "not-run")
        assert crash_count(targets) == 1


def test_copies_of_a_request_count():
    # Guards against copies that wait for their turn or for a slot and are sent after
    # the request was blocked.
    with (
        crashing_targets(3, restart_s=0.2) as targets,
        running_gateway(*[t.address for t in targets], timeout=8.0) as harness,
    ):
        harness.gateway.may_retry = lambda pool: False
        assert get(harness, DEADLY)[0] == 502
        wait_until_up(targets)
        callers = [eventlet.spawn(get, harness, DEADLY) for _ in range(8)]
        replies = [caller.wait() for caller in callers]
        assert crash_count(targets) == 2
        assert sorted(status for status, _ in replies) == [502] + 7 * [503]


def test_copy_that_waits_for_a_slot_is_not_sent():
    # Guards against a queue full of copies that crash each target that starts again.
    with (
        crashing_targets(1, restart_s=0.2) as [target],
        running_gateway(target.address, concurrency=1, timeout=6.0) as harness,
    ):
        harness.gateway.may_retry = lambda pool: False
        with harness.gateway.dispatcher.assign(WorkRequest("desk", "")):
            callers = [eventlet.spawn(get, harness, DEADLY) for _ in range(6)]
            eventlet.sleep(0.3)
        replies = [caller.wait() for caller in callers]
        assert target.crash_count <= 2
        assert all(status in (502, 503) for status, _ in replies)
