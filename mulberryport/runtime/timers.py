"""The timer service that runs all periodic callbacks of a process.

Each subscription has its own green thread. A callback that is still running when its
next run is due skips that run, so that delayed runs do not accumulate.
"""

from collections.abc import Callable

import eventlet
from attrs import define as attrs_define
from attrs import field

from ..telemetry.events import define
from ..telemetry.logs import log
from .clock import boottime

__all__ = ["Subscription", "TimerService"]

TIMER_CALLBACK_FAILED = define(
    101,
    "timer_callback_failed",
    "error",
    "A timer callback raised an exception; it is run again.",
)


@attrs_define(eq=False)
class Subscription:
    """A periodic callback registered with a timer service."""

    name: str
    period_s: float
    callback: Callable[[], object]
    _active: bool = True

    @property
    def is_active(self) -> bool:
        """Whether the callback will be run again."""
        return self._active

    def cancel(self) -> None:
        """Stop further runs; a run in progress is completed."""
        self._active = False

    def run(self) -> None:
        """Run the callback periodically until the subscription is cancelled."""
        due = boottime() + self.period_s
        while True:
            eventlet.sleep(max(0.0, due - boottime()))
            if not self._active:
                return
            try:
                self.callback()
            except Exception as error:
                log(TIMER_CALLBACK_FAILED, timer=self.name, error=repr(error))
            due = max(due + self.period_s, boottime())


@attrs_define(eq=False)
class TimerService:
    """Runs the periodic callbacks of one process.

    Examples
    --------
    >>> service = TimerService()
    >>> runs = []
    >>> subscription = service.subscribe("example", 0.01, lambda: runs.append(1))
    >>> eventlet.sleep(0.05)
    >>> subscription.cancel()
    >>> len(runs) >= 1
    True
    """

    _subscriptions: list[Subscription] = field(factory=list)

    def subscribe(
        self, name: str, period_s: float, callback: Callable[[], object]
    ) -> Subscription:
        """Register a callback that is run periodically.

        Parameters
        ----------
        name : str
            Name of the timer in log entries.
        period_s : float
            Seconds from the start of one run to the start of the next.
        callback : callable
            Called without arguments. An exception is logged and does not cancel
            the subscription.
        """
        subscription = Subscription(name, period_s, callback)
        self._subscriptions = [s for s in self._subscriptions if s.is_active]
        self._subscriptions.append(subscription)
        eventlet.spawn_n(subscription.run)
        return subscription

    def stop(self) -> None:
        """Cancel all subscriptions."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions = []
