"""In-memory key-value store with fault injection, and a wait helper, for tests."""

from contextlib import contextmanager

import eventlet
from attrs import define, evolve, field

from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from ...runtime.notifier import Notifier
from ..model import (
    Change,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Item,
    Listing,
)

__all__ = ["MemoryStore", "until"]


@define(eq=False)
class MemoryStore:
    """Implements ``KeyValueStore`` in memory.

    Parameters
    ----------
    down : bool
        Whether calls fail without taking effect.
    losing : bool
        Whether the answers of commits that took effect are lost.
    """

    down: bool = False
    losing: bool = False
    calls: int = 0
    items: dict = field(factory=dict)
    leases: set = field(factory=set)
    revision: int = 10
    _history: list = field(factory=list)
    _changed: Notifier = field(factory=Notifier)
    _next_lease: int = 1

    def read(self, key):
        """Return the item of a key."""
        return self._answer(lambda: self.items.get(key))

    def list(self, prefix):
        """Return all items under a prefix."""
        return self._answer(
            lambda: Listing(
                tuple(i for k, i in sorted(self.items.items()) if k.startswith(prefix)),
                self.revision,
            )
        )

    def watch(self, prefix, after, wait):
        """Wait for changes after a revision."""
        self.calls += 1
        deadline = boottime() + wait
        while True:
            if self.down:
                return NotDone("down")
            if self._history and self._history[0].revision > after + 1000:
                return Done(HistoryLost())
            changes = tuple(
                c
                for c in self._history
                if c.revision > after and c.key.startswith(prefix)
            )
            timeout = deadline - boottime()
            if changes or timeout <= 0:
                return Done(Changes(changes, self.revision))
            self._changed.wait(min(timeout, 0.05))

    def commit(self, transaction):
        """Apply a transaction."""
        outcome = self._answer(lambda: self._commit(transaction))
        if self.losing and isinstance(outcome, Done):
            return Unknown("the answer was lost")
        return outcome

    def grant_lease(self, ttl):
        """Grant a lease and return its id."""

        def grant():
            self._next_lease += 1
            self.leases.add(self._next_lease)
            return self._next_lease

        return self._answer(grant)

    def renew_lease(self, lease):
        """Renew a lease."""
        return self._answer(lambda: lease in self.leases)

    def end_lease(self, lease):
        """Revoke a lease and remove its keys."""
        return self._answer(lambda: self.expire(lease))

    def expire(self, lease):
        """Expire a lease and remove its keys; return whether it existed."""
        if not lease:
            return False
        existed = lease in self.leases
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self._remove(key)
        return existed

    def expire_all(self):
        """Expire all leases, as happens in a long outage."""
        for lease in list(self.leases):
            self.expire(lease)

    @contextmanager
    def outage(self):
        """Fail all calls while the context is open."""
        self.down = True
        self._changed.notify_all()
        try:
            yield
        finally:
            self.down = False

    def _answer(self, operation):
        self.calls += 1
        eventlet.sleep(0)
        return NotDone("down") if self.down else Done(operation())

    def _commit(self, transaction):
        for key, revision in transaction.expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                current = [self.items.get(k) for k in transaction.expected]
                return Conflict(tuple(i for i in current if i))
        if any(put.lease and put.lease not in self.leases for put in transaction.puts):
            return Conflict(lease_ended=True)
        self.revision += 1
        for key in transaction.removes:
            self._remove(key, same_revision=True)
        for put in transaction.puts:
            item = Item(put.key, put.value, self.revision, put.lease)
            self.items[put.key] = item
            self._history.append(Change(put.key, self.revision, item))
        self._changed.notify_all()
        return Committed(self.revision)

    def _remove(self, key, same_revision=False):
        if self.items.pop(key, None) is None:
            return
        if not same_revision:
            self.revision += 1
        self._history.append(Change(key, self.revision))
        self._changed.notify_all()

    def write(self, key, value, lease=0):
        """Write a key unconditionally."""
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        self.items[key] = item
        self._history.append(Change(key, self.revision, item))
        self._changed.notify_all()
        return item

    def remove(self, key):
        """Remove a key unconditionally."""
        self._remove(key)

    def compact(self, unwatched):
        """Write keys that no watch delivers, and drop the history."""
        for key, value in unwatched.items():
            self.revision += 2000
            self.items[key] = Item(key, value, self.revision)
        self._history = [Change("none", self.revision)]
        self._changed.notify_all()

    def touch(self, key):
        """Raise the revision of a key and return its item."""
        self.revision += 1
        self.items[key] = evolve(self.items[key], revision=self.revision)
        return self.items[key]


def until(condition, seconds=5.0):
    """Poll a condition; return whether it became true within ``seconds``."""
    deadline = boottime() + seconds
    while not condition():
        if boottime() > deadline:
            return False
        eventlet.sleep(0.01)
    return True
