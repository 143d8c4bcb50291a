"""A key-value store in memory, with faults, for tests."""

from contextlib import contextmanager

import eventlet
from attrs import define, evolve, field

from ...outcomes import Done, NotDone, Unknown
from ...runtime.clock import boottime
from ...runtime.signals import Signal
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
    """Implements ``KeyValueStore``.

    Parameters
    ----------
    down : bool
        Whether calls are refused.
    losing : bool
        Whether commits take effect without an answer.
    """

    down: bool = False
    losing: bool = False
    calls: int = 0
    items: dict = field(factory=dict)
    leases: set = field(factory=set)
    revision: int = 10
    _history: list = field(factory=list)
    _changed: Signal = field(factory=Signal)
    _next_lease: int = 1

    def read(self, key):
        """Return a key."""
        return self._answer(lambda: self.items.get(key))

    def list(self, prefix):
        """Return the keys below a prefix."""
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
            found = tuple(
                c
                for c in self._history
                if c.revision > after and c.key.startswith(prefix)
            )
            left = deadline - boottime()
            if found or left <= 0:
                return Done(Changes(found, self.revision))
            self._changed.wait(min(left, 0.05))

    def commit(self, transaction):
        """Carry out a transaction."""
        outcome = self._answer(lambda: self._commit(transaction))
        if self.losing and isinstance(outcome, Done):
            return Unknown("the answer was lost")
        return outcome

    def grant_lease(self, ttl):
        """Return a new lease."""

        def grant():
            self._next_lease += 1
            self.leases.add(self._next_lease)
            return self._next_lease

        return self._answer(grant)

    def renew_lease(self, lease):
        """Renew a lease."""
        return self._answer(lambda: lease in self.leases)

    def end_lease(self, lease):
        """End a lease."""
        return self._answer(lambda: self.expire(lease))

    def expire(self, lease):
        """End a lease as if its time were over."""
        if not lease:
            return False
        known = lease in self.leases
        self.leases.discard(lease)
        for key in [k for k, item in self.items.items() if item.lease == lease]:
            self._remove(key)
        return known

    def expire_all(self):
        """End all leases, as an outage can."""
        for lease in list(self.leases):
            self.expire(lease)

    @contextmanager
    def outage(self):
        """Refuse all calls while the context lasts."""
        self.down = True
        self._changed.send()
        try:
            yield
        finally:
            self.down = False

    def _answer(self, act):
        self.calls += 1
        eventlet.sleep(0)
        return NotDone("down") if self.down else Done(act())

    def _commit(self, transaction):
        for key, revision in transaction.expected.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                found = [self.items.get(k) for k in transaction.expected]
                return Conflict(tuple(i for i in found if i))
        if any(put.lease and put.lease not in self.leases for put in transaction.puts):
            return Conflict(lease_ended=True)
        self.revision += 1
        for key in transaction.removes:
            self._remove(key, same_revision=True)
        for put in transaction.puts:
            item = Item(put.key, put.value, self.revision, put.lease)
            self.items[put.key] = item
            self._history.append(Change(put.key, self.revision, item))
        self._changed.send()
        return Committed(self.revision)

    def _remove(self, key, same_revision=False):
        if self.items.pop(key, None) is None:
            return
        if not same_revision:
            self.revision += 1
        self._history.append(Change(key, self.revision))
        self._changed.send()

    def write(self, key, value, lease=0):
        """Write a key without a condition."""
        self.revision += 1
        item = Item(key, value, self.revision, lease)
        self.items[key] = item
        self._history.append(Change(key, self.revision, item))
        self._changed.send()
        return item

    def remove(self, key):
        """Remove a key without a condition."""
        self._remove(key)

    def forget_history(self, hidden):
        """Make changes that no watch sees, and drop the history."""
        for key, value in hidden.items():
            self.revision += 2000
            self.items[key] = Item(key, value, self.revision)
        self._history = [Change("none", self.revision)]
        self._changed.send()

    def touch(self, key):
        """Return a key's item under a newer revision."""
        self.revision += 1
        self.items[key] = evolve(self.items[key], revision=self.revision)
        return self.items[key]


def until(condition, seconds=5.0):
    """Wait for a condition; return whether it came true in time."""
    deadline = boottime() + seconds
    while not condition():
        if boottime() > deadline:
            return False
        eventlet.sleep(0.01)
    return True
