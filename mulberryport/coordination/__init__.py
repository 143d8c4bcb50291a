"""Coordination of daemons through a key-value store: mirrors, sessions and duties.

``KeyValueStore`` is the interface that store adapters implement. A ``Mirror`` keeps a
copy of the keys under a prefix, from the store or from another daemon
(``SharedWatch``). A ``Session`` is a lease that proves that this daemon is alive, and a
``SessionDuty`` is a role that one session holds at a time.
"""

from .duty import SessionDuty
from .feeds import SharedWatch, WatchServer, hold_session
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
from .providers import (
    choose_providers,
    choose_wait_s,
    is_silent,
    max_provider_distance,
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
    "WatchServer",
    "Put",
    "Session",
    "SessionDuty",
    "SharedWatch",
    "Transaction",
    "choose_providers",
    "choose_wait_s",
    "hold_session",
    "is_silent",
    "max_provider_distance",
]
