"""Interface of the key-value store through which daemons coordinate.

Every call returns one of the outcomes of ``mulberryport.outcomes``. A call without an
answer (``Unknown``) may still take effect later; transactions therefore state the
revisions that they expect.
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
    """A key with its value.

    Parameters
    ----------
    key : str
        The key.
    value : bytes
        Its value.
    revision : int
        Store revision at which the key was last written.
    lease : int
        Lease on whose expiry the store removes the key; 0 for none.
    """

    key: str
    value: bytes = field(repr=False)
    revision: int
    lease: int = 0


@frozen
class Change:
    """The write of a key, or its removal if ``item`` is None."""

    key: str
    revision: int
    item: Item | None = None


@frozen
class Listing:
    """All items under a prefix, complete up to a revision."""

    items: tuple[Item, ...]
    revision: int


@frozen
class Changes:
    """Changes after a revision, and the revision from which to continue."""

    changes: tuple[Change, ...]
    revision: int


@frozen
class HistoryLost:
    """The store no longer has the changes after the requested revision."""


@frozen
class Put:
    """A key to write, with the lease that it is attached to (0 for none)."""

    key: str
    value: bytes = field(repr=False)
    lease: int = 0


@frozen(kw_only=True)
class Transaction:
    """Conditional writes and removals that are applied atomically.

    Parameters
    ----------
    expected : mapping of str to int
        Revision that each of these keys must have; 0 for a key that must not exist.
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
    """The transaction was applied at a revision."""

    revision: int


@frozen
class Conflict:
    """An expected revision did not match, or a lease has ended; nothing was applied.

    Parameters
    ----------
    items : tuple of Item
        Current items of those expected keys that exist.
    lease_ended : bool
        Whether the conflict is a put under a lease that no longer exists.
    """

    items: tuple[Item, ...] = ()
    lease_ended: bool = False


class KeyValueStore(Protocol):
    """Operations that the daemon needs from the store."""

    def read(self, key: str) -> Outcome[Item | None]:
        """Return the item of a key; ``Done(None)`` if it does not exist."""

    def list(self, prefix: str) -> Outcome[Listing]:
        """Return all items under a prefix."""

    def watch(
        self, prefix: str, after: int, wait: float
    ) -> Outcome[Changes | HistoryLost]:
        """Wait up to ``wait`` seconds for changes after a revision."""

    def commit(self, transaction: Transaction) -> Outcome[Committed | Conflict]:
        """Apply a transaction."""

    def grant_lease(self, ttl: float) -> Outcome[int]:
        """Grant a lease of ``ttl`` seconds and return its id."""

    def renew_lease(self, lease: int) -> Outcome[bool]:
        """Renew a lease; false if it has already ended."""

    def end_lease(self, lease: int) -> Outcome[bool]:
        """Revoke a lease and remove its keys; false if it had already ended."""
