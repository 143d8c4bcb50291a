"""The reporter: freezes the figures of each window and sends them."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

import orjson
from attrs import asdict, define

from ..leases import Duty, LeaseLostError
from ..membership import Members
from ..outcomes import Done
from ..peering import Peers, peer_pb2
from ..runtime.clock import wall_time
from ..store import StoreClient
from ..telemetry import define as define_event
from ..telemetry import log
from .counters import Figures, UsageCounters
from .messages import from_message
from .sink_client import send_report

__all__ = ["UsageReporter"]

WINDOW_FROZEN = define_event(
    1100, "usage_window_frozen", "info", "The figures of a usage window were frozen."
)
WINDOW_REPORTED = define_event(
    1101, "usage_window_reported", "info", "A usage window was reported."
)

COLLECT_TIMEOUT_S = 2.0
SEND_TIMEOUT_S = 2.0


@define(eq=False)
class UsageReporter:
    """Reports closed windows while this daemon holds the duty of a shard."""

    shard: int
    duty: Duty
    store: StoreClient
    counters: UsageCounters
    members: Members
    peers: Peers
    sink: str
    grace: float
    belongs: Callable[[str], bool]
    _next_window: int | None = None

    def turn(self) -> None:
        """Freeze and send the windows that are due."""
        if not self.duty.held:
            self._next_window = None
            return
        closed = self.counters.window_at(wall_time() - self.grace) - 1
        if self._next_window is None:
            self._next_window = self._first_unsent(closed)
        while self._next_window is not None and self._next_window <= closed:
            if not self._report(self._next_window):
                return
            self._next_window += 1

    def _first_unsent(self, closed: int) -> int | None:
        outcome = self.store.read(self._sent_key)
        if not isinstance(outcome, Done):
            return None
        value = outcome.value.value
        return closed if value is None else int(value) + 1

    def _report(self, window: int) -> bool:
        frozen = self._frozen(window)
        if frozen is None:
            return False
        try:
            self.duty.guard(SEND_TIMEOUT_S)
        except LeaseLostError:
            return False
        report_id = f"{self.shard}/{window}"
        sent = send_report(self.sink, report_id, orjson.loads(frozen), SEND_TIMEOUT_S)
        if not isinstance(sent, Done):
            return False
        log(WINDOW_REPORTED, window=window, shard=self.shard)
        current = self.store.read(self._sent_key)
        if isinstance(current, Done):
            self.store.write(
                self._sent_key, str(window).encode(), current.value.version
            )
        return True

    def _frozen(self, window: int) -> bytes | None:
        key = f"usage/{self.shard}/{window}"
        known = self.store.read(key)
        if not isinstance(known, Done):
            return None
        if known.value.value is not None:
            return known.value.value
        figures = self._collect(window)
        content = orjson.dumps(self._render(window, figures))
        try:
            self.duty.guard()
        except LeaseLostError:
            return None
        written = self.store.write(key, content, 0)
        if not isinstance(written, Done):
            return None
        log(WINDOW_FROZEN, window=window, shard=self.shard)
        # Another holder may have frozen it first; what the store has is sent.
        settled = self.store.read(key)
        return settled.value.value if isinstance(settled, Done) else None

    def _collect(self, window: int) -> dict[tuple[str, str], Figures]:
        for member in self.members.live():
            if member.vm == self.members.self_member.vm:
                continue
            request = peer_pb2.CollectUsageRequest(up_to_window=window)
            outcome = self.peers.call(
                member.vm, "CollectUsage", request, COLLECT_TIMEOUT_S
            )
            if isinstance(outcome, Done):
                self.counters.merge(from_message(c) for c in outcome.value.counters)
        totals: dict[tuple[str, str], Figures] = defaultdict(Figures)
        for key, figures in self.counters.items(window):
            if key.window == window and self.belongs(key.workspace):
                totals[key.workspace, key.pool] += figures
        return totals

    def _render(
        self, window: int, totals: dict[tuple[str, str], Figures]
    ) -> dict[str, Any]:
        return {
            "shard": self.shard,
            "window": window,
            "window_length": self.counters.window_length,
            "figures": [
                {"workspace": workspace, "pool": pool, **asdict(figures)}
                for (workspace, pool), figures in sorted(totals.items())
            ],
        }

    @property
    def _sent_key(self) -> str:
        return f"usage/{self.shard}/sent"
