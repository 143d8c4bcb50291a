"""Guards against moves that cost more than they save, and against herds of them."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from ...steps.lengths import expected_remaining_events
from ..moving import (
    MIN_GAIN_S,
    MIN_STAY_S,
    RESTART_COST_S,
    MoveBudget,
    expected_gain_s,
    longest_interval_s,
    may_move_again,
)
from ..speeds import SpeedEstimate

TOKENS_PER_EVENT = 75


def _duration_s(length, hint, here_s, there_s, generator, may_move) -> float:
    """Return the time of a text that begins at a target and may move once.

    Speeds are known with an error of a fifth, another one with each event.
    """
    passed_s = 0.0
    for generated in range(length):
        here, there = (
            SpeedEstimate(s * generator.lognormvariate(0.0, 0.2), 0.2 * s)
            for s in (here_s, there_s)
        )
        rest = expected_remaining_events(hint, TOKENS_PER_EVENT, generated)
        if generated and may_move and expected_gain_s(rest, here, there) > MIN_GAIN_S:
            return passed_s + RESTART_COST_S + there_s + (length - generated) * there_s
        passed_s += here_s
    return passed_s


def test_moving_by_wrong_hints_is_no_worse_than_staying():
    # Guards against a rule that is right only while hints are.
    generator = random.Random(7)
    for deviation in (0.0, 0.5, 1.0, 1.5):
        # At a target that is as fast as the other, each move is an error.
        for slowness, least_saving in ((3.9, 0.5), (1.3, 0.0), (1.0, -0.02)):
            stayed = moved = 0.0
            for _ in range(400):
                length = 1 + int(generator.expovariate(1 / 20))
                hint = length * TOKENS_PER_EVENT
                hint = int(hint * generator.lognormvariate(0.0, deviation))
                here_s, there_s = 0.05 * slowness, 0.05
                texts = (length, hint, here_s, there_s, generator)
                stayed += _duration_s(*texts, may_move=False)
                moved += _duration_s(*texts, may_move=True)
            assert moved <= stayed * (1.0 - least_saving), (deviation, slowness)


def test_text_without_a_hint_leaves_a_slow_target():
    # Guards against texts without hints that are taken for nearly done.
    slow, fast = SpeedEstimate(0.2, 0.02), SpeedEstimate(0.05, 0.01)
    assert expected_gain_s(expected_remaining_events(0, 75, 3), slow, fast) > 0.5


def test_moves_of_a_slow_wave_are_bounded_and_the_longest_rests_go_first():
    # Guards against a herd that makes the fast targets slow.
    budget = MoveBudget()
    first = [budget.try_consume(4.0, targets=48, now=0.0) for _ in range(100)]
    assert sum(first) == 12
    later = [budget.try_consume(4.0, 48, 0.01 * n) for n in range(1, 101)]
    assert sum(later) <= 5
    assert not budget.try_consume(0.3, targets=48, now=1.2)
    assert budget.try_consume(0.3, targets=48, now=30.0)


def test_text_moves_a_few_times_at_most():
    # Guards against a text that goes from target to target for ever.
    assert may_move_again(0, math.inf) and may_move_again(3, MIN_STAY_S)
    assert not may_move_again(1, MIN_STAY_S / 2)
    assert not may_move_again(4, math.inf)


def test_long_texts_avoid_more_targets_than_short_ones():
    # Guards against long texts at slow targets, and short ones that leave them idle.
    assert longest_interval_s(80.0, 0.05) < 0.05 * 1.3 < longest_interval_s(8.0, 0.05)
    assert longest_interval_s(1.0, 0.05) >= 0.05 * 2


numbers = st.floats(allow_nan=True, allow_infinity=True)
positive = st.floats(1e-4, 60.0)
spreads = st.floats(0.0, 60.0)


@given(st.floats(1.0, 1e6), positive, spreads, positive, spreads, numbers, numbers)
def test_gain_and_budget_stand_any_number(rest, here, a, there, b, gain_s, now):
    # Guards against a number that lets all texts move, or none ever again.
    gain = expected_gain_s(rest, SpeedEstimate(here, a), SpeedEstimate(there, b))
    assert not math.isnan(gain)
    assert gain <= rest * here
    budget = MoveBudget()
    assert sum(budget.try_consume(gain_s, 8, 0.0) for _ in range(9)) <= 2
