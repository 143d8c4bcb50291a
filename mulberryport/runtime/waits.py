"""Waits of a green thread that others can end, and loops that must not end.

An exception that is thrown into another green thread arrives one pass of the hub later.
By then that green thread may have finished its wait and be anywhere else, where nothing
expects the exception. A ``Wait`` ends a wait and not a green thread: once the wait is
over, ending it has no effect.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import eventlet
import eventlet.hubs
import greenlet
from attrs import define, field

from ..telemetry import define as define_event
from ..telemetry import log

__all__ = ["Wait", "interruptible_wait", "supervise"]

LOOP_RESTARTED = define_event(
    104,
    "loop_restarted",
    "error",
    "A loop that runs as long as the process ended with an exception; it starts again.",
)

LOOP_RESTART_DELAY_S = 0.25


@define(eq=False)
class Wait:
    """A wait of one green thread."""

    _greenlet: Any = field(factory=eventlet.getcurrent)
    _is_over: bool = False

    @property
    def is_over(self) -> bool:
        """Whether the green thread has left the wait."""
        return self._is_over

    @property
    def is_own(self) -> bool:
        """Whether the current green thread waits."""
        return self._greenlet is eventlet.getcurrent()

    def end(self, error: BaseException) -> None:
        """Raise an exception in the wait, unless it is over by then.

        Parameters
        ----------
        error : BaseException
            The exception. If several are raised, the first one counts.
        """
        eventlet.hubs.get_hub().schedule_call_global(0, self._throw, error)

    def finish(self) -> None:
        """Mark the wait as over."""
        self._is_over = True

    def _throw(self, error: BaseException) -> None:
        # The hub runs this, so that the wait cannot be left meanwhile.
        if not self._is_over and not self._greenlet.dead:
            self._is_over = True
            self._greenlet.throw(error)


@contextmanager
def interruptible_wait() -> Iterator[Wait]:
    """Let other green threads end what the current one waits for in this context.

    Examples
    --------
    >>> with interruptible_wait() as wait:
    ...     wait.is_over
    False
    >>> wait.end(TimeoutError())
    >>> eventlet.sleep(0.01)
    """
    wait = Wait()
    try:
        yield wait
    finally:
        wait.finish()


def supervise(name: str, loop: Callable[[], object]) -> Any:
    """Run a loop in a new green thread, and start it again if it raises an exception.

    It ends when the loop returns, or when the green thread is killed.

    Parameters
    ----------
    name : str
        Name of the loop in log entries.
    loop : callable
        Runs until it is to stop.

    Returns
    -------
    GreenThread
    """
    return eventlet.spawn(_run_supervised, name, loop)


def _run_supervised(name: str, loop: Callable[[], object]) -> None:
    is_running = True
    while is_running:
        try:
            loop()
            is_running = False
        except (greenlet.GreenletExit, KeyboardInterrupt, SystemExit):
            raise
        except BaseException as error:
            log(LOOP_RESTARTED, loop=name, error=repr(error))
            eventlet.sleep(LOOP_RESTART_DELAY_S)
