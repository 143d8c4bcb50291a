"""Hedged execution: concurrent max_attempts of which the first result is used.

Another attempt starts when one fails, or when the first has no result after a delay.
"""

from collections.abc import Callable
from queue import Empty
from typing import Any, TypeVar

import eventlet
import eventlet.queue
from attrs import define, field

__all__ = ["run_hedged"]

T = TypeVar("T")
# Called with the ids of the targets already tried and with a callback that takes the
# id of the target that the attempt was assigned to.
Attempt = Callable[[frozenset[str], Callable[[str], None]], T]


@define(eq=False)
class AttemptThread:
    """The green thread of one attempt."""

    target: str = ""
    thread: Any = None


@define(eq=False)
class HedgedCall:
    """A call that is made by concurrent attempts."""

    attempt: Attempt[Any]
    results: Any = field(factory=eventlet.queue.LightQueue)
    running_attempts: list[AttemptThread] = field(factory=list)
    tried_targets: set[str] = field(factory=set)
    started_count: int = 0

    def start(self) -> None:
        """Start another attempt, at a target that has not been tried."""
        attempt_thread = AttemptThread()
        self.started_count += 1
        self.running_attempts.append(attempt_thread)
        attempt_thread.thread = eventlet.spawn(
            self._run_attempt, attempt_thread, frozenset(self.tried_targets)
        )

    def stop(self, discard: Callable[[Any], None]) -> None:
        """Cancel running attempts and discard results that were not used."""
        for attempt_thread in self.running_attempts:
            attempt_thread.thread.kill()
        while not self.results.empty():
            _, value, error = self.results.get()
            if error is None:
                discard(value)

    def _run_attempt(
        self, attempt_thread: AttemptThread, excluded: frozenset[str]
    ) -> None:
        try:
            self.results.put(
                (attempt_thread, self.attempt(excluded, self.tried_targets.add), None)
            )
        except Exception as error:
            self.results.put((attempt_thread, None, error))


def run_hedged(
    attempt: Attempt[T],
    may_retry: Callable[[Exception], bool],
    *,
    max_attempts: int,
    hedge_delay_s: float,
    discard: Callable[[T], None],
    may_run_beside: Callable[[], bool] = lambda: True,
) -> T:
    """Run attempts until one succeeds, and return the first result.

    Parameters
    ----------
    attempt : callable
        Makes one attempt; called with the ids of the targets already tried and with a
        callback that takes the id of the target that it was assigned to.
    may_retry : callable
        Returns whether another attempt may follow one that failed with an error.
    max_attempts : int
        Limit of attempts, including the first.
    hedge_delay_s : float
        Seconds without a result after which a second attempt starts concurrently.
    discard : callable
        Called with each result that arrived after the one that is returned.
    may_run_beside : callable
        Returns whether an attempt may start while another one runs.

    Raises
    ------
    Exception
        The error of the last attempt, if none succeeded.

    Examples
    --------
    >>> run_hedged(lambda excluded, on_assigned: "response", lambda error: False,
    ...            max_attempts=2, hedge_delay_s=1.0, discard=print)
    'response'
    """
    hedged_call = HedgedCall(attempt)
    hedged_call.start()
    try:
        while True:
            may_hedge = hedged_call.started_count == 1 and max_attempts > 1
            try:
                attempt_thread, value, error = hedged_call.results.get(
                    timeout=hedge_delay_s if may_hedge else None
                )
            except Empty:
                if may_run_beside():
                    hedged_call.start()
                continue
            hedged_call.running_attempts.remove(attempt_thread)
            if error is None:
                return value
            may_start = hedged_call.started_count < max_attempts and (
                not hedged_call.running_attempts or may_run_beside()
            )
            if may_start and may_retry(error):
                hedged_call.start()
            elif not hedged_call.running_attempts:
                raise error
    finally:
        hedged_call.stop(discard)
