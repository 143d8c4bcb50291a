"""Decision whether a running text moves to another target, and which ones it avoids.

A text that moves goes on where it stopped: the new target reads the prompt and the text
so far, and makes the event again that was begun.
"""

import math

from attrs import define

from .speeds import SpeedEstimate

__all__ = ["MoveBudget", "expected_gain_s", "longest_interval_s", "may_move_again"]

# What a move costs beside the event that is made again: a new start, and reading what
# is there already.
RESTART_COST_S = 0.1
# A text moves if it gains this much in the expectation and while the budget is full.
# Less is not felt in a step of training, which takes seconds.
MIN_GAIN_S = 0.25
# A text leaves a target only if it is slower than the other one by this factor, so that
# texts do not go to and fro between targets that are nearly equal.
MIN_SPEED_RATIO = 1.2
# Standard deviations by which a target may be faster than it is taken for. A text has
# a chance to move with each event, so that an error of one deviation is common.
GAIN_MARGIN_DEVIATIONS = 2.0
MAX_MOVES_PER_TEXT = 4
MIN_STAY_S = 0.5
# Moves per second and target of the pool, and moves at once per target of the pool.
MOVES_PER_S_AND_TARGET = 0.1
MOVES_AT_ONCE_PER_TARGET = 0.25
MIN_MOVES_AT_ONCE = 2.0
# Texts avoid targets at which they are expected to take longer by this time than at
# a usual target.
MAX_DELAY_S = 0.25
# A target that is not slower than the usual by this factor is never avoided.
MIN_AVOIDED_RATIO = 1.15


def expected_gain_s(
    remaining_events: float, here: SpeedEstimate, there: SpeedEstimate
) -> float:
    """Return the time that a move is expected to save, less the cost and a margin.

    Parameters
    ----------
    remaining_events : float
        Expected number of events that the text still lacks.
    here, there : SpeedEstimate
        Speeds of the target at which the text runs and of the best other one.

    Returns
    -------
    float
        Seconds; negative if the move is expected to cost more than it saves, and
        negatively infinite if the targets are nearly equal.

    Examples
    --------
    >>> slow, fast = SpeedEstimate(0.2, 0.01), SpeedEstimate(0.05, 0.01)
    >>> round(expected_gain_s(20.0, slow, fast), 2)
    1.5
    >>> expected_gain_s(1.0, slow, fast) < 0.0
    True
    """
    if not here.event_interval_s > MIN_SPEED_RATIO * there.event_interval_s:
        return -math.inf
    deviation = math.hypot(
        here.spread_s / here.event_interval_s, there.spread_s / there.event_interval_s
    )
    margin = math.exp(-GAIN_MARGIN_DEVIATIONS * deviation)
    saved_s = remaining_events * (
        margin * here.event_interval_s - there.event_interval_s
    )
    return saved_s - RESTART_COST_S - there.event_interval_s


def may_move_again(moves: int, since_last_move_s: float) -> bool:
    """Return whether a text that moved before may move once more.

    Parameters
    ----------
    moves : int
        Moves so far.
    since_last_move_s : float
        Seconds since the last one.
    """
    return moves < MAX_MOVES_PER_TEXT and since_last_move_s >= MIN_STAY_S


def longest_interval_s(expected_events: float, usual_interval_s: float) -> float:
    """Return the event interval above which a text avoids a target, in seconds.

    Parameters
    ----------
    expected_events : float
        Expected number of events that the text still lacks.
    usual_interval_s : float
        Interval at a usual target of the pool.

    Examples
    --------
    >>> longest_interval_s(50.0, 0.05) < 0.06 < longest_interval_s(10.0, 0.05)
    True
    """
    allowed_s = MAX_DELAY_S / max(1.0, expected_events)
    return max(MIN_AVOIDED_RATIO * usual_interval_s, usual_interval_s + allowed_s)


@define(eq=False)
class MoveBudget:
    """Moves that texts may make in a pool now.

    The fewer are left, the more a text must gain to use one, so that the texts with the
    longest rest leave a group of targets that turned slow first, and the others do not
    crowd those that are fast.

    Examples
    --------
    >>> budget = MoveBudget()
    >>> [budget.try_consume(1.0, targets=8, now=0.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_consume(1.0, targets=8, now=3.0)
    True
    """

    _available: float = math.inf
    _updated_at: float = 0.0

    def try_consume(self, gain_s: float, targets: int, now: float) -> bool:
        """Use one move for a text; return whether it may move.

        Parameters
        ----------
        gain_s : float
            Time in seconds that the move is expected to save.
        targets : int
            Number of targets of the pool.
        now : float
            Boot time.
        """
        most = max(MIN_MOVES_AT_ONCE, MOVES_AT_ONCE_PER_TARGET * targets)
        passed_s = max(0.0, now - self._updated_at)
        rate = MOVES_PER_S_AND_TARGET * targets
        self._available = min(most, self._available + rate * passed_s)
        self._updated_at = now
        if self._available < 1.0 or not gain_s >= MIN_GAIN_S * most / self._available:
            return False
        self._available -= 1.0
        return True
