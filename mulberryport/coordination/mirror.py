"""A local copy of the keys under a prefix, kept up to date by a watch.

The prefix is listed at the start and whenever the store no longer has the requested
history; in between, a watch delivers each change. Every change is passed to the
subscribers exactly once, including the removal of keys while no watch was open.
"""

from collections.abc import Callable
from typing import Protocol

import eventlet
from attrs import define, field

from ..outcomes import Done, Outcome
from ..runtime.clock import boottime
from ..runtime.notifier import Notifier
from ..runtime.waits import Wait, interruptible_wait, supervise
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Change, Changes, HistoryLost, Item, Listing

__all__ = ["Mirror"]

MIRROR_INTERRUPTED = define_event(
    420, "mirror_interrupted", "warning", "Cannot watch the keys under a prefix."
)
MIRROR_REGAINED = define_event(
    421, "mirror_regained", "info", "Watching the keys under a prefix again."
)
SUBSCRIBER_FAILED = define_event(
    422,
    "mirror_subscriber_failed",
    "error",
    "A subscriber of a mirror raised an exception.",
)
MIRROR_STALLED = define_event(
    423,
    "mirror_stalled",
    "warning",
    "The watch has not delivered a change that another daemon has seen.",
)

# A watch counts as one store request regardless of its duration, so it should be long.
# The store accepts waits of up to 30 s.
WATCH_WAIT_S = 25.0
# The first watch after a failure is short, to find out soon whether the store answers.
RECONNECT_WATCH_WAIT_S = 0.3
# A working watch delivers a change within this time, including ``batch_delay_s``.
STALL_TIMEOUT_S = 0.6
# Delay between attempts while the store does not answer.
RETRY_DELAY_S = 0.25

Subscriber = Callable[[Change], None]


