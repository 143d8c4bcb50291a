"""Distribution of configuration revisions, and whether keys can be validated here."""

from .cleanup import CLEANUP_PERIOD_S, ShardCleanup
from .fetching import fetch_snapshot
from .freshness import FleetView, keys_usable
from .service import Distribution

__all__ = [
    "CLEANUP_PERIOD_S",
    "Distribution",
    "FleetView",
    "ShardCleanup",
    "fetch_snapshot",
    "keys_usable",
]
