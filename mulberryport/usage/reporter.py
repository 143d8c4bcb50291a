"""Usage reporter: freezes the report of each window and sends it."""

import eventlet
from attrs import define, field

from ..leases import Duty, LeaseLostError
from ..membership import Members
from ..outcomes import Done
from ..peering import Peers, peer_pb2
from ..runtime.clock import wall_time
from ..runtime.invariants import require
from ..telemetry import define as define_event
from ..telemetry import log
from .archive import WindowArchive
from .counters import CounterKey, UsageAmounts, UsageCounters, merge_counters
from .messages import from_message
from .sink_client import send_report
from .windows import (
    MAX_LATE_WINDOWS,
    FrozenWindow,
    freeze_window,
    report_digest,
    reported_amounts,
)

__all__ = ["SEND_TIMEOUT_S", "UsageReporter"]

WINDOW_FROZEN = define_event(
    1100, "usage_window_frozen", "info", "The report of a usage window was frozen."
)
WINDOW_REPORTED = define_event(
    1101, "usage_window_reported", "info", "The report of a usage window was sent."
)
REPORT_DELAYED = define_event(
    1102,
    "usage_report_delayed",
    "warning",
    "A usage window could not be frozen or sent; the reporter will retry.",
)

COLLECT_TIMEOUT_S = 2.0
# A successor waits for this time before it reports, because the last report of the
# previous holder may still be in transit.
SEND_TIMEOUT_S = 2.0
MAX_CONCURRENT_COLLECTIONS = 64


@define(eq=False)
class UsageReporter:
    """Reports closed windows of a shard while this daemon holds its duty.

    Parameters
    ----------
    duty : Duty
        Duty that permits reporting the shard.
    archive : WindowArchive
        Frozen windows of the shard in the store.
    counters : UsageCounters
        Counters of this daemon and copies of others.
    sink : str
        Base URL of the platform's API.
    grace : float
        Seconds between the end of a window and its freezing.
    """

    duty: Duty
    archive: WindowArchive
    counters: UsageCounters
    members: Members
    peers: Peers
    sink: str
    grace: float
    _last_fencing: int = 0
    _next_window: int | None = None
    _unmarked_window: int | None = None
    _frozen_windows: dict[int, FrozenWindow] | None = None
    _collected_counters: dict[CounterKey, UsageAmounts] = field(factory=dict)

    @property
    def shard(self) -> int:
        """Number of the reported shard."""
        return self.archive.shard

    def report_closed_windows(self) -> None:
        """Freeze and send all closed windows that are not yet reported, in order."""
        if not self.duty.is_held:
            self._reset()
            return
        if self._last_fencing != self.duty.fencing:
            self._reset()
            self._last_fencing = self.duty.fencing
        if self.duty.held_duration_s < SEND_TIMEOUT_S:
            return
        closed = self.counters.window_at(wall_time() - self.grace) - 1
        if not self._resume(closed):
            return
        while self._next_window is not None and self._next_window <= closed:
            try:
                if not self._report_window(self._next_window, closed):
                    log(REPORT_DELAYED, shard=self.shard, window=self._next_window)
                    return
            except LeaseLostError:
                self._reset()
                return
            self._next_window += 1

    def _resume(self, closed: int) -> bool:
        """Load the progress of earlier reporters; their frozen windows never change."""
        if self._unmarked_window is not None:
            if not self.archive.mark_sent(self._unmarked_window):
                return False
            self._unmarked_window = None
        if self._next_window is None:
            self._next_window = self.archive.first_unsent_window(closed)
            self._frozen_windows = None
        if self._frozen_windows is None and self._next_window is not None:
            self._frozen_windows = self.archive.read_preceding(self._next_window)
        return self._frozen_windows is not None

    def _report_window(self, window: int, closed: int) -> bool:
        frozen = self._freeze_window(window, closed)
        if frozen is None or not self._send_window(window, frozen):
            return False
        log(WINDOW_REPORTED, window=window, shard=self.shard)
        if not self.archive.mark_sent(window):
            self._unmarked_window = window
        return True

    def _freeze_window(self, window: int, closed: int) -> FrozenWindow | None:
        """Return the frozen window; freeze it unless an earlier reporter did."""
        assert self._frozen_windows is not None
        known = self._frozen_windows.get(window) or self.archive.read(window)
        if known is None:
            return None
        if known is False:
            self._collect_counters(window - MAX_LATE_WINDOWS, closed)
            proposed = freeze_window(
                self.shard,
                window,
                self.counters.window_length_s,
                self._collected_counters,
                reported_amounts(self._frozen_windows.values()),
            )
            known = self.archive.freeze(window, proposed, self.duty)
            if known is None:
                return None
            log(WINDOW_FROZEN, window=window, shard=self.shard, digest=known.digest)
        assert isinstance(known, FrozenWindow)
        self._frozen_windows[window] = known
        for old_window in [
            n for n in self._frozen_windows if n < window - MAX_LATE_WINDOWS
        ]:
            del self._frozen_windows[old_window]
        return known

    def _send_window(self, window: int, frozen: FrozenWindow) -> bool:
        require(
            report_digest(frozen.report) == frozen.digest,
            "usage_window_one_figure",
            shard=self.shard,
            window=window,
        )
        member = self.members.self_member
        sent = send_report(
            self.sink,
            f"{self.shard}/{window}",
            frozen.report,
            guard=lambda: self.duty.guard(SEND_TIMEOUT_S),
            sender=f"{member.vm}/{member.incarnation}",
            fencing=self.duty.fencing,
            timeout=SEND_TIMEOUT_S,
        )
        return isinstance(sent, Done)

    def _collect_counters(self, from_window: int, up_to_window: int) -> None:
        """Collect the counters of the reportable windows from all members."""
        own = self.counters.collect_counters(self.shard, from_window, up_to_window)
        collected = {
            key: amounts
            for key, amounts in self._collected_counters.items()
            if key.window >= from_window
        }
        merge_counters(collected, own)
        workers = eventlet.GreenPool(MAX_CONCURRENT_COLLECTIONS)
        for member in self.members.live()[1:]:
            workers.spawn_n(
                self._collect_from, member.vm, from_window, up_to_window, collected
            )
        workers.waitall()
        self._collected_counters = collected

    def _collect_from(
        self,
        vm: str,
        from_window: int,
        up_to_window: int,
        collected: dict[CounterKey, UsageAmounts],
    ) -> None:
        request = peer_pb2.CollectUsageRequest(
            from_window=max(0, from_window),
            up_to_window=up_to_window,
            shard=self.shard,
            shards=self.counters.shards,
        )
        outcome = self.peers.call(vm, "CollectUsage", request, COLLECT_TIMEOUT_S)
        if isinstance(outcome, Done):
            merge_counters(collected, (from_message(c) for c in outcome.value.counters))

    def _reset(self) -> None:
        self._next_window = self._frozen_windows = self._unmarked_window = None
        self._collected_counters = {}
