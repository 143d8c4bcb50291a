"""Notification of green threads that wait for a change."""

from attrs import define, field
from eventlet.event import Event

__all__ = ["Notifier"]


@define(eq=False)
class Notifier:
    """Resumes all its waiters on each notification.

    Examples
    --------
    >>> import eventlet
    >>> notifier = Notifier()
    >>> waiter = eventlet.spawn(notifier.wait, 5.0)
    >>> eventlet.sleep(0)
    >>> notifier.notify_all()
    >>> waiter.wait()
    True
    """

    _event: Event = field(factory=Event)

    def notify_all(self) -> None:
        """Resume the green threads that wait at this time."""
        event, self._event = self._event, Event()
        event.send(True)

    def wait(self, timeout: float) -> bool:
        """Wait for the next notification; return False after ``timeout`` seconds."""
        return bool(self._event.wait(timeout))
