"""The reporter: freezes the figures of each window and sends them."""

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
from .counters import CounterKey, Figures, UsageCounters, merge_counters
from .messages import from_message
from .sink_client import send_report
from .windows import (
    LATE_WINDOWS,
    FrozenWindow,
    counted_so_far,
    freeze_window,
    report_digest,
)

__all__ = ["SEND_TIMEOUT_S", "UsageReporter"]

WINDOW_FROZEN = define_event(
    1100, "usage_window_frozen", "info", "The figures of a usage window were frozen."
)
WINDOW_REPORTED = define_event(
    1101, "usage_window_reported", "info", "A usage window was reported."
)
REPORT_DELAYED = define_event(
    1102,
    "usage_report_delayed",
    "warning",
    "A usage window could not be frozen or sent yet; it is tried again.",
)

COLLECT_TIMEOUT_S = 2.0
# A successor waits for this time, since the former holder's last report can still
# be under way.
SEND_TIMEOUT_S = 2.0
COLLECTIONS = 64


@define(eq=False)
class UsageReporter:
    """Reports closed windows while this daemon holds the duty of a shard.

    Parameters
    ----------
    duty : Duty
        The duty of the shard.
    archive : WindowArchive
        The shard's frozen windows in the store.
    counters : UsageCounters
        Counters of this daemon, and copies.
    sink : str
        Base URL of the platform's interface.
    grace : float
        Seconds after the end of a window until it is frozen.
    """

    duty: Duty
    archive: WindowArchive
    counters: UsageCounters
    members: Members
    peers: Peers
    sink: str
    grace: float
    _term: int = 0
    _next_window: int | None = None
    _unmarked: int | None = None
    _frozen: dict[int, FrozenWindow] | None = None
    _collected: dict[CounterKey, Figures] = field(factory=dict)

    @property
    def shard(self) -> int:
        """The shard that is reported."""
        return self.archive.shard

    def turn(self) -> None:
        """Freeze and send the windows that are due, in order."""
        if not self.duty.held:
            self._forget()
            return
        if self._term != self.duty.fencing:
            self._forget()
            self._term = self.duty.fencing
        if self.duty.held_for < SEND_TIMEOUT_S:
            return
        closed = self.counters.window_at(wall_time() - self.grace) - 1
        if not self._prepare(closed):
            return
        while self._next_window is not None and self._next_window <= closed:
            try:
                if not self._report(self._next_window, closed):
                    log(REPORT_DELAYED, shard=self.shard, window=self._next_window)
                    return
            except LeaseLostError:
                self._forget()
                return
            self._next_window += 1

    def _prepare(self, closed: int) -> bool:
        """Learn what former reporters did; what is frozen never changes."""
        if self._unmarked is not None:
            if not self.archive.mark_sent(self._unmarked):
                return False
            self._unmarked = None
        if self._next_window is None:
            self._next_window = self.archive.first_window(closed)
            self._frozen = None
        if self._frozen is None and self._next_window is not None:
            self._frozen = self.archive.read_late(self._next_window)
        return self._frozen is not None

    def _report(self, window: int, closed: int) -> bool:
        frozen = self._settle(window, closed)
        if frozen is None or not self._send(window, frozen):
            return False
        log(WINDOW_REPORTED, window=window, shard=self.shard)
        if not self.archive.mark_sent(window):
            self._unmarked = window
        return True

    def _settle(self, window: int, closed: int) -> FrozenWindow | None:
        """Return the frozen window; freeze it if nobody did so before."""
        assert self._frozen is not None
        known = self._frozen.get(window) or self.archive.read(window)
        if known is None:
            return None
        if known is False:
            self._collect(window - LATE_WINDOWS, closed)
            proposed = freeze_window(
                self.shard,
                window,
                self.counters.window_length,
                self._collected,
                counted_so_far(self._frozen.values()),
            )
            known = self.archive.freeze(window, proposed, self.duty)
            if known is None:
                return None
            log(WINDOW_FROZEN, window=window, shard=self.shard, digest=known.digest)
        assert isinstance(known, FrozenWindow)
        self._frozen[window] = known
        for number in [n for n in self._frozen if n < window - LATE_WINDOWS]:
            del self._frozen[number]
        return known

    def _send(self, window: int, frozen: FrozenWindow) -> bool:
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

    def _collect(self, from_window: int, up_to_window: int) -> None:
        """Ask all members for the counters of the windows that can be reported."""
        own = self.counters.hand_over(self.shard, from_window, up_to_window)
        collected = {
            key: figures
            for key, figures in self._collected.items()
            if key.window >= from_window
        }
        merge_counters(collected, own)
        pool = eventlet.GreenPool(COLLECTIONS)
        for member in self.members.live()[1:]:
            pool.spawn_n(self._ask, member.vm, from_window, up_to_window, collected)
        pool.waitall()
        self._collected = collected

    def _ask(
        self,
        vm: str,
        from_window: int,
        up_to_window: int,
        collected: dict[CounterKey, Figures],
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

    def _forget(self) -> None:
        self._next_window = self._frozen = self._unmarked = None
        self._collected = {}
