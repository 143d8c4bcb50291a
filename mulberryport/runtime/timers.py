"""The timer service that all periodic work subscribes to.

Each turn of a subscription runs in a green thread of its own. A callback that
is still running when its next turn comes skips that turn, so that slow work
never piles up.
"""

from collections.abc import Callable

import eventlet
from attrs import define as attrs_define
from attrs import field

from ..telemetry.events import define
from ..telemetry.logs import log
from .clock import boottime

__all__ = ["Subscription", "TimerService"]

CALLBACK_FAILED = define(
    101, "timer_callback_failed", "error", "A timer callback raised; it runs again."
)


@attrs_define(eq=False)
class Subscription:
    """A periodic callback registered with a timer service."""

    name: str
    period: float
    callback: Callable[[], object]
    _active: bool = True

    @property
    def active(self) -> bool:
        """Whether further turns will run."""
        return self._active

    def cancel(self) -> None:
        """Run no further turns; a turn that is running finishes."""
        self._active = False

    def run(self) -> None:
        """Run turns until the subscription is cancelled."""
        due = boottime() + self.period
        while True:
            eventlet.sleep(max(0.0, due - boottime()))
            if not self._active:
                return
            try:
                self.callback()
            except Exception as error:
                log(CALLBACK_FAILED, timer=self.name, error=repr(error))
            due = max(due + self.period, boottime())


@attrs_define(eq=False)
class TimerService:
    """Runs the periodic work of one process.

    Examples
    --------
    >>> service = TimerService()
    >>> turns = []
    >>> subscription = service.subscribe("example", 0.01, lambda: turns.append(1))
    >>> eventlet.sleep(0.05)
    >>> subscription.cancel()
    >>> len(turns) >= 1
    True
    """

    _subscriptions: list[Subscription] = field(factory=list)

    def subscribe(
        self, name: str, period: float, callback: Callable[[], object]
    ) -> Subscription:
        """Call a function periodically.

        Parameters
        ----------
        name : str
            Name for logs.
        period : float
            Seconds from the start of one turn to the start of the next.
        callback : callable
            Called without arguments. An exception is logged and does not end
            the subscription.
        """
        subscription = Subscription(name, period, callback)
        self._subscriptions = [s for s in self._subscriptions if s.active]
        self._subscriptions.append(subscription)
        eventlet.spawn_n(subscription.run)
        return subscription

    def stop(self) -> None:
        """Cancel all subscriptions."""
        for subscription in self._subscriptions:
            subscription.cancel()
        self._subscriptions = []
