"""Tests of waits that other green threads end, and of loops that must not end."""

import eventlet
import pytest

from ...telemetry import recent_entries
from ..waits import interruptible_wait, supervise


class EndedError(BaseException):
    """Ends a wait."""


def test_a_wait_is_ended_by_an_exception():
    waits = []

    def run():
        with interruptible_wait() as wait:
            waits.append(wait)
            eventlet.sleep(30.0)

    thread = eventlet.spawn(run)
    eventlet.sleep(0)
    waits[0].end(EndedError())
    with eventlet.Timeout(1.0), pytest.raises(EndedError):
        thread.wait()
    assert waits[0].is_over


@pytest.mark.parametrize("ends", [1, 2])
def test_an_exception_that_comes_after_the_wait_has_no_effect(ends):
    # Guards against an exception that reaches a green thread in what it does next,
    # where nothing handles it: a mirror ended for good.
    passed = []

    def run():
        try:
            with interruptible_wait() as wait:
                passed.append(wait)
                eventlet.sleep(30.0)
        except EndedError:
            passed.append("ended")
        eventlet.sleep(0.05)
        passed.append("went on")

    thread = eventlet.spawn(run)
    eventlet.sleep(0)
    for _ in range(ends):
        # Both fall into the same pass of the hub.
        passed[0].end(EndedError())
    thread.wait()
    passed[0].end(EndedError())
    eventlet.sleep(0.01)
    assert passed[1:] == ["ended", "went on"]


@pytest.mark.parametrize("error", [ValueError("x"), EndedError("x")])
def test_a_loop_that_fails_is_started_again(error):
    # Guards against a loop of the process that ends while the process goes on.
    runs = []

    def loop():
        runs.append(1)
        if len(runs) < 2:
            raise error

    with eventlet.Timeout(5.0):
        supervise("example", loop).wait()
    assert len(runs) == 2
    entries = [e for e in recent_entries() if e["event"] == "loop_restarted"]
    assert entries[-1]["loop"] == "example"


def test_a_loop_that_is_killed_is_not_started_again():
    runs = []

    def loop():
        runs.append(1)
        eventlet.sleep(30.0)

    thread = supervise("example", loop)
    eventlet.sleep(0)
    thread.kill()
    eventlet.sleep(0.3)
    assert len(runs) == 1 and thread.dead
