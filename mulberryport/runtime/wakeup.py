"""Waking of a coroutine before its timeout."""

import asyncio

from attrs import define

__all__ = ["Wakeup"]


@define(eq=False)
class Wakeup:
    """A flag for which one coroutine waits; green threads and coroutines may set it.

    A wait creates a future and a timer, but no task, unlike a wait for an event of the
    event loop with a timeout.

    Examples
    --------
    >>> from mulberryport.runtime import run_coroutine
    >>> wakeup = Wakeup()
    >>> run_coroutine(wakeup.wait(0.01), None)
    False
    >>> wakeup.set()
    >>> run_coroutine(wakeup.wait(60.0), None)
    True
    """

    _is_set: bool = False
    _waiter: asyncio.Future[None] | None = None

    def set(self) -> None:
        """Set the flag and resume the waiting coroutine."""
        self._is_set = True
        self._resume()

    def clear(self) -> None:
        """Clear the flag."""
        self._is_set = False

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait until the flag is set; return False at the timeout.

        Parameters
        ----------
        timeout_s : float or None
            Seconds to wait; None for no limit.
        """
        if self._is_set:
            return True
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, self._resume)
        try:
            await self._waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()
        return self._is_set

    def _resume(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
