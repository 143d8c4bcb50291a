"""Tests of hedged execution."""

import eventlet

from ..hedging import run_hedged


def run_scripted(script, max_attempts=2, hedge_delay_s=0.05):
    """Run attempts that each take some seconds and then return or raise a value."""
    started, discarded = [], []

    def attempt(excluded, on_assigned):
        seconds, value = script[len(started)]
        started.append(excluded)
        on_assigned(f"t{len(started)}")
        eventlet.sleep(seconds)
        if isinstance(value, Exception):
            raise value
        return value

    result = None
    try:
        result = run_hedged(
            attempt,
            lambda error: isinstance(error, ValueError),
            max_attempts=max_attempts,
            hedge_delay_s=hedge_delay_s,
            discard=discarded.append,
        )
    except Exception as error:
        result = error
    return result, started, discarded


def test_quick_result_needs_one_attempt():
    assert run_scripted([(0.0, "a")]) == ("a", [frozenset()], [])


def test_slow_attempt_is_hedged_at_another_target():
    result, started, _ = run_scripted([(5.0, "a"), (0.0, "b")])
    assert result == "b"
    assert started == [frozenset(), frozenset({"t1"})]


def test_failure_starts_the_next_attempt_immediately():
    result, started, _ = run_scripted(
        [(0.0, ValueError()), (0.0, "b")], hedge_delay_s=5.0
    )
    assert result == "b" and len(started) == 2


def test_attempts_are_limited():
    # Guards against more attempts than the route allows.
    result, started, _ = run_scripted([(0.0, ValueError("1")), (0.0, ValueError("2"))])
    assert isinstance(result, ValueError) and len(started) == 2
    result, started, _ = run_scripted([(0.2, "a")], max_attempts=1)
    assert result == "a" and len(started) == 1


def test_error_that_is_not_retryable_ends_the_call():
    # The long delay rules out that a second attempt starts as a hedge.
    result, started, _ = run_scripted([(0.0, KeyError())], hedge_delay_s=5.0)
    assert isinstance(result, KeyError) and len(started) == 1


def test_failure_waits_for_the_attempt_that_still_runs():
    result, _, _ = run_scripted([(0.2, "a"), (0.0, ValueError())])
    assert result == "a"


def test_cancelling_the_call_cancels_its_attempts():
    # Guards against targets that keep working after the caller has disconnected.
    ended = []

    def attempt(excluded, on_assigned):
        try:
            eventlet.sleep(5.0)
        finally:
            ended.append(1)

    thread = eventlet.spawn(
        run_hedged,
        attempt,
        lambda e: True,
        max_attempts=2,
        hedge_delay_s=0.01,
        discard=print,
    )
    eventlet.sleep(0.1)
    thread.kill()
    eventlet.sleep(0)
    assert len(ended) == 2
