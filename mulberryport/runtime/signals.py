"""A signal that wakes all green threads that wait for it."""

from attrs import define, field
from eventlet.event import Event

__all__ = ["Signal"]


@define(eq=False)
class Signal:
    """Wakes its waiters each time it is sent.

    Examples
    --------
    >>> import eventlet
    >>> signal = Signal()
    >>> waiter = eventlet.spawn(signal.wait, 5.0)
    >>> eventlet.sleep(0)
    >>> signal.send()
    >>> waiter.wait()
    True
    """

    _event: Event = field(factory=Event)

    def send(self) -> None:
        """Wake all current waiters."""
        event, self._event = self._event, Event()
        event.send(True)

    def wait(self, timeout: float) -> bool:
        """Wait until the signal is sent; false after ``timeout`` seconds."""
        return bool(self._event.wait(timeout))
