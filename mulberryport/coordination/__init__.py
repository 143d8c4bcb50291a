"""What daemons agree on through a key-value store: mirrors, sessions, duties.

``KeyValueStore`` is the interface that an adapter implements. A ``Mirror`` follows the
keys below some prefixes, from the store or from another daemon (``SharedWatch``), a
``Session`` proves that this daemon lives, and a ``SessionDuty`` is held by one session
at a time.
"""

from .duty import SessionDuty
from .feeds import MirrorFeeds, SharedWatch, choose_providers
from .mirror import Mirror
from .model import (
    Change,
    Changes,
    Committed,
    Conflict,
    HistoryLost,
    Item,
    KeyValueStore,
    Listing,
    Put,
    Transaction,
)
from .session import Session

__all__ = [
    "Change",
    "Changes",
    "Committed",
    "Conflict",
    "HistoryLost",
    "Item",
    "KeyValueStore",
    "Listing",
    "Mirror",
    "MirrorFeeds",
    "Put",
    "Session",
    "SessionDuty",
    "SharedWatch",
    "Transaction",
    "choose_providers",
]
