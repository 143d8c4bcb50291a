"""A copy of the keys below one prefix, kept up to date by a watch.

The copy is read in full at the start and whenever the store has lost the history; in
between the watch brings each change. Subscribers hear of every change once, also of
keys that disappeared while no watch was open.
"""

from collections.abc import Callable
from typing import Any, Protocol

import eventlet
import eventlet.hubs
from attrs import define, field

from ..outcomes import Done, Outcome
from ..runtime.clock import boottime
from ..runtime.signals import Signal
from ..telemetry import define as define_event
from ..telemetry import log
from .model import Change, Changes, HistoryLost, Item, Listing

__all__ = ["Mirror"]

MIRROR_LOST = define_event(
    420, "mirror_interrupted", "warning", "Changes of a prefix cannot be followed."
)
MIRROR_REGAINED = define_event(
    421, "mirror_regained", "info", "Changes of a prefix are followed again."
)
SUBSCRIBER_FAILED = define_event(
    422, "mirror_subscriber_failed", "error", "A part failed to take a change."
)
MIRROR_STALLED = define_event(
    423, "mirror_stalled", "warning", "Another daemon has seen a change, this one not."
)

# A watch is one call of the store however long it waits; the store takes 30 s.
WATCH_WAIT_S = 25.0
# The first watch after an interruption shows whether the store answers again.
FIRST_WAIT_S = 0.3
# A watch that works brings a change within this time, also with gathered changes.
NEWS_DELAY_S = 0.6
# Between two attempts while the store does not answer.
RETRY_S = 0.25

Subscriber = Callable[[Change], None]


class WatchedStore(Protocol):
    """Where a mirror reads: the store, or a daemon that follows it."""

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all keys below a prefix."""

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""


class WatchStalledError(BaseException):
    """The watch must end now; no handler of ordinary errors may swallow this."""


@define(eq=False)
class Mirror:
    """Follows the keys below a prefix.

    A watch can stay open and yet bring nothing, as on a connection that went silent.
    Other daemons tell which changes they have seen (``expect``); a mirror that lacks
    one of them gives up its watch and reads the prefix in full.

    Parameters
    ----------
    store : KeyValueStore
        The store, or another source of its keys.
    prefix : str
        Prefix of the keys.
    gather : float
        Seconds after a change in which further ones gather, to save calls.
    progress : Signal
        Sent when the store has answered, or has failed to.
    """

    store: WatchedStore
    prefix: str
    gather: float = 0.0
    progress: Signal = field(factory=Signal)
    _items: dict[str, Item] = field(factory=dict)
    _revision: int = -1
    _newest: int = 0
    # Whether changes may have been missed since.
    _outdated: bool = True
    _waiting: Any = None
    _subscribers: list[Subscriber] = field(factory=list)
    _following: bool = False
    _interrupted_at: float = float("-inf")
    _regained_at: float = float("-inf")
    _stopped: bool = False

    @property
    def items(self) -> dict[str, Item]:
        """All items by key; not to be changed."""
        return self._items

    @property
    def loaded(self) -> bool:
        """Whether the prefix was read at least once."""
        return self._revision >= 0

    @property
    def following(self) -> bool:
        """Whether the last call of the store was answered."""
        return self._following

    @property
    def revision(self) -> int:
        """Revision up to which all changes were seen; -1 before the first read."""
        return self._revision

    @property
    def newest(self) -> int:
        """Revision of the newest change that was seen."""
        return self._newest

    @property
    def regained_for(self) -> float:
        """Seconds since the store answered again after an interruption."""
        return boottime() - self._regained_at

    def get(self, key: str) -> Item | None:
        """Return an item, None if the mirror does not have it."""
        return self._items.get(key)

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with each change from now on."""
        self._subscribers.append(subscriber)

    def expect(self, revision: int) -> None:
        """Note that another daemon has seen a change at a revision."""
        if self._lacks(revision):
            eventlet.spawn_after(NEWS_DELAY_S, self._check_news, revision)

    def start(self) -> None:
        """Follow the prefix until ``stop``."""
        eventlet.spawn_n(self._run)

    def stop(self) -> None:
        """Follow the prefix no longer than the current watch."""
        self._stopped = True

    def apply(self, change: Change) -> None:
        """Take over a change that is known from elsewhere, such as an own commit."""
        self._newest = max(self._newest, change.revision)
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
        while not self._stopped:
            if not (self._load() if self._outdated else self._follow()):
                eventlet.sleep(RETRY_S)

    def _load(self) -> bool:
        outcome = self.store.list(self.prefix)
        if not isinstance(outcome, Done):
            self._interrupted(outcome.reason)
            return False
        listing = outcome.value
        self._answered()
        listed = {item.key: item for item in listing.items}
        for item in listing.items:
            self.apply(Change(item.key, item.revision, item))
        for key in [key for key in self._items if key not in listed]:
            if self._items[key].revision <= listing.revision:
                self.apply(Change(key, listing.revision))
        self._revision, self._outdated = listing.revision, False
        self.progress.send()
        return True

    def _follow(self) -> bool:
        wait = WATCH_WAIT_S if self._following else FIRST_WAIT_S
        self._waiting = eventlet.getcurrent()
        try:
            outcome = self.store.watch(self.prefix, self._revision, wait)
        except WatchStalledError:
            self._outdated = True
            return True
        finally:
            self._waiting = None
        if not isinstance(outcome, Done):
            self._interrupted(outcome.reason)
            return False
        self._answered()
        if not isinstance(outcome.value, Changes):
            self._outdated = True
            return True
        for change in outcome.value.changes:
            self.apply(change)
        self._revision = max(self._revision, outcome.value.revision)
        self.progress.send()
        if self.gather and outcome.value.changes:
            eventlet.sleep(self.gather)
        return True

    def _lacks(self, revision: int) -> bool:
        """Whether a change at a revision has not been seen or covered by a read."""
        return revision > max(self._newest, self._revision)

    def _check_news(self, revision: int) -> None:
        """Give up the watch if it has not brought a change by now."""
        if not self._lacks(revision) or self._waiting is None:
            return
        log(MIRROR_STALLED, prefix=self.prefix, has=self._newest, lacks=revision)
        waiting, self._waiting = self._waiting, None
        eventlet.hubs.get_hub().schedule_call_global(
            0, self._end_watch, waiting, WatchStalledError()
        )

    def _end_watch(self, waiting: Any, error: BaseException) -> None:
        if not waiting.dead:
            waiting.throw(error)

    def _interrupted(self, reason: str) -> None:
        if self._following or self._interrupted_at == float("-inf"):
            log(MIRROR_LOST, prefix=self.prefix, reason=reason)
            self._interrupted_at = boottime()
        self._following = False
        self.progress.send()

    def _answered(self) -> None:
        if not self._following:
            log(MIRROR_REGAINED, prefix=self.prefix, revision=self._revision)
            self._regained_at = boottime()
        self._following = True
