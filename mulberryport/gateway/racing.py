"""Attempts that compete for the first result.

Further attempts start when one fails, or when the first has no result for a while.
"""

from collections.abc import Callable
from queue import Empty
from typing import Any, TypeVar

import eventlet
import eventlet.queue
from attrs import define, field

__all__ = ["race"]

T = TypeVar("T")
# Gets the targets that were tried, and a function to call with the chosen one.
Attempt = Callable[[frozenset[str], Callable[[str], None]], T]


@define(eq=False)
class Runner:
    """An attempt that runs in a green thread."""

    target: str = ""
    thread: Any = None


@define(eq=False)
class Race:
    """The attempts of one request."""

    attempt: Attempt[Any]
    results: Any = field(factory=eventlet.queue.LightQueue)
    running: list[Runner] = field(factory=list)
    tried: set[str] = field(factory=set)
    started: int = 0

    def start(self) -> None:
        """Start a further attempt, at a target that was not tried."""
        runner = Runner()
        self.started += 1
        self.running.append(runner)
        runner.thread = eventlet.spawn(self._run, runner, frozenset(self.tried))

    def stop(self, discard: Callable[[Any], None]) -> None:
        """Cancel the attempts that run and discard results that came too late."""
        for runner in self.running:
            runner.thread.kill()
        while not self.results.empty():
            _, value, error = self.results.get()
            if error is None:
                discard(value)

    def _run(self, runner: Runner, excluded: frozenset[str]) -> None:
        try:
            self.results.put((runner, self.attempt(excluded, self.tried.add), None))
        except Exception as error:
            self.results.put((runner, None, error))


def race(
    attempt: Attempt[T],
    may_repeat: Callable[[Exception], bool],
    *,
    attempts: int,
    patience: float,
    discard: Callable[[T], None],
) -> T:
    """Return the first result of several attempts.

    Parameters
    ----------
    attempt : callable
        Makes one attempt; called with the targets that were tried and with a
        function that takes the target it chose.
    may_repeat : callable
        Whether a further attempt may follow one that failed with an error.
    attempts : int
        Attempts at most.
    patience : float
        Seconds without a result after which a second attempt starts beside the first.
    discard : callable
        Called with results that came too late.

    Raises
    ------
    Exception
        What the last attempt raised, if none succeeded.

    Examples
    --------
    >>> race(lambda tried, note: "answer", lambda error: False,
    ...      attempts=2, patience=1.0, discard=print)
    'answer'
    """
    contest = Race(attempt)
    contest.start()
    try:
        while True:
            hedging = contest.started == 1 and attempts > 1
            try:
                runner, value, error = contest.results.get(
                    timeout=patience if hedging else None
                )
            except Empty:
                contest.start()
                continue
            contest.running.remove(runner)
            if error is None:
                return value
            if contest.started < attempts and may_repeat(error):
                contest.start()
            elif not contest.running:
                raise error
    finally:
        contest.stop(discard)
