"""Usage ledger: windows that are frozen in the store and then reported.

The counts of a window are frozen by a create-only write before they are sent, so a
later holder of the duty sends the same counts again after a failure.
"""

from collections import Counter
from collections.abc import Callable, Iterable

import orjson
from attrs import define, field

from ..coordination import Conflict, KeyValueStore, Put, SessionDuty, Transaction
from ..leases import LeaseLostError
from ..outcomes import Done, Outcome
from ..telemetry import define as define_event
from ..telemetry import log
from .counters import CounterKey, UsageAmounts, UsageCounters, merge_counters

__all__ = ["LEDGER_PREFIX", "UsageLedger"]

WINDOW_SETTLED = define_event(
    1110,
    "usage_window_settled",
    "info",
    "The request counts of a usage window were frozen.",
)
WINDOW_SENT = define_event(
    1111, "usage_window_sent", "info", "The report of a usage window was sent."
)
WINDOW_DELAYED = define_event(
    1112,
    "usage_window_delayed",
    "warning",
    "The report of a usage window could not be sent; it will be retried.",
)

LEDGER_PREFIX = "mulberryport/usage/"
# Delay after the end of a window, after which daemons know all requests that began
# in it.
CLOSE_GRACE_S = 3.0
# Number of frozen windows retained in the store for a successor.
RETAINED_WINDOWS = 12
# Number of windows before the frozen one whose counters are still accepted.
MAX_LATE_WINDOWS = 3

Counters = Iterable[tuple[CounterKey, UsageAmounts]]


@define(eq=False)
class UsageLedger:
    """Freezes and sends closed windows while this daemon holds the duty.

    Parameters
    ----------
    store : KeyValueStore
        Store of the frozen counts.
    duty : SessionDuty
        Duty that permits reporting usage.
    counters : UsageCounters
        Counters of this daemon; maps times to windows.
    collect : callable
        Returns the counters of other daemons from one window to another, inclusive.
    send : callable
        Sends the report of a window; called with the window and the number of
        requests by workspace.
    knows_members : callable
        Returns whether this daemon has had the time to hear of all daemons.
    """

    store: KeyValueStore
    duty: SessionDuty
    counters: UsageCounters
    collect: Callable[[int, int], Counters]
    send: Callable[[int, dict[str, int]], Outcome[bool]]
    knows_members: Callable[[], bool] = lambda: True
    _last_fencing: int = 0
    _next_window: int | None = None
    _unsent_counts: dict[int, dict[str, int]] = field(factory=dict)

    def report_closed_windows(self) -> None:
        """Freeze the closed windows and send their reports."""
        # The counters of a daemon that is not known yet would read as no requests, and
        # a frozen window is final.
        if not self.duty.active or not self.knows_members():
            self._next_window = None
            return
        if self._last_fencing != self.duty.fencing:
            self._last_fencing, self._next_window = self.duty.fencing, None
        if self._next_window is None and not self._resume():
            return
        closed = self.counters.window_at(self.counters.now() - CLOSE_GRACE_S) - 1
        while self._next_window is not None and self._next_window <= closed:
            if not self._freeze_window(self._next_window):
                break
            self._next_window += 1
        for window in sorted(self._unsent_counts):
            if not self._send_window(window):
                break

    def _resume(self) -> bool:
        """Load the windows that earlier holders froze, to send them again."""
        outcome = self.store.list(LEDGER_PREFIX)
        if not isinstance(outcome, Done):
            return False
        frozen_counts = {
            int(item.key.removeprefix(LEDGER_PREFIX)): orjson.loads(item.value)
            for item in outcome.value.items
        }
        self._unsent_counts = frozen_counts
        current = self.counters.window_at(self.counters.now())
        first = min((key.window for key in self.counters.own_keys()), default=current)
        self._next_window = (
            max(frozen_counts) + 1 if frozen_counts else min(first, current)
        )
        return True

    def _freeze_window(self, window: int) -> bool:
        """Freeze the counts of a window, or load the counts already frozen."""
        first = window - MAX_LATE_WINDOWS
        merged: dict[CounterKey, UsageAmounts] = {}
        merge_counters(merged, self.counters.collect_counters(0, first, window))
        merge_counters(merged, self.collect(first, window))
        counts: Counter[str] = Counter()
        for key, amounts in merged.items():
            if key.window == window:
                counts[key.workspace] += amounts.requests
        key = f"{LEDGER_PREFIX}{window}"
        outcome = self.store.commit(
            Transaction(
                expected={key: 0},
                puts=(Put(key, orjson.dumps(counts)),),
                removes=(f"{LEDGER_PREFIX}{window - RETAINED_WINDOWS}",),
            )
        )
        if not isinstance(outcome, Done):
            return False
        if isinstance(outcome.value, Conflict):
            frozen = self.store.read(key)
            if not isinstance(frozen, Done) or frozen.value is None:
                return False
            self._unsent_counts[window] = orjson.loads(frozen.value.value)
        else:
            self._unsent_counts[window] = dict(counts)
        log(WINDOW_SETTLED, window=window, counts=self._unsent_counts[window])
        return True

    def _send_window(self, window: int) -> bool:
        try:
            outcome = self.send(window, self._unsent_counts[window])
        except LeaseLostError:
            return False
        if not isinstance(outcome, Done):
            log(WINDOW_DELAYED, window=window, reason=outcome.reason)
            return False
        log(WINDOW_SENT, window=window)
        del self._unsent_counts[window]
        return True
