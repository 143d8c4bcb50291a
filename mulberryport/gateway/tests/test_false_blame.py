"""Tests of sound requests beside those that crash targets."""

import itertools
from collections import Counter

import eventlet
from attrs import define, field

from ...quarantine import request_identity
from ...runtime.clock import boottime
from .builders import call, running_gateway, wait_until
from .crashing import crashing_targets, renew_ids

PERIOD_S = 4.0
CALLER_TIMEOUT_S = 3.0
REFUSED_AS_BLOCKED = b"crashed several targets"


@define
class Tally:
    """Outcomes of sound requests.

    ``wrongly_refused`` counts refusals of a sound request as one that crashes targets,
    by path.
    """

    served: Counter = field(factory=Counter)
    wrongly_refused: Counter = field(factory=Counter)
    attempts: int = 0
    abandoned: int = 0


def drive(harness, paths, tally, until):
    """Send sound requests one after another, each until it is served, as callers do."""
    for path in paths:
        deadline = boottime() + CALLER_TIMEOUT_S
        while True:
            status, _, body = call(harness, "GET", path)
            tally.attempts += 1
            if status == 200:
                tally.served[path] += 1
                break
            tally.wrongly_refused[path] += REFUSED_AS_BLOCKED in body
            if boottime() > deadline:
                tally.abandoned += 1
                break
            eventlet.sleep(0.05)
        if boottime() > until:
            return


def distinct_paths(number):
    return (f"/shared/sound{number}-{count}" for count in itertools.count())


def is_blocked(harness, path):
    identity = request_identity("roads", "shared", "GET", path, b"")
    return harness.gateway.crashes.is_blocked(identity, boottime())


def report(record_property, tally):
    """Record the counts of a run in the report of the tests."""
    record_property("attempts", tally.attempts)
    record_property("served", sum(tally.served.values()))
    record_property("wrongly_refused", sum(tally.wrongly_refused.values()))


def test_sound_requests_are_not_blocked_by_repeated_crashes(record_property):
    # Guards against sound requests, distinct ones and one that all callers send all the
    # time, that are refused for good because targets end again and again.
    tally, until = Tally(), boottime() + PERIOD_S
    with (
        crashing_targets(3, service_time_s=0.05, restart_s=0.3) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        renew_ids(harness, targets)
        streams = [distinct_paths(number) for number in range(6)]
        streams += [itertools.repeat("/shared/same") for _ in range(6)]
        callers = [
            eventlet.spawn(drive, harness, paths, tally, until) for paths in streams
        ]
        for target in itertools.cycle(targets):
            eventlet.sleep(0.35)
            if boottime() > until:
                break
            target.crash()
        assert wait_until(lambda: all(caller.dead for caller in callers), 10)
        for caller in callers:
            caller.wait()
        crash_count = sum(target.crash_count for target in targets)
        assert wait_until(lambda: all(target.is_up for target in targets), 5)
        blocked = [path for path in tally.served if is_blocked(harness, path)]
    record_property("crashes", crash_count)
    report(record_property, tally)
    assert crash_count >= 8
    assert not blocked and not tally.abandoned
    assert not sum(tally.wrongly_refused.values())


def test_companions_of_a_crashing_request_are_served(record_property):
    # Guards against a request that ends targets over and over, and against sound
    # requests that are refused because they ran beside it.
    tally, until = Tally(), boottime() + PERIOD_S
    with (
        crashing_targets(3, service_time_s=0.05, restart_s=0.5) as targets,
        running_gateway(*[target.address for target in targets]) as harness,
    ):
        renew_ids(harness, targets)
        streams = [distinct_paths(number) for number in range(6)]
        streams += [itertools.repeat("/shared/same") for _ in range(3)]
        callers = [
            eventlet.spawn(drive, harness, paths, tally, until) for paths in streams
        ]

        def send_deadly():
            while boottime() < until:
                call(harness, "GET", "/shared/deadly")
                eventlet.sleep(0.1)

        senders = [eventlet.spawn(send_deadly) for _ in range(2)]
        for thread in [*senders, *callers]:
            thread.wait()
        crash_count = sum(target.crash_count for target in targets)
        assert is_blocked(harness, "/shared/deadly")
        blocked = [path for path in tally.served if is_blocked(harness, path)]
    report(record_property, tally)
    assert crash_count <= 3
    assert not blocked and not tally.abandoned
    assert not sum(tally.wrongly_refused.values())