class WatchSource(Protocol):
    """Source of listings and watches: the store, or a daemon that watches it."""

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all keys under a prefix."""

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""


class WatchStalledError(BaseException):
    """Ends a stalled watch.

    It derives from ``BaseException`` so that no ``except Exception`` swallows it.
    """


@define(eq=False)
class Mirror:
    """Keeps a copy of the keys under a prefix.

    A watch can stay open without delivering changes, for example on a half-open
    connection. Other daemons report the newest revision that they have seen
    (``expect_revision``); a mirror that is behind aborts its watch and lists the prefix
    again.

    Parameters
    ----------
    store : KeyValueStore
        The store, or another source of its keys.
    prefix : str
        Prefix of the keys.
    batch_delay_s : float
        Seconds to pause after a change, so that the next watch returns several changes
        in one request.
    polled : Notifier
        Notified after each successful or failed request to the store.
    """

    store: WatchSource
    prefix: str
    batch_delay_s: float = 0.0
    polled: Notifier = field(factory=Notifier)
    _items: dict[str, Item] = field(factory=dict)
    _revision: int = -1
    _newest_revision: int = 0
    _expected_revision: int = 0
    # Whether changes may have been missed, so that the prefix must be listed.
    _needs_relist: bool = True
    _watch_wait: Wait | None = None
    _subscribers: list[Subscriber] = field(factory=list)
    _behind_since: float = float("-inf")
    _polled_at: float = field(factory=boottime)
    _answered_at: float = float("-inf")
    _connected: bool = False
    _disconnected_at: float = float("-inf")
    _connected_at: float = float("-inf")
    _stopped: bool = False

    @property
    def items(self) -> dict[str, Item]:
        """All items by key. Callers must not modify the mapping."""
        return self._items

    @property
    def loaded(self) -> bool:
        """Whether the prefix has been listed at least once."""
        return self._revision >= 0

    @property
    def connected(self) -> bool:
        """Whether the last request to the store was answered."""
        return self._connected

    @property
    def revision(self) -> int:
        """Revision up to which all changes are applied; -1 before the first listing."""
        return self._revision

    @property
    def newest_revision(self) -> int:
        """Revision of the newest change that has been seen."""
        return self._newest_revision

    @property
    def is_behind(self) -> bool:
        """Whether another daemon has seen a change that this mirror lacks."""
        return self._lacks(self._expected_revision)

    @property
    def behind_for_s(self) -> float:
        """Seconds for which the mirror has lacked what another daemon has seen."""
        return boottime() - self._behind_since if self.is_behind else 0.0

    @property
    def silent_for_s(self) -> float:
        """Seconds since the last request to the store succeeded or failed."""
        return boottime() - self._polled_at

    @property
    def answered_s_ago(self) -> float:
        """Seconds since the store, or a provider, answered the last time."""
        return boottime() - self._answered_at

    @property
    def connected_for_s(self) -> float:
        """Seconds since the store answered again after a failure."""
        return boottime() - self._connected_at

    def get(self, key: str) -> Item | None:
        """Return the item of a key, or None if there is none."""
        return self._items.get(key)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with each later change."""
        self._subscribers.append(subscriber)

    def expect_revision(self, revision: int) -> None:
        """Expect the watch to deliver a revision that another daemon has seen.

        If it does not arrive within ``STALL_TIMEOUT_S``, the watch is aborted.
        """
        if not self.is_behind:
            self._behind_since = boottime()
        self._expected_revision = max(self._expected_revision, revision)
        if self._lacks(revision):
            eventlet.spawn_after(STALL_TIMEOUT_S, self._check_stalled, revision)

    def start(self) -> None:
        """Start watching the prefix, until ``stop`` is called."""
        supervise(f"mirror {self.prefix}", self._run)

    def stop(self) -> None:
        """Stop watching the prefix when the current request returns."""
        self._stopped = True

    def apply(self, change: Change) -> None:
        """Apply a change and notify subscribers, unless a newer one is applied.

        Also used for changes that are known before the watch delivers them, such as
        this daemon's own commits.
        """
        self._newest_revision = max(self._newest_revision, change.revision)
        known = self._items.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        if known is None and change.item is None:
            return
        if change.item is None:
            del self._items[change.key]
        else:
            self._items[change.key] = change.item
        for subscriber in list(self._subscribers):
            try:
                subscriber(change)
            except Exception as error:
                log(SUBSCRIBER_FAILED, key=change.key, error=repr(error))

    def _run(self) -> None:
        # After a failure, changes may have been applied only in part.
        self._needs_relist = True
        while not self._stopped:
            if not (self._relist() if self._needs_relist else self._watch()):
                eventlet.sleep(RETRY_DELAY_S)

    def _relist(self) -> bool:
        outcome = self.store.list(self.prefix)
        if not isinstance(outcome, Done):
            self._mark_disconnected(outcome.reason)
            return False
        listing = outcome.value
        self._mark_connected()
        listed = {item.key: item for item in listing.items}
        for item in listing.items:
            self.apply(Change(item.key, item.revision, item))
        for key in [key for key in self._items if key not in listed]:
            if self._items[key].revision <= listing.revision:
                self.apply(Change(key, listing.revision))
        self._revision, self._needs_relist = listing.revision, False
        self.polled.notify_all()
        return True

    def _watch(self) -> bool:
        wait = WATCH_WAIT_S if self._connected else RECONNECT_WATCH_WAIT_S
        try:
            with interruptible_wait() as self._watch_wait:
                outcome = self.store.watch(self.prefix, self._revision, wait)
        except WatchStalledError:
            self._needs_relist = True
            return True
        if not isinstance(outcome, Done):
            self._mark_disconnected(outcome.reason)
            return False
        self._mark_connected()
        if not isinstance(outcome.value, Changes):
            self._needs_relist = True
            return True
        for change in outcome.value.changes:
            self.apply(change)
        self._revision = max(self._revision, outcome.value.revision)
        self.polled.notify_all()
        if self.batch_delay_s and outcome.value.changes:
            eventlet.sleep(self.batch_delay_s)
        return True

    def _lacks(self, revision: int) -> bool:
        """Whether neither a change nor a listing has covered a revision."""
        return revision > max(self._newest_revision, self._revision)

    def _check_stalled(self, revision: int) -> None:
        """Abort the watch if it has not delivered a revision."""
        wait = self._watch_wait
        if not self._lacks(revision) or wait is None or wait.is_over:
            return
        log(
            MIRROR_STALLED,
            prefix=self.prefix,
            has=self._newest_revision,
            lacks=revision,
        )
        wait.end(WatchStalledError())

    def _mark_disconnected(self, reason: str) -> None:
        if self._connected or self._disconnected_at == float("-inf"):
            log(MIRROR_INTERRUPTED, prefix=self.prefix, reason=reason)
            self._disconnected_at = boottime()
        self._connected = False
        self._polled_at = boottime()
        self.polled.notify_all()

    def _mark_connected(self) -> None:
        if not self._connected:
            log(MIRROR_REGAINED, prefix=self.prefix, revision=self._revision)
            self._connected_at = boottime()
        self._connected = True
        self._polled_at = self._answered_at = boottime()
