"""Usage windows that are settled through the store and reported once.

The figures of a window are frozen by a create-only write before they are sent, so that
whoever reports after a loss sends the same ones again.
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
from .counters import CounterKey, Figures, UsageCounters, merge_counters

__all__ = ["LEDGER_PREFIX", "UsageLedger"]

WINDOW_SETTLED = define_event(
    1110, "usage_window_settled", "info", "The figures of a usage window are settled."
)
WINDOW_SENT = define_event(
    1111, "usage_window_sent", "info", "A usage window was sent."
)
WINDOW_DELAYED = define_event(
    1112, "usage_window_delayed", "warning", "A usage window could not be sent yet."
)

LEDGER_PREFIX = "mulberryport/usage/"
# Requests that began in a window are known to their daemons by then.
GRACE_S = 3.0
# Settled windows that stay in the store for a successor.
KEPT_WINDOWS = 12
# Windows before the settled one whose counters are still accepted.
LATE_WINDOWS = 3

Counters = Iterable[tuple[CounterKey, Figures]]


@define(eq=False)
class UsageLedger:
    """Settles and sends the closed windows while the duty is held.

    Parameters
    ----------
    store : KeyValueStore
        Keeps what is settled.
    duty : SessionDuty
        The duty of reporting.
    counters : UsageCounters
        Counters of this daemon; decides which window a time belongs to.
    collect : callable
        Returns the counters of other daemons between two windows, both included.
    send : callable
        Sends the figures of a window; called with the window and the requests by
        workspace.
    """

    store: KeyValueStore
    duty: SessionDuty
    counters: UsageCounters
    collect: Callable[[int, int], Counters]
    send: Callable[[int, dict[str, int]], Outcome[bool]]
    _term: int = 0
    _next: int | None = None
    _unsent: dict[int, dict[str, int]] = field(factory=dict)

    def turn(self) -> None:
        """Settle and send what is due."""
        if not self.duty.active:
            self._next = None
            return
        if self._term != self.duty.fencing:
            self._term, self._next = self.duty.fencing, None
        if self._next is None and not self._resume():
            return
        closed = self.counters.window_at(self.counters.now() - GRACE_S) - 1
        while self._next is not None and self._next <= closed:
            if not self._settle(self._next):
                break
            self._next += 1
        for window in sorted(self._unsent):
            if not self._send(window):
                break

    def _resume(self) -> bool:
        """Learn what holders before settled, and send it again."""
        outcome = self.store.list(LEDGER_PREFIX)
        if not isinstance(outcome, Done):
            return False
        settled = {
            int(item.key.removeprefix(LEDGER_PREFIX)): orjson.loads(item.value)
            for item in outcome.value.items
        }
        self._unsent = settled
        current = self.counters.window_at(self.counters.now())
        first = min((key.window for key in self.counters.own_keys()), default=current)
        self._next = max(settled) + 1 if settled else min(first, current)
        return True

    def _settle(self, window: int) -> bool:
        """Freeze the figures of a window, or take those that are frozen."""
        first = window - LATE_WINDOWS
        merged: dict[CounterKey, Figures] = {}
        merge_counters(merged, self.counters.hand_over(0, first, window))
        merge_counters(merged, self.collect(first, window))
        counts: Counter[str] = Counter()
        for key, figures in merged.items():
            if key.window == window:
                counts[key.workspace] += figures.requests
        key = f"{LEDGER_PREFIX}{window}"
        outcome = self.store.commit(
            Transaction(
                expected={key: 0},
                puts=(Put(key, orjson.dumps(counts)),),
                removes=(f"{LEDGER_PREFIX}{window - KEPT_WINDOWS}",),
            )
        )
        if not isinstance(outcome, Done):
            return False
        if isinstance(outcome.value, Conflict):
            frozen = self.store.read(key)
            if not isinstance(frozen, Done) or frozen.value is None:
                return False
            self._unsent[window] = orjson.loads(frozen.value.value)
        else:
            self._unsent[window] = dict(counts)
        log(WINDOW_SETTLED, window=window, counts=self._unsent[window])
        return True

    def _send(self, window: int) -> bool:
        try:
            outcome = self.send(window, self._unsent[window])
        except LeaseLostError:
            return False
        if not isinstance(outcome, Done):
            log(WINDOW_DELAYED, window=window, reason=outcome.reason)
            return False
        log(WINDOW_SENT, window=window)
        del self._unsent[window]
        return True
