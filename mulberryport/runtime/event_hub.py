"""Hub of eventlet on asyncio that runs each turn as one callback of the event loop.

The hub that eventlet ships waits between turns with ``asyncio.wait_for``, which creates
a task, a future and a timer for every wake-up. A daemon at rest wakes up dozens of
times a second, so that these waits were a large part of its processor time.

Source: the public interface of ``eventlet.hubs.asyncio.Hub`` and of
``asyncio.AbstractEventLoop``.
"""

import asyncio
import time
from typing import Any

import eventlet.hubs.asyncio

from ..telemetry import LONG_TURN_SECONDS, log
from ..telemetry import define as define_event

__all__ = ["Hub", "is_available"]

TURN_TOO_LONG = define_event(
    103,
    "turn_too_long",
    "warning",
    "Green threads kept the event loop from running; nothing else was served.",
)

# Shorter turns are not measured.
MEASURED_TURN_S = 0.02
# Turns that are logged; a few of them in a row delay requests noticeably.
LOGGED_TURN_S = 0.25


def is_available() -> bool:
    """Return whether eventlet may use this hub, which is the case everywhere."""
    return True


class Hub(eventlet.hubs.asyncio.Hub):
    """Eventlet hub whose turns are callbacks of an asyncio event loop.

    A turn resumes the green threads whose timers are due and schedules the next turn:
    immediately if more timers are due, otherwise when the next timer is. New timers and
    ready files bring it forward.
    """

    def __init__(self) -> None:
        super().__init__()
        self._turn_handle: asyncio.Handle | None = None
        self._is_turn_immediate = False
        # Steady clock when the current green thread was resumed last.
        self.resumed_at = 0.0

    def switch(self) -> Any:
        """Suspend the current green thread until the hub resumes it."""
        try:
            return super().switch()
        finally:
            self.resumed_at = time.monotonic()

    def add_timer(self, timer: Any) -> None:
        """Register a timer."""
        eventlet.hubs.hub.BaseHub.add_timer(self, timer)
        self._schedule_immediate_turn()

    def run(self, *args: Any, **kwargs: Any) -> None:
        """Run the event loop until the hub is aborted."""
        if self.running:
            raise RuntimeError("Already running!")
        self.running, self.stopping = True, False
        self._schedule_immediate_turn()
        try:
            self.loop.run_forever()
        finally:
            self._cancel_turn()
            self.running = self.stopping = False

    def _file_cb(self, callback: Any, fileno: int) -> None:
        started_at = time.monotonic()
        super()._file_cb(callback, fileno)
        _measure_turn(started_at)
        self._schedule_immediate_turn()

    def _run_turn(self) -> None:
        started_at = time.monotonic()
        self._resume_due()
        _measure_turn(started_at)

    def _resume_due(self) -> None:
        self._turn_handle, self._is_turn_immediate = None, False
        while self.closed:
            self.close_one()
        self.prepare_timers()
        self.fire_timers(self.clock())
        self.prepare_timers()
        if self.stopping:
            self.timers_canceled = 0
            del self.timers[:]
            del self.next_timers[:]
            self.loop.stop()
            return
        if self._is_turn_immediate:
            return
        due = self.sleep_until()
        if due is not None:
            self._turn_handle = self.loop.call_later(
                max(0.0, due - self.clock()), self._run_turn
            )

    def _schedule_immediate_turn(self) -> None:
        if self._is_turn_immediate:
            return
        self._cancel_turn()
        self._turn_handle = self.loop.call_soon(self._run_turn)
        self._is_turn_immediate = True

    def _cancel_turn(self) -> None:
        if self._turn_handle is not None:
            self._turn_handle.cancel()
        self._turn_handle, self._is_turn_immediate = None, False


def _measure_turn(started_at: float) -> None:
    """Record a turn that kept the event loop from running for long."""
    duration_s = time.monotonic() - started_at
    if duration_s >= MEASURED_TURN_S:
        LONG_TURN_SECONDS.observe({}, duration_s)
    if duration_s >= LOGGED_TURN_S:
        log(TURN_TOO_LONG, duration_s=round(duration_s, 3))
