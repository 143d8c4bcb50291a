"""The interface of the key-value store that daemons coordinate through.

Every call returns one of the outcomes of ``mulberryport.outcomes``. A call without an
answer (``Unknown``) may take effect later, so each transaction names what it expects.
"""

from typing import Protocol

from attrs import field, frozen

from ..outcomes import Outcome

__all__ = [
    "Change",
    "Changes",
    "Committed",
    "Conflict",
    "HistoryLost",
    "Item",
    "KeyValueStore",
    "Listing",
    "Put",
    "Transaction",
]


@frozen
class Item:
    """A key as it was written.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Its content.
    revision : int
        Revision of the store at the last change of the key.
    lease : int
        Lease with which the key ends; 0 for none.
    """

    key: str
    value: bytes = field(repr=False)
    revision: int
    lease: int = 0


@frozen
class Change:
    """A key that was written, or removed if there is no item."""

    key: str
    revision: int
    item: Item | None = None


@frozen
class Listing:
    """All items below a prefix, and a revision after which changes can be missing."""

    items: tuple[Item, ...]
    revision: int


@frozen
class Changes:
    """Changes after a revision, and the revision to continue from."""

    changes: tuple[Change, ...]
    revision: int


@frozen
class HistoryLost:
    """The changes after the requested revision are not available any more."""


@frozen
class Put:
    """A key to write, with the lease that it ends with (0: none)."""

    key: str
    value: bytes = field(repr=False)
    lease: int = 0


@frozen(kw_only=True)
class Transaction:
    """Changes that happen together or not at all.

    Parameters
    ----------
    expected : mapping of str to int
        Revision that each key must have; 0 for a key that must not exist.
    puts : tuple of Put
        Keys to write.
    removes : tuple of str
        Keys to remove.
    """

    expected: dict[str, int] = field(factory=dict)
    puts: tuple[Put, ...] = ()
    removes: tuple[str, ...] = ()


@frozen
class Committed:
    """The transaction took effect at a revision."""

    revision: int


@frozen
class Conflict:
    """An expectation does not hold; nothing was changed.

    Parameters
    ----------
    items : tuple of Item
        Current state of the expected keys that exist.
    lease_ended : bool
        Whether the reason is a lease that does not exist any more.
    """

    items: tuple[Item, ...] = ()
    lease_ended: bool = False


class KeyValueStore(Protocol):
    """The store as parts of the daemon use it."""

    def read(self, key: str) -> Outcome[Item | None]:
        """Return a key; ``Done(None)`` if it certainly does not exist."""

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all keys below a prefix."""

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""

    def commit(self, transaction: Transaction) -> Outcome[Committed | Conflict]:
        """Carry out a transaction."""

    def grant_lease(self, ttl: float) -> Outcome[int]:
        """Return a new lease of ``ttl`` seconds."""

    def renew_lease(self, lease: int) -> Outcome[bool]:
        """Renew a lease; false if it has ended."""

    def end_lease(self, lease: int) -> Outcome[bool]:
        """End a lease and remove its keys."""
