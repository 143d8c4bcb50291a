"""Which engines the texts of jobs avoid, and when they leave the one they run on.

In pools whose targets tell how long work takes there, or were found to be uneven by
measurement, both follow from the estimate of each target's speed and from what a text
still lacks. In other pools, an engine counts as slow by its event latency alone.
"""

import math

from attrs import define, evolve, field

from ..routing import MoveBudget, expected_gain_s, longest_interval_s, may_move_again
from ..targets import Assignment, Dispatcher, WorkRequest
from ..telemetry.metrics import ITEM_MOVES, SPEED_ERROR_RATIO
from .engine_latency import EngineLatencyTracker

__all__ = ["TextMoves", "TextRun"]

# How long a text does not return to a target that it left.
RETURN_AFTER_S = 4.0


@define(eq=False)
class TextRun:
    """The moves of one text.

    Parameters
    ----------
    moves : int
        Moves away from slow targets so far.
    moved_at : float
        Boot time of the last one.
    """

    moves: int = 0
    moved_at: float = -math.inf
    _left_at: dict[str, float] = field(factory=dict)

    def left_targets(self, now: float) -> frozenset[str]:
        """Return the targets that the text left a short time ago."""
        return frozenset(
            target for target, at in self._left_at.items() if now - at < RETURN_AFTER_S
        )

    def record_move(self, target: str, now: float) -> None:
        """Record that the text leaves a target because it is slow."""
        self.moves, self.moved_at = self.moves + 1, now
        self._left_at[target] = now


@define(eq=False)
class TextMoves:
    """Decides which engines the texts of this daemon avoid and leave.

    Parameters
    ----------
    dispatcher : Dispatcher
        Knows the targets and their speeds.
    """

    dispatcher: Dispatcher
    _latencies: EngineLatencyTracker = field(factory=EngineLatencyTracker)
    _budgets: dict[str, MoveBudget] = field(factory=dict)

    def avoided_targets(
        self, pool: str, run: TextRun, expected_events: float, now: float
    ) -> frozenset[str]:
        """Return the targets that a text must not be assigned to now.

        Parameters
        ----------
        pool : str
            Pool that serves the text.
        run : TextRun
            Its moves so far.
        expected_events : float
            Expected number of events that it still lacks.
        now : float
            Boot time.
        """
        if not self._weighs_speeds(pool, now):
            return self._latencies.slow_engines(now)
        speeds = self.dispatcher.speeds
        usual_s = speeds.usual_interval_s(pool, now)
        if usual_s is None:
            return run.left_targets(now)
        # While others wait, the pool has no room to choose from.
        is_full = self.dispatcher.waiting_count(pool) > 0
        longest_s = longest_interval_s(1.0 if is_full else expected_events, usual_s)
        return run.left_targets(now) | speeds.slower_than(pool, longest_s, now)

    def relaxed(self, work: WorkRequest) -> WorkRequest:
        """Return a request without exclusions, if they leave it no target.

        The usual speed of a pool counts targets that a request may not use.
        """
        if not work.exclude:
            return work
        views = self.dispatcher.directory.views(work.pool)
        has_target = any(
            view.selectable
            and view.id not in work.exclude
            and work.accepts_versions_of(view)
            for view in views
        )
        return work if has_target else evolve(work, exclude=frozenset())

    def record_interval(
        self, assignment: Assignment, interval_s: float, is_pause: bool, now: float
    ) -> None:
        """Record the time between two events of a text.

        Parameters
        ----------
        assignment : Assignment
            Where the text runs.
        interval_s : float
            Seconds between the events.
        is_pause : bool
            Whether the engine changed its weights meanwhile.
        now : float
            Boot time.
        """
        self._latencies.record(assignment.id, interval_s, now)
        if not is_pause:
            speeds = self.dispatcher.speeds
            expected = speeds.estimate(assignment.id, now)
            if expected is not None:
                ratio = interval_s / expected.event_interval_s
                SPEED_ERROR_RATIO.observe({"pool": assignment.pool}, ratio)
            speeds.record_interval(assignment.id, interval_s, now)

    def should_leave(
        self,
        assignment: Assignment,
        work: WorkRequest,
        run: TextRun,
        remaining_events: float,
        now: float,
    ) -> bool:
        """Return whether a text leaves its engine because that is slow, and count it.

        Parameters
        ----------
        assignment : Assignment
            Where the text runs.
        work : WorkRequest
            The request that was assigned.
        run : TextRun
            The moves of the text so far.
        remaining_events : float
            Expected number of events that it still lacks.
        now : float
            Boot time.
        """
        if not self._weighs_speeds(assignment.pool, now):
            is_leaving = self._latencies.is_slow(
                assignment.id, now
            ) and self._others_go_on(assignment)
        else:
            is_leaving = self._is_worth_moving(
                assignment, work, run, remaining_events, now
            )
            if is_leaving:
                run.record_move(assignment.id, now)
        if is_leaving:
            ITEM_MOVES.inc({"pool": assignment.pool, "reason": "slow"})
        return is_leaving

    def must_leave(self, assignment: Assignment) -> bool:
        """Return whether a text leaves its engine because that is to stop."""
        is_leaving = self.dispatcher.directory.is_leaving(
            assignment.id
        ) and self._others_go_on(assignment)
        if is_leaving:
            ITEM_MOVES.inc({"pool": assignment.pool, "reason": "leaving"})
        return is_leaving

    def _weighs_speeds(self, pool: str, now: float) -> bool:
        """Whether the speeds of a pool's targets differ, so that they are weighed."""
        dispatcher = self.dispatcher
        return dispatcher.is_uneven(pool) or dispatcher.speeds.are_uneven(pool, now)

    def _others_go_on(self, assignment: Assignment) -> bool:
        """Whether another target can go on with a text."""
        return self.dispatcher.directory.serves_software(
            assignment.pool, assignment.software, excluded=assignment.id
        )

    def _is_worth_moving(
        self,
        assignment: Assignment,
        work: WorkRequest,
        run: TextRun,
        remaining_events: float,
        now: float,
    ) -> bool:
        pool, speeds = assignment.pool, self.dispatcher.speeds
        here = speeds.estimate(assignment.id, now)
        ranking = speeds.ranking(pool, now)
        if here is None or not ranking:
            return False
        if not may_move_again(run.moves, now - run.moved_at):
            return False
        # The fastest of many targets is taken for faster than it is.
        fastest_s = ranking[len(ranking) // 4][0]
        if here.event_interval_s <= fastest_s:
            return False
        there = self.dispatcher.best_alternative(
            # What it avoided when it began may be fast by now.
            evolve(work, software=assignment.software, exclude=frozenset()),
            run.left_targets(now) | {assignment.id},
        )
        if there is None:
            return False
        there = evolve(there, event_interval_s=max(there.event_interval_s, fastest_s))
        gain_s = expected_gain_s(remaining_events, here, there)
        budget = self._budgets.setdefault(pool, MoveBudget())
        return budget.try_consume(gain_s, len(ranking), now)
