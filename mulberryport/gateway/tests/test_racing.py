"""Tests of competing attempts."""

import eventlet

from ..racing import race


def run(script, attempts=2, patience=0.05):
    """Race attempts that take a time and then return or raise a value."""
    started, discarded = [], []

    def attempt(tried, note):
        seconds, value = script[len(started)]
        started.append(tried)
        note(f"t{len(started)}")
        eventlet.sleep(seconds)
        if isinstance(value, Exception):
            raise value
        return value

    result = None
    try:
        result = race(
            attempt,
            lambda error: isinstance(error, ValueError),
            attempts=attempts,
            patience=patience,
            discard=discarded.append,
        )
    except Exception as error:
        result = error
    return result, started, discarded


def test_a_quick_answer_needs_one_attempt():
    assert run([(0.0, "a")]) == ("a", [frozenset()], [])


def test_a_slow_target_is_overtaken_by_another():
    result, started, _ = run([(5.0, "a"), (0.0, "b")])
    assert result == "b"
    assert started == [frozenset(), frozenset({"t1"})]


def test_a_failure_starts_the_next_attempt_at_once():
    result, started, _ = run([(0.0, ValueError()), (0.0, "b")], patience=5.0)
    assert result == "b" and len(started) == 2


def test_no_more_attempts_than_allowed():
    # Guards against more targets than the route allows.
    result, started, _ = run([(0.0, ValueError("1")), (0.0, ValueError("2"))])
    assert isinstance(result, ValueError) and len(started) == 2
    result, started, _ = run([(0.2, "a")], attempts=1)
    assert result == "a" and len(started) == 1


def test_an_error_that_may_not_be_repeated_ends_the_race():
    # With patience no second attempt starts for another reason.
    result, started, _ = run([(0.0, KeyError())], patience=5.0)
    assert isinstance(result, KeyError) and len(started) == 1


def test_a_failure_waits_for_the_attempt_that_still_runs():
    result, _, _ = run([(0.2, "a"), (0.0, ValueError())])
    assert result == "a"


def test_cancelling_the_race_cancels_its_attempts():
    # Guards against targets that work on after their caller has left.
    ended = []

    def attempt(tried, note):
        try:
            eventlet.sleep(5.0)
        finally:
            ended.append(1)

    thread = eventlet.spawn(
        race, attempt, lambda e: True, attempts=2, patience=0.01, discard=print
    )
    eventlet.sleep(0.1)
    thread.kill()
    eventlet.sleep(0)
    assert len(ended) == 2
