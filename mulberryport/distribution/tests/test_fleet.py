"""Tests of configuration and leases with daemons as separate processes."""

import time

import eventlet
import orjson
import pytest
import urllib3
from attrs import evolve

from ...outcomes import Done
from ...runtime.http import call_json
from ...standins.fleet import OPERATOR_TOKEN, Fleet, wait_until
from ...store import StoreClient
from ...tables import (
    Accepted,
    change_tables,
    issue_key,
    key_digest,
    new_change_id,
    parse_tables,
    read_snapshot,
    withdraw_key,
)

BOUND_S = 5.0
TABLES = """
[workspace roads]
[workspace hauliers]
[route filing]
path = /filing/
pool = desk
workspaces = roads, hauliers
[pool desk]
kind = plain-service
targets = desk1 {desk} rosario
"""


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet with a started platform; the test adds the daemons."""
    fleet = Fleet(tmp_path)
    try:
        fleet.start_platform()
        yield fleet
    finally:
        fleet.close()


def start(fleet, zones):
    """Start daemons, a plain service, tables and a key; return the key."""
    fleet.add_daemons(zones)
    desk = fleet.start_target("desk", "service")
    tables = parse_tables(TABLES.format(desk=desk), "tables.ini")
    fleet.start_daemons()
    change_tables(fleet.store, lambda _: tables, change_id=new_change_id())
    key, outcome = issue_key(fleet.store, "roads", change_id=new_change_id())
    fleet.wait_ready(outcome.value.revision)
    wait_until(
        lambda: all(request_status(daemon, key) == 200 for daemon in fleet.daemons),
        10,
        "the plain service answers through every daemon",
    )
    return key


def request_status(daemon, key):
    """Return the status of a request with a key; 0 if there was no response."""
    try:
        reply = urllib3.request(
            "GET",
            f"{daemon.url}/filing/x",
            headers={"Authorization": f"Bearer {key}"},
            timeout=5.0,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return 0
    return reply.status


def states(fleet):
    found = [fleet.query_operator(daemon, "/state") for daemon in fleet.daemons]
    return [state for state in found if state is not None]


def events(daemon, *names):
    """Return the log entries of a daemon with one of these event names."""
    lines = daemon.log_file.read_bytes().splitlines()
    entries = [orjson.loads(line) for line in lines]
    return [entry for entry in entries if entry["event"] in names]


def gained(daemon, duty):
    return [e for e in events(daemon, "duty_gained") if e["duty"] == duty]


def set_faults(fleet, **faults):
    call_json("POST", f"{fleet.platform_url}/faults", faults, timeout=2.0)


def edit_pool(tables, number):
    """Return tables with another queue length and an extra route added or removed."""
    desk = evolve(tables.pools["desk"], queue=number + 1)
    routes = dict(tables.routes)
    if routes.pop("extra", None) is None:
        extra = evolve(routes["filing"], name="extra", path=f"/extra{number}/")
        routes["extra"] = extra
    return evolve(tables, routes=routes, pools={**tables.pools, "desk": desk})


def test_all_daemons_adopt_the_edits_of_concurrent_operators(fleet):
    # Guards against revisions that are lost, late or reverted.
    start(fleet, ["rosario", "rosario", "rosario", "parana", "parana"])
    accepted, conflicts = {}, []

    def operate(name):
        for number in range(30):
            base = read_snapshot(fleet.store).value.revision
            outcome = change_tables(
                fleet.store,
                lambda tables, number=number: edit_pool(tables, number),
                change_id=f"{name}-{number}",
                base=base,
            )
            if isinstance(outcome.value, Accepted):
                accepted[outcome.value.revision] = time.monotonic()
            else:
                conflicts.append(outcome.value)
            eventlet.sleep(0.05)

    operators = [eventlet.spawn(operate, name) for name in ("ana", "ben")]
    first_seen, newest = {}, {}
    deadline = time.monotonic() + 20
    while time.monotonic() < deadline:
        for state in states(fleet):
            vm, revision = state["vm"], state["revision"]
            assert revision >= newest.get(vm, 0)
            for passed in range(newest.get(vm, 2) + 1, revision + 1):
                first_seen[vm, passed] = time.monotonic()
            newest[vm] = revision
        finished = all(operator.dead for operator in operators)
        if finished and set(newest.values()) == {max(accepted)}:
            break
        eventlet.sleep(0.02)
    last = read_snapshot(fleet.store).value.revision
    assert sorted(accepted) == list(range(3, last + 1))
    assert len(accepted) >= 30
    assert len(accepted) + len(conflicts) == 60
    delays = {seen: at - accepted[seen[1]] for seen, at in first_seen.items()}
    assert len(delays) == len(accepted) * len(fleet.daemons)
    assert max(delays.values()) <= BOUND_S
    for daemon in fleet.daemons:
        adopted = [e["revision"] for e in events(daemon, "revision_adopted")]
        assert adopted == sorted(set(adopted))
    check_call_rates(fleet)


def check_call_rates(fleet):
    """Check that only readers call the store, at most five times a second."""
    calls = {state["vm"]: state["configuration_calls"] for state in states(fleet)}
    began = time.monotonic()
    eventlet.sleep(2.0)
    made = [s["configuration_calls"] - calls[s["vm"]] for s in states(fleet)]
    rates = [count / (time.monotonic() - began) for count in made]
    assert max(rates) <= 5
    assert sorted(rate > 0 for rate in rates) == [False, True, True, True, True]


def test_service_continues_without_the_store(fleet):
    # Guards against an outage of the store that interrupts requests or prevents the
    # restart of a daemon.
    key = start(fleet, ["rosario", "rosario", "parana"])
    revision = read_snapshot(fleet.store).value.revision
    set_faults(fleet, down=True, paths=["/kv", "/keys", "/leases"])
    restarted = fleet.daemons[1]
    fleet.kill(restarted.vm)
    fleet.start_daemons()
    until = time.monotonic() + BOUND_S + 1
    while time.monotonic() < until:
        for daemon in (fleet.daemons[0], fleet.daemons[2]):
            assert request_status(daemon, key) == 200
        eventlet.sleep(0.05)
    fleet.wait_ready(revision, 5)
    assert request_status(restarted, key) == 200
    assert not any(state["store_readable"] for state in states(fleet))
    outcome = issue_key(fleet.store, "roads", change_id="lost")[1]
    assert not isinstance(outcome, Done)
    set_faults(fleet)
    withdrawn = withdraw_key(fleet.store, key_digest(key)[:12], change_id="w")
    assert isinstance(withdrawn.value, Accepted)
    for daemon in fleet.daemons:
        wait_until(
            lambda d=daemon: request_status(d, key) == 401,
            BOUND_S,
            "the key is refused",
        )


def test_slow_store_that_loses_replies(fleet):
    # Guards against withdrawn keys that remain accepted, and against interruptions,
    # while the store replies late or not at all.
    key = start(fleet, ["rosario", "parana", "santa-fe"])
    other_key, _ = issue_key(fleet.store, "hauliers", change_id="kept")
    wait_until(
        lambda: all(request_status(d, other_key) == 200 for d in fleet.daemons),
        BOUND_S,
        "the key is accepted",
    )
    long_timeout_client = StoreClient(fleet.platform_url, timeout=10.0)
    set_faults(fleet, delay=1.2, paths=["/kv/config/head"])
    withdrawing = eventlet.spawn(
        withdraw_key, long_timeout_client, key_digest(key)[:12], change_id="w"
    )
    while not withdrawing.dead:
        assert all(request_status(daemon, other_key) == 200 for daemon in fleet.daemons)
        eventlet.sleep(0.05)
    accepted_at = time.monotonic()
    assert isinstance(withdrawing.wait().value, Accepted)
    for daemon in fleet.daemons:
        remaining = accepted_at + BOUND_S - time.monotonic()
        wait_until(
            lambda d=daemon: request_status(d, key) == 401,
            remaining,
            "the key is refused",
        )
    set_faults(fleet, lose_answers=True, paths=["/kv/config"])
    assert not isinstance(issue_key(fleet.store, "roads", change_id="x")[1], Done)
    for _ in range(10):
        assert all(request_status(daemon, other_key) == 200 for daemon in fleet.daemons)
        eventlet.sleep(0.1)
    set_faults(fleet)
    last = change_tables(fleet.store, lambda tables: tables, change_id="last")
    fleet.wait_ready(last.value.revision, BOUND_S)


def test_daemon_without_any_revision_is_not_ready(tmp_path):
    # Guards against a daemon that receives requests before it has tables.
    fleet = Fleet(tmp_path)
    fleet.add_daemons(["rosario"])
    try:
        fleet.start_daemons()
        reply = urllib3.request(
            "GET",
            f"http://{fleet.daemons[0].operator_address}/readyz",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
            timeout=5.0,
            retries=False,
        )
        assert reply.status == 503
        assert "no configuration was received yet" in reply.json()["reasons"]
    finally:
        fleet.close()


def test_resumed_daemon_neither_uses_its_lease_nor_accepts_old_keys(fleet):
    # Guards against a process that continues after a pause with an expired lease and
    # with keys that were withdrawn in the meantime.
    key = start(fleet, ["rosario", "parana", "santa-fe"])
    duty = "config-cleanup"

    def holders():
        return [state["vm"] for state in states(fleet) if duty in state["duties"]]

    (holder,) = wait_until(holders, 10, "the duty is held")
    paused = next(daemon for daemon in fleet.daemons if daemon.vm == holder)
    others = [daemon for daemon in fleet.daemons if daemon.vm != holder]
    fleet.pause(holder)
    # Heartbeats that still report the old revision are buffered at the paused daemon.
    eventlet.sleep(2.0)
    withdraw_key(fleet.store, key_digest(key)[:12], change_id="w")
    successor = wait_until(
        lambda: [entry for daemon in others for entry in gained(daemon, duty)],
        14,
        "another daemon takes the duty",
    )[0]
    assert successor["fencing"] > max(e["fencing"] for e in gained(paused, duty))
    # With all other processes unreachable, the daemon can detect the pause only by its
    # own clock.
    set_faults(fleet, down=True)
    for daemon in others:
        fleet.pause(daemon.vm)
    fleet.resume(holder)
    for _ in range(20):
        assert request_status(paused, key) == 503
        assert duty not in fleet.query_operator(paused, "/state")["duties"]
        eventlet.sleep(0.05)
    for daemon in others:
        fleet.resume(daemon.vm)
    set_faults(fleet)
    wait_until(
        lambda: request_status(paused, key) == 401, BOUND_S, "the key is refused"
    )
    wait_until(lambda: holders() == [successor["vm"]], BOUND_S, "one holder is left")
